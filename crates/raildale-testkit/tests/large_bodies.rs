//! A body over the limit gets its numbered answer, and so does what the same
//! caller sends next.

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

/// Bytes of a body: twice the limit of the callers' API.
const BODY_BYTES: usize = 2 << 20;

/// Pairs of calls in a row.
const ROUNDS: usize = 200;

async fn post(http: &HttpClient, address: SocketAddr, body: Bytes) -> u16 {
    let request = Request::post(format!("http://{address}/v1/requests"))
        .header("authorization", format!("Bearer {CLUB_KEY}"))
        .body(Full::new(body))
        .expect("the parts are sound");
    let response = http.open(request).await.expect("it answers");
    let status = response.status().as_u16();
    response.into_body().collect().await.expect("it is whole");
    status
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_body_gets_its_answer() {
    let program = env!("CARGO_BIN_EXE_raildale-bench");
    let config = FleetConfig::new(program, 1, 1);
    let serving = ServingFleet::start(config, 100).await.expect("it comes up");
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
