//! A simulated plain service.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::StatusCode;
use raildale::target::Generate;
use tokio::net::TcpListener;

use crate::{
    http_server::{self, answer},
    truth::{GroundTruth, expected_answer, request_id},
};

/// Starts a service that listens on `address`. Each call takes `duration`.
///
/// # Errors
///
/// Returns an error if `address` cannot be bound.
pub async fn start(
    address: SocketAddr,
    duration: Duration,
    truth: Arc<GroundTruth>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    http_server::serve(listener, move |_, request| {
        let truth = truth.clone();
        async move {
            let is_call = request.uri().path() == "/call";
            let body = http_server::read(request.into_body()).await;
            let call = serde_json::from_slice::<Generate>(&body);
            let Some(call) = call.ok().filter(|_| is_call) else {
                return answer(StatusCode::NOT_FOUND, "");
            };
            truth.record_run(request_id(&call.prompt));
            tokio::time::sleep(duration).await;
            let text = expected_answer(&call.prompt, call.max_tokens);
            answer(StatusCode::OK, text)
        }
    });
    Ok(())
}
