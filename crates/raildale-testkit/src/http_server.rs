//! A small HTTP server for stand-ins.

use std::{convert::Infallible, future::Future, net::IpAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Request, Response, StatusCode, body::Incoming, service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// A body that may stream.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Serves `handler` for as long as the runtime lives; it hears from which
/// address each request came.
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
                    let answer = handler(from.ip(), request);
                    async move { Ok::<_, Infallible>(answer.await) }
                });
                let served = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
                // A client that goes away midway is the ordinary course.
                drop(served);
            });
        }
    });
}

/// A whole body.
pub fn full(data: impl Into<Bytes>) -> Body {
    Full::new(data.into()).map_err(|never| match never {}).boxed_unsync()
}

/// An answer with a whole body.
pub fn answer(status: StatusCode, data: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(data));
    *response.status_mut() = status;
    response
}

/// Reads a whole request body; empty if it was cut.
pub async fn read(body: Incoming) -> Bytes {
    match body.collect().await {
        Ok(whole) => whole.to_bytes(),
        Err(_) => Bytes::new(),
    }
}

/// The value of `name` in a query string.
pub fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}
