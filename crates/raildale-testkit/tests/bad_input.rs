//! Bad input: a clear numbered answer, nothing lost, the process stays up.

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
    let ask = "{\"model\":\"commentary\",\"prompt\":\"x\"}";
    let large = format!("{{\"prompt\":\"{}\"}}", "x".repeat(2 << 20));
    let unknown_model = "{\"model\":\"nothing\",\"prompt\":\"x\"}";
    let others_model = "{\"model\":\"tickets\",\"prompt\":\"x\"}";
    let forged =
        "{\"model\":\"commentary\",\"run_key\":\"rk1.host-0.1.1.1.0\"}";
    vec![
        Case::new("no key", submit(), "", ask, Code::Unauthorised),
        Case::new("wrong key", submit(), "no", ask, Code::Unauthorised),
        Case::new("no JSON", submit(), CLUB_KEY, "{", Code::Malformed),
        Case::new(
            "unknown field",
            submit(),
            CLUB_KEY,
            "{\"model\":\"commentary\",\"promt\":\"x\"}",
            Code::Malformed,
        ),
        Case::new(
            "unknown class",
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
            "forged run key asked about",
            (Method::GET, "/v1/runs/rk1.host-0.1.1.1.0"),
            CLUB_KEY,
            "",
            Code::RunKeyInvalid,
        ),
        Case::new(
            "settings without a key",
            apply(),
            CLUB_KEY,
            "",
            Code::Unauthorised,
        ),
        Case::new(
            "settings that are no TOML",
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
            "settings on an old base",
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
        .expect("the parts are sound");
    let response = http.open(request).await.expect("it answers");
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.expect("it is whole");
    let value = serde_json::from_slice(&body.to_bytes()).expect("JSON");
    (status, value)
}

/// Sends raw frames to an entry host's port for processes; returns the code
/// of its refusal.
async fn speak(address: SocketAddr, frames: Vec<Bytes>) -> Option<u32> {
    let stream = TcpStream::connect(address).await.expect("it listens");
    let mut framed = Framed::new(stream, codec::splitter());
    for frame in frames {
        framed.send(frame).await.expect("it reads");
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
async fn bad_input_is_refused_by_number() {
    let program = env!("CARGO_BIN_EXE_raildale-bench");
    let config = FleetConfig::new(program, 1, 1);
    let serving = ServingFleet::start(config, 100).await.expect("it comes up");
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
    let code = speak(inner, vec![garbage]).await;
    assert_eq!(code, Some(Code::BadFrame.number()), "garbage");
    let old = Frame { version: 99, body: None }.encode_to_vec();
    let code = speak(inner, vec![old.into()]).await;
    assert_eq!(code, Some(Code::ProtocolVersion.number()), "a version");
    let hello = codec::encode(Body::Hello(Default::default()));
    let hello = hello.slice(codec::LENGTH_BYTES..);
    let proof = codec::encode(Body::Proof(Default::default()));
    let proof = proof.slice(codec::LENGTH_BYTES..);
    let code = speak(inner, vec![hello, proof]).await;
    assert_eq!(code, Some(Code::ForeignCluster.number()), "a foreign peer");

    // Nothing was lost: a sound request is answered as before.
    let sound = Case::new(
        "sound",
        (Method::POST, "/v1/requests"),
        CLUB_KEY,
        "{\"model\":\"commentary\",\"prompt\":\"x\",\"max_tokens\":2}",
        Code::Done,
    );
    let (_, value) = send(&http, address, &sound).await;
    assert_eq!(value["code"], Code::Done.number());
}
