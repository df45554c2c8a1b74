//! Each hop logs a span in the caller's trace.

use std::{path::Path, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use raildale::http_client::HttpClient;
use raildale_testkit::{
    bench::{ServingFleet, settings_text::CLUB_KEY, wait_until},
    fleet::FleetConfig,
};
use serde_json::Value;

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER_SPAN: &str = "b7ad6b7169203331";

/// Returns the span in a process's log that belongs to [`TRACE`].
fn span(folder: &Path, process: &str) -> Option<Value> {
    let path = folder.join(format!("{process}.log"));
    let text = std::fs::read_to_string(path).ok()?;
    text.lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok())
        .map(|line| line["body"].clone())
        .find(|body| body["trace_id"] == TRACE)
}

#[tokio::test(flavor = "multi_thread")]
async fn each_hop_logs_a_child_span_of_the_previous_hop() {
    let program = env!("CARGO_BIN_EXE_raildale-bench");
    let config = FleetConfig::new(program, 1, 1).with_spans();
    let serving =
        ServingFleet::start(config, 100).await.expect("the fleet comes up");
    let fleet = &serving.fleet;
    let address = fleet.http_addresses()[0];
    let request = Request::post(format!("http://{address}/v1/requests"))
        .header("authorization", format!("Bearer {CLUB_KEY}"))
        .header("traceparent", format!("00-{TRACE}-{CALLER_SPAN}-01"))
        .body(Full::new(Bytes::from(
            "{\"model\":\"commentary\",\"prompt\":\"x\",\"max_tokens\":2}",
        )))
        .expect("the request is valid");
    let response = HttpClient::new(None).open(request).await;
    let body = response.expect("an answer").into_body().collect().await;
    assert!(body.is_ok());
    let folder = fleet.folder();
    let has_both = wait_until(Duration::from_secs(60), async || {
        span(folder, "entry-0").is_some() && span(folder, "host-0").is_some()
    })
    .await;
    assert!(has_both, "a hop logged no span");
    let entry = span(folder, "entry-0").expect("a span");
    let agent = span(folder, "host-0").expect("a span");
    assert_eq!(entry["span"], "entry.request");
    assert_eq!(entry["parent_id"], CALLER_SPAN);
    assert_eq!(agent["span"], "agent.run");
    assert_eq!(agent["parent_id"], entry["span_id"]);
    assert_eq!(agent["code"], 1000);
}
