//! The `/metrics` page of a process without another HTTP server.

use std::{net::SocketAddr, panic::AssertUnwindSafe, sync::Arc};

use gotham::{
    helpers::http::{Body, response::create_response},
    hyper::{Response, StatusCode},
    middleware::state::StateMiddleware,
    mime,
    pipeline::{new_pipeline, single_pipeline},
    prelude::*,
    router::{Router, build_router},
    state::State,
};
use tokio::net::TcpListener;

use crate::{
    http_server::{self, Shutdown},
    metrics::Metrics,
};

/// The metrics, in gotham's state.
#[derive(Clone, StateData)]
struct Shared(Arc<AssertUnwindSafe<Arc<Metrics>>>);

/// Serves the page for as long as the process runs. If the address cannot be
/// bound, the error is logged and the process runs without the page.
pub fn start(address: SocketAddr, metrics: Arc<Metrics>) {
    let shared = Shared(Arc::new(AssertUnwindSafe(metrics)));
    let router = router(shared);
    tokio::spawn(async move {
        match TcpListener::bind(address).await {
            Ok(listener) => {
                let shutdown = Shutdown::new();
                http_server::serve(listener, router, &shutdown).await;
            }
            Err(error) => {
                log::error!("metrics page cannot listen on {address}: {error}")
            }
        }
    });
}

fn router(shared: Shared) -> Router {
    let middleware = StateMiddleware::new(shared);
    let pipeline = new_pipeline().add(middleware).build();
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route.get("/metrics").to(page);
    })
}

fn page(state: State) -> (State, Response<Body>) {
    let text = Shared::borrow_from(&state).0.render();
    let mime = mime::TEXT_PLAIN_UTF_8;
    let response = create_response(&state, StatusCode::OK, mime, text);
    (state, response)
}
