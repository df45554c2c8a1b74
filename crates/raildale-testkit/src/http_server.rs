//! A small HTTP server for the simulated systems.

use std::{convert::Infallible, future::Future, net::IpAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Request, Response, StatusCode, body::Incoming, service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// A response body, whole or streamed.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Serves requests in the background with `handler`, which also gets the
/// address of the client.
pub fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(IpAddr, Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = Arc::new(handler);
    tokio::spawn(async move {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                tokio::task::yield_now().await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let response = handler(from.ip(), request);
                    async move { Ok::<_, Infallible>(response.await) }
                });
                let result = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
                // Clients may disconnect at any time, which is not an error.
                drop(result);
            });
        }
    });
}

/// Returns a body with the given data.
pub fn full(data: impl Into<Bytes>) -> Body {
    Full::new(data.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a response with the given status and data.
pub fn answer(status: StatusCode, data: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(data));
    *response.status_mut() = status;
    response
}

/// Reads a request body. Returns an empty one if the connection broke off.
pub async fn read(body: Incoming) -> Bytes {
    match body.collect().await {
        Ok(whole) => whole.to_bytes(),
        Err(_) => Bytes::new(),
    }
}

/// Returns the value of `name` in a query string.
pub fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}
