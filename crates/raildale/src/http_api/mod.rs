//! The HTTP API for callers and operators, built on gotham.

mod admin;
mod answers;
mod callers;

use std::{
    panic::AssertUnwindSafe,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use gotham::{
    helpers::http::Body,
    hyper::HeaderMap,
    middleware::state::StateMiddleware,
    pipeline::{new_pipeline, single_pipeline},
    prelude::*,
    router::{Router, build_router},
    state::State,
};
use raildale_core::{Code, Digest, entry::Event};
use serde::Deserialize;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
};

use crate::{
    clock::Clock,
    entry_daemon::{Input, Reply, SHUTDOWN_CODE},
    http_server::{self, Shutdown},
    metrics::Metrics,
    platform::Platform,
    request_body,
    status::Status,
};

/// The maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The state shared by the handlers.
#[derive(Clone, Debug)]
pub struct Api {
    inputs: mpsc::UnboundedSender<Input>,
    platform: Platform,
    metrics: Arc<Metrics>,
    process: Arc<str>,
    bootstrap_key_hash: Option<String>,
    spans: bool,
    clock: Clock,
    next_request: Arc<AtomicU64>,
}

/// An [`Api`] in gotham's state.
#[derive(Clone, StateData)]
struct Shared(Arc<AssertUnwindSafe<Api>>);

/// The path parameter `name`: a run key or the name of a process.
#[derive(Deserialize, StateData, StaticResponseExtender)]
struct NamePath {
    name: String,
}

impl Api {
    /// Creates the shared state of the handlers of an entry host.
    pub fn new(
        inputs: mpsc::UnboundedSender<Input>,
        platform: Platform,
        metrics: Arc<Metrics>,
        process: Arc<str>,
        bootstrap_key_hash: Option<String>,
        spans: bool,
        clock: Clock,
    ) -> Api {
        Api {
            inputs,
            platform,
            metrics,
            process,
            bootstrap_key_hash,
            spans,
            clock,
            next_request: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Sends an event to the shell and returns the call that receives the
    /// response.
    fn call(&self, event: impl FnOnce(u64) -> Event) -> Call {
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        let (reply, replies) = mpsc::unbounded_channel();
        let event = event(request);
        let _ = self.inputs.send(Input::Call { request, event, reply });
        Call {
            request,
            replies,
            inputs: self.inputs.clone(),
            is_finished: false,
        }
    }

    async fn status(&self) -> Box<Status> {
        let (reply, status) = oneshot::channel();
        let _ = self.inputs.send(Input::Status(reply));
        status.await.unwrap_or_default()
    }
}

/// A call in progress. If it is dropped before the final reply, the reducer is
/// notified that the caller is gone.
#[derive(Debug)]
struct Call {
    request: u64,
    replies: mpsc::UnboundedReceiver<Reply>,
    inputs: mpsc::UnboundedSender<Input>,
    is_finished: bool,
}

impl Call {
    async fn next(&mut self) -> Reply {
        match self.replies.recv().await {
            Some(Reply::Piece(data)) => Reply::Piece(data),
            Some(Reply::Final(last)) => {
                self.is_finished = true;
                Reply::Final(last)
            }
            // The process stops before it has sent the final reply.
            None => {
                self.is_finished = true;
                Reply::Final(raildale_core::entry::FinalResponse::new(
                    SHUTDOWN_CODE,
                ))
            }
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.is_finished {
            let gone = Event::CallerGone(self.request);
            let _ = self.inputs.send(Input::Notify(gone));
        }
    }
}

/// Serves callers and operators until shutdown.
pub async fn serve(listener: TcpListener, api: Api, shutdown: Arc<Shutdown>) {
    http_server::serve(listener, router(api), &shutdown).await
}

fn router(api: Api) -> Router {
    let shared = Shared(Arc::new(AssertUnwindSafe(api)));
    let middleware = StateMiddleware::new(shared);
    let pipeline = new_pipeline().add(middleware).build();
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route.get("/metrics").to(admin::metrics);
        route.scope("/v1", |route| {
            route.get("/where").to_async(callers::entry_addresses);
            route.post("/run-keys").to_async(callers::issue_key);
            route.post("/requests").to_async(callers::submit);
            route
                .get("/runs/:name")
                .with_path_extractor::<NamePath>()
                .to_async(callers::query_run);
            route
                .delete("/runs/:name")
                .with_path_extractor::<NamePath>()
                .to_async(callers::revoke_run);
        });
        route.scope("/admin/v1", |route| {
            route.get("/settings").to_async(admin::settings);
            route
                .put("/settings")
                .with_query_string_extractor::<admin::ApplyQuery>()
                .to_async(admin::apply);
            route.get("/history").to_async(admin::history);
            route
                .get("/effective")
                .with_query_string_extractor::<admin::ModelQuery>()
                .to_async(admin::effective);
            route.get("/status").to_async(admin::status);
            route
                .post("/drain/:name")
                .with_path_extractor::<NamePath>()
                .to_async(admin::drain);
        });
    })
}

fn api_of(state: &State) -> Api {
    Api::clone(&Shared::borrow_from(state).0)
}

/// Returns the digest of the key in `Authorization: Bearer`; `None` if there
/// is no key.
fn key_hash(state: &State) -> Option<Digest> {
    let headers = HeaderMap::borrow_from(state);
    let value = headers.get("authorization")?.to_str().ok()?;
    let key = value.strip_prefix("Bearer ")?;
    Some(Digest::of(key.as_bytes()))
}

async fn body_of(state: &mut State) -> Result<Vec<u8>, Code> {
    let body = Body::take_from(state);
    let whole = request_body::read(body, MAX_BODY_BYTES).await?;
    Ok(whole.to_vec())
}
