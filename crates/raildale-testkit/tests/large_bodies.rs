//! A request body over the size limit is refused with its code, and so is the
//! next request of the same caller.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use raildale::http_client::HttpClient;
use raildale_core::Code;
use raildale_testkit::{
    bench::{ServingFleet, settings_text::CLUB_KEY},
    fleet::FleetConfig,
};

/// The size of a body in bytes: twice the limit of the callers' API.
const BODY_BYTES: usize = 2 << 20;

/// The number of pairs of requests.
const ROUNDS: usize = 200;

async fn post(http: &HttpClient, address: SocketAddr, body: Bytes) -> u16 {
    let request = Request::post(format!("http://{address}/v1/requests"))
        .header("authorization", format!("Bearer {CLUB_KEY}"))
        .body(Full::new(body))
        .expect("the request is valid");
    let response = http.open(request).await.expect("an answer");
    let status = response.status().as_u16();
    response.into_body().collect().await.expect("a whole body");
    status
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_body_is_refused_with_its_code() {
    let program = env!("CARGO_BIN_EXE_raildale-bench");
    let config = FleetConfig::new(program, 1, 1);
    let serving =
        ServingFleet::start(config, 100).await.expect("the fleet comes up");
    let address = serving.fleet.http_addresses()[0];
    let http = HttpClient::new(None);
    let large = Bytes::from(vec![b'x'; BODY_BYTES]);
    let malformed = Bytes::from_static(b"{");
    for _ in 0..ROUNDS {
        let status = post(&http, address, large.clone()).await;
        assert_eq!(status, Code::TooLarge.http_status());
        let status = post(&http, address, malformed.clone()).await;
        assert_eq!(status, Code::Malformed.http_status());
    }
}
