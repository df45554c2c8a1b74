//! A client for a host's target, which is a model engine or a plain service.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use raildale_core::{
    Code, Digest, Name,
    agent::{Event, Fence, RunOrder},
};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::{
    http_client::{Failure, HttpClient},
    request_path::RequestPath,
};

/// Time-out of an order to the target.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum size of the answer to an order in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The header of a refused request that the target did not start.
const NOT_STARTED: &str = "x-not-started";

/// An order to serve a version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ActivateOrder {
    /// The manifest's digest, hexadecimal.
    pub manifest: String,
    /// The settings' revision behind the order.
    pub revision: u64,
    /// The incarnation of the agent that gives the order.
    pub incarnation: u64,
}

/// A model that a target serves.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServedModel {
    /// `organisation/model`.
    pub model: String,
    /// The manifest's digest, hexadecimal.
    pub manifest: String,
}

/// A request for a target.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Generate {
    /// `organisation/model`.
    pub model: String,
    /// The caller's body.
    pub prompt: String,
    /// 0 urgent, 1 normal, 2 bulk.
    pub priority: u32,
    /// The maximum number of tokens of the answer.
    pub max_tokens: u32,
    /// The salt of the prefix cache.
    pub cache_salt: String,
    /// The run key, which identifies the run at the target.
    pub run_key: String,
}

/// A client for the host's target.
#[derive(Clone, Debug)]
pub struct Target {
    http: HttpClient,
    address: SocketAddr,
}

impl Target {
    /// Creates a client for the target at `address`.
    pub fn new(http: HttpClient, address: SocketAddr) -> Target {
        Target { http, address }
    }

    /// Puts a chunk into the slot of a version; returns whether the target
    /// accepted it.
    pub async fn stage(
        &self,
        manifest: Digest,
        index: usize,
        data: Bytes,
    ) -> bool {
        let path = RequestPath::new("/slots")
            .with_segment(&manifest.to_string())
            .with_segment("chunks")
            .with_segment(&index.to_string());
        self.order(Method::PUT, &path, data).await == Some(StatusCode::OK)
    }

    /// Orders the target to serve a version; returns whether it accepted the
    /// order.
    pub async fn activate(
        &self,
        model: &str,
        manifest: Digest,
        fence: Fence,
    ) -> bool {
        let order = ActivateOrder {
            manifest: manifest.to_hex(),
            revision: fence.revision,
            incarnation: fence.incarnation,
        };
        let body = serde_json::to_vec(&order).unwrap_or_default();
        let path = RequestPath::new("/models")
            .with_segments(model)
            .with_segment("activate");
        let status = self.order(Method::POST, &path, body.into()).await;
        status == Some(StatusCode::OK)
    }

    /// Returns the models that the target reports as served, each with its
    /// manifest's digest. Empty if the target has no such list; `None` if it
    /// does not answer or the answer is malformed.
    pub async fn served_models(&self) -> Option<Vec<(Name, Digest)>> {
        let answer = self
            .http
            .call(
                Method::GET,
                self.address,
                &RequestPath::new("/models"),
                Bytes::new(),
                MAX_ANSWER_BYTES,
                ORDER_TIMEOUT,
            )
            .await
            .ok()?;
        if answer.status == StatusCode::NOT_FOUND {
            return Some(vec![]);
        }
        let served: Vec<ServedModel> =
            serde_json::from_slice(&answer.body).ok()?;
        let pairs = served.into_iter().filter_map(|served| {
            let digest = Digest::from_hex(&served.manifest)?;
            Some((served.model.as_str().into(), digest))
        });
        Some(pairs.collect())
    }

    /// Runs a request; sends an event for each piece of the answer and one for
    /// the end of the run.
    ///
    /// The answer is complete if its chunked HTTP body ends normally: a body
    /// that was cut ends with an error instead.
    pub async fn run(
        &self,
        order: RunOrder,
        events: mpsc::UnboundedSender<Event>,
    ) {
        let key = order.key.clone();
        let budget = Duration::from_millis(order.budget_ms.max(1));
        let run = self.stream(order, &events);
        let code = match tokio::time::timeout(budget, run).await {
            Ok(code) => code,
            Err(_) => Code::DeadlinePassed,
        };
        let _ = events.send(Event::RunEnded(key, code));
    }

    async fn stream(
        &self,
        order: RunOrder,
        events: &mpsc::UnboundedSender<Event>,
    ) -> Code {
        let key = order.key.clone();
        let Some(request) = self.request(order) else {
            return Code::TargetRefused;
        };
        let response = match self.http.open(request).await {
            Ok(response) => response,
            Err(Failure::NotSent) => return Code::TargetRefused,
            Err(Failure::Lost | Failure::Late | Failure::TooLong) => {
                return Code::Unknown;
            }
        };
        if response.status() != StatusCode::OK {
            let not_started = response.headers().contains_key(NOT_STARTED);
            return match not_started {
                true => Code::TargetRefused,
                false => Code::Unknown,
            };
        }
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Code::Cut };
            if let Ok(data) = frame.into_data() {
                let piece = Event::RunPiece(key.clone(), data.to_vec());
                let _ = events.send(piece);
            }
        }
        Code::Done
    }

    fn request(&self, order: RunOrder) -> Option<Request<Full<Bytes>>> {
        let path = if order.is_plain { "/call" } else { "/generate" };
        let body = Generate {
            model: order.model.to_string(),
            prompt: String::from_utf8_lossy(&order.payload).into_owned(),
            priority: order.priority,
            max_tokens: order.max_tokens,
            cache_salt: order.cache_salt,
            run_key: order.key.to_string(),
        };
        Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.address))
            .header("traceparent", order.traceparent)
            .body(Full::new(serde_json::to_vec(&body).ok()?.into()))
            .ok()
    }

    async fn order(
        &self,
        method: Method,
        path: &RequestPath,
        body: Bytes,
    ) -> Option<StatusCode> {
        self.http
            .call(
                method,
                self.address,
                path,
                body,
                MAX_ANSWER_BYTES,
                ORDER_TIMEOUT,
            )
            .await
            .ok()
            .map(|answer| answer.status)
    }
}
