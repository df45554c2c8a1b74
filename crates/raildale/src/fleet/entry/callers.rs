//! The ports that callers use: requests, readiness, and which addresses to
//! use.

use std::{
    cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use raildale_core::LogEvent;
use tokio::net::{TcpListener, TcpStream};

use super::{
    EntryHost, heads, proxy,
    proxy::AnswerBody,
    rest::{self, Rest},
};
use crate::{
    error::Error,
    fleet::{
        edge::{Dialect, Store},
        frames,
        steady_clock::now_ms,
    },
};

/// How long the head of a request may take, with the rest before it, at
/// least. It bounds callers that send a head byte by byte; how long a
/// connection may rest is up to the limits in force, and shorter.
const HEAD_MOST: Duration = Duration::from_secs(300);

/// Starts all three ports.
///
/// # Errors
///
/// [`crate::ErrorKind::Io`] if one cannot be listened on.
pub async fn start<P>(host: &Rc<EntryHost<P>>) -> Result<(), Error>
where
    P: Dialect + Store + 'static,
{
    let callers = TcpListener::bind(host.listen.callers).await?;
    let readiness = TcpListener::bind(host.listen.readiness).await?;
    let addresses = TcpListener::bind(host.listen.addresses).await?;
    tokio::task::spawn_local(accept_callers(host.clone(), callers));
    tokio::task::spawn_local(accept_small(host.clone(), readiness, ready));
    tokio::task::spawn_local(accept_small(host.clone(), addresses, where_to));
    Ok(())
}

async fn accept_callers<P>(host: Rc<EntryHost<P>>, listener: TcpListener)
where
    P: Dialect + Store + 'static,
{
    loop {
        let (stream, caller) = frames::accept_caller(&listener).await;
        let serving = serve_caller(host.clone(), stream, caller);
        tokio::task::spawn_local(serving);
    }
}

async fn serve_caller<P>(
    host: Rc<EntryHost<P>>,
    stream: TcpStream,
    caller: SocketAddr,
) where
    P: Dialect + Store + 'static,
{
    let limits = host.limits();
    let rest = Rest::begin();
    let mut ending = host.ending.subscribe();
    let service = service_fn(|request| {
        answer_caller(host.clone(), request, rest.clone())
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_MOST.max(rest::idle_most(limits)))
        .max_buf_size(heads::buffer_bytes(limits))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = rest.is_over(|| host.limits()) => None,
        _ = ending.wait_for(|is_ending| *is_ending) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        host.metrics.add("callers_cut_total", "", 1);
        host.log(LogEvent::CallerCut, &format!("caller={caller} {error:?}"));
    }
}

async fn answer_caller<P>(
    host: Rc<EntryHost<P>>,
    request: Request<Incoming>,
    rest: Rest,
) -> Result<Response<AnswerBody>, Infallible>
where
    P: Dialect + Store + 'static,
{
    let progress = Progress::begin(&host, rest);
    let mut response = proxy::answer(host.clone(), request, progress).await;
    if host.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// Counts a request in progress for as long as it lives.
#[derive(Debug)]
pub struct Progress<P> {
    host: Rc<EntryHost<P>>,
    rest: Rest,
}

impl<P> Progress<P> {
    fn begin(host: &Rc<EntryHost<P>>, rest: Rest) -> Progress<P> {
        add(&host.in_progress, 1);
        rest.stop();
        Progress { host: host.clone(), rest }
    }
}

impl<P> Drop for Progress<P> {
    fn drop(&mut self) {
        add(&self.host.in_progress, -1);
        self.rest.start();
    }
}

fn add(count: &Cell<usize>, change: isize) {
    count.set(count.get().saturating_add_signed(change));
}

type Small<P> =
    fn(&Rc<EntryHost<P>>, &Request<Incoming>) -> Response<Full<Bytes>>;

async fn accept_small<P>(
    host: Rc<EntryHost<P>>,
    listener: TcpListener,
    answer: Small<P>,
) where
    P: Dialect + Store + 'static,
{
    loop {
        let (stream, _) = frames::accept(&listener).await;
        let host = host.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = answer(&host, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("a small question's connection: {error}");
            }
        });
    }
}

fn ready<P>(
    host: &Rc<EntryHost<P>>,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>>
where
    P: Dialect + Store + 'static,
{
    let path = request.uri().path();
    if path == METRICS_PATH {
        return plain(StatusCode::OK, host.metrics.render());
    }
    match (host.platform.is_readiness_path(path), host.is_ready()) {
        (false, _) => plain(StatusCode::NOT_FOUND, String::new()),
        (true, true) => plain(StatusCode::OK, String::new()),
        (true, false) => plain(StatusCode::SERVICE_UNAVAILABLE, String::new()),
    }
}

/// Where the metrics are served, on the port for readiness.
pub const METRICS_PATH: &str = "/metrics";

fn plain(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

fn where_to<P>(
    host: &Rc<EntryHost<P>>,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>>
where
    P: Dialect + Store + 'static,
{
    let Some(query) = host.platform.address_query(request.uri()) else {
        return plain(StatusCode::NOT_FOUND, String::new());
    };
    let draw = rand::random_range(0..usize::from(u16::MAX));
    let addresses: Vec<SocketAddr> = host
        .members
        .borrow()
        .addresses_for(now_ms(), &query.data_centre, host.is_ready(), draw)
        .into_iter()
        .map(|ip| host.callers_address(ip))
        .collect();
    let body = host.platform.addresses(&addresses, host.address_ttl_s);
    let mut response = Response::new(Full::new(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// A whole body.
pub fn whole(body: Bytes) -> AnswerBody {
    Box::pin(Full::new(body).map_err(|never| match never {}))
}
