//! Invalid input is refused with its code, and the process keeps serving.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use prost::Message;
use raildale::{codec, http_client::HttpClient};
use raildale_core::{
    Code,
    message::{Body, Frame},
};
use raildale_testkit::{
    bench::{ServingFleet, settings_text::CLUB_KEY},
    fleet::{BOOTSTRAP_KEY, FleetConfig},
};
use serde_json::Value;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// A request and the code that refuses it.
struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    key: &'static str,
    body: String,
    code: Code,
}

impl Case {
    fn new(
        name: &'static str,
        (method, path): (Method, &'static str),
        key: &'static str,
        body: impl Into<String>,
        code: Code,
    ) -> Case {
        Case { name, method, path, key, body: body.into(), code }
    }
}

fn cases() -> Vec<Case> {
    let submit = || (Method::POST, "/v1/requests");
    let apply = || (Method::PUT, "/admin/v1/settings");
    let question = "{\"model\":\"commentary\",\"prompt\":\"x\"}";
    let large = format!("{{\"prompt\":\"{}\"}}", "x".repeat(2 << 20));
    let unknown_model = "{\"model\":\"nothing\",\"prompt\":\"x\"}";
    let others_model = "{\"model\":\"tickets\",\"prompt\":\"x\"}";
    let forged =
        "{\"model\":\"commentary\",\"run_key\":\"rk1.host-0.1.1.1.0\"}";
    vec![
        Case::new("no key", submit(), "", question, Code::Unauthorised),
        Case::new("wrong key", submit(), "no", question, Code::Unauthorised),
        Case::new("not JSON", submit(), CLUB_KEY, "{", Code::Malformed),
        Case::new(
            "unknown field",
            submit(),
            CLUB_KEY,
            "{\"model\":\"commentary\",\"promt\":\"x\"}",
            Code::Malformed,
        ),
        Case::new(
            "unknown priority",
            submit(),
            CLUB_KEY,
            "{\"model\":\"commentary\",\"priority\":\"now\"}",
            Code::Malformed,
        ),
        Case::new("large", submit(), CLUB_KEY, large, Code::TooLarge),
        Case::new(
            "unknown model",
            submit(),
            CLUB_KEY,
            unknown_model,
            Code::NotFound,
        ),
        Case::new(
            "another organisation's model",
            submit(),
            CLUB_KEY,
            others_model,
            Code::NotFound,
        ),
        Case::new(
            "forged run key",
            submit(),
            CLUB_KEY,
            forged,
            Code::RunKeyInvalid,
        ),
        Case::new(
            "status of a forged run key",
            (Method::GET, "/v1/runs/rk1.host-0.1.1.1.0"),
            CLUB_KEY,
            "",
            Code::RunKeyInvalid,
        ),
        Case::new(
            "settings without the admin key",
            apply(),
            CLUB_KEY,
            "",
            Code::Unauthorised,
        ),
        Case::new(
            "settings that are not TOML",
            apply(),
            BOOTSTRAP_KEY,
            "[rules",
            Code::SettingsInvalid,
        ),
        Case::new(
            "settings with an unknown name",
            apply(),
            BOOTSTRAP_KEY,
            "[rules]\nfavor = \"time\"\n",
            Code::SettingsInvalid,
        ),
        Case::new(
            "settings that contradict themselves",
            apply(),
            BOOTSTRAP_KEY,
            "[organisations.a.models.m]\npool = \"p\"\nversion = \"v\"\n",
            Code::SettingsInvalid,
        ),
        Case::new(
            "settings on top of an old revision",
            (Method::PUT, "/admin/v1/settings?expected=0"),
            BOOTSTRAP_KEY,
            "",
            Code::SettingsConflict,
        ),
        Case::new(
            "an unknown process",
            (Method::POST, "/admin/v1/drain/nobody"),
            BOOTSTRAP_KEY,
            "",
            Code::NotFound,
        ),
    ]
}

async fn send(
    http: &HttpClient,
    address: SocketAddr,
    case: &Case,
) -> (u16, Value) {
    let request = Request::builder()
        .method(case.method.clone())
        .uri(format!("http://{address}{}", case.path))
        .header("authorization", format!("Bearer {}", case.key))
        .body(Full::new(Bytes::from(case.body.clone())))
        .expect("the request is valid");
    let response = http.open(request).await.expect("an answer");
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.expect("a whole body");
    let value = serde_json::from_slice(&body.to_bytes()).expect("JSON");
    (status, value)
}

/// Sends raw frames to an entry host's port for processes. Returns the code of
/// its refusal; `None` if no refusal arrives.
async fn refusal_code(address: SocketAddr, frames: Vec<Bytes>) -> Option<u32> {
    let stream = TcpStream::connect(address).await.expect("it listens");
    let mut framed = Framed::new(stream, codec::frame_codec());
    for frame in frames {
        framed.send(frame).await.expect("it is sent");
    }
    while let Ok(Some(Ok(bytes))) =
        tokio::time::timeout(Duration::from_secs(10), framed.next()).await
    {
        if let Ok(Body::Refusal(refusal)) = codec::decode(&bytes) {
            return Some(refusal.code);
        }
    }
    None
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_is_refused_with_its_code() {
    let program = env!("CARGO_BIN_EXE_raildale-bench");
    let config = FleetConfig::new(program, 1, 1);
    let serving =
        ServingFleet::start(config, 100).await.expect("the fleet comes up");
    let fleet = &serving.fleet;
    let address = fleet.http_addresses()[0];
    let http = HttpClient::new(None);
    for case in cases() {
        let (status, value) = send(&http, address, &case).await;
        assert_eq!(value["code"], case.code.number(), "{}", case.name);
        assert_eq!(status, case.code.http_status(), "{}", case.name);
    }

    let inner = SocketAddr::new(address.ip(), 7000);
    let garbage = Bytes::from_static(b"\xff\xff\xff\xff");
    let code = refusal_code(inner, vec![garbage]).await;
    assert_eq!(code, Some(Code::BadFrame.number()), "garbage");
    let unknown = Frame { version: 99, body: None }.encode_to_vec();
    let code = refusal_code(inner, vec![unknown.into()]).await;
    assert_eq!(
        code,
        Some(Code::ProtocolVersion.number()),
        "an unknown protocol version"
    );
    let hello = codec::encode(Body::Hello(Default::default()));
    let hello = hello.slice(codec::LENGTH_BYTES..);
    let proof = codec::encode(Body::Proof(Default::default()));
    let proof = proof.slice(codec::LENGTH_BYTES..);
    let code = refusal_code(inner, vec![hello, proof]).await;
    assert_eq!(code, Some(Code::ForeignCluster.number()), "a foreign peer");

    // The process still answers a valid request.
    let valid = Case::new(
        "valid",
        (Method::POST, "/v1/requests"),
        CLUB_KEY,
        "{\"model\":\"commentary\",\"prompt\":\"x\",\"max_tokens\":2}",
        Code::Done,
    );
    let (_, value) = send(&http, address, &valid).await;
    assert_eq!(value["code"], Code::Done.number());
}
