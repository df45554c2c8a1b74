//! The ports that callers use: requests, readiness, and the list of addresses.

use std::{
    cell::Cell,
    convert::Infallible,
    net::{IpAddr, SocketAddr},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Frame, Incoming, SizeHint},
    header::{CONNECTION, CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use raildale_core::{
    LogEvent, callers::connections::Use, members::BoundRegions,
};
use tokio::net::TcpListener;

use super::{
    EntryHost,
    answer_memory::HeldAnswer,
    caller_stream::CallerStream,
    heads,
    idle::{self, IdleTimer},
    ports::{Place, Port},
    proxy,
    proxy::AnswerBody,
    resources::CALLER_BUFFER_BYTES,
};
use crate::{
    error::Error,
    fleet::{
        edge::{AddressQuery, Dialect, Store},
        frames::{self, REQUEST_BUFFER_BYTES, listen},
        steady_clock::now_ms,
        watched_stream::WatchedStream,
    },
};

/// The minimum time-out for reading a request's head, including the idle time
/// before it. It bounds callers that send a head byte by byte. The idle time
/// alone is limited by the settings in force, and is shorter.
const MIN_HEAD_READ_TIMEOUT: Duration = Duration::from_secs(300);

/// The maximum buffer of a connection for readiness checks or addresses, in
/// bytes.
const SIMPLE_BUFFER_BYTES: usize = 32 << 10;

/// Starts all three ports.
///
/// # Errors
///
/// [`crate::ErrorKind::Io`] if one cannot be listened on.
pub async fn start<P>(host: &Rc<EntryHost<P>>) -> Result<(), Error>
where
    P: Dialect + Store + 'static,
{
    let callers = listen(host.listen.callers, CALLER_BUFFER_BYTES).await?;
    let readiness =
        listen(host.listen.readiness, REQUEST_BUFFER_BYTES).await?;
    let addresses =
        listen(host.listen.addresses, REQUEST_BUFFER_BYTES).await?;
    tokio::task::spawn_local(accept_callers(host.clone(), callers));
    tokio::task::spawn_local(accept_simple(
        host.clone(),
        (readiness, host.ports.readiness.clone()),
        answer_readiness,
    ));
    tokio::task::spawn_local(accept_simple(
        host.clone(),
        (addresses, host.ports.addresses.clone()),
        answer_addresses,
    ));
    Ok(())
}

async fn accept_callers<P>(host: Rc<EntryHost<P>>, listener: TcpListener)
where
    P: Dialect + Store + 'static,
{
    loop {
        let (stream, caller) = frames::accept_caller(&listener).await;
        let place = host.ports.callers.admit().await;
        let serving = serve_caller(host.clone(), stream, place, caller);
        tokio::task::spawn_local(serving);
    }
}

async fn serve_caller<P>(
    host: Rc<EntryHost<P>>,
    stream: WatchedStream,
    place: Rc<Place>,
    caller: SocketAddr,
) where
    P: Dialect + Store + 'static,
{
    let limits = host.limits();
    let idle = IdleTimer::started();
    let mut closing = host.closing.subscribe();
    let service = service_fn(|request| {
        answer_caller(host.clone(), request, idle.clone(), place.clone())
    });
    let stream = CallerStream::new(stream, place.clone());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(MIN_HEAD_READ_TIMEOUT.max(idle::max_idle(limits)))
        .max_buf_size(heads::buffer_bytes(limits))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = place.closed() => {
            host.metrics.add("connections_displaced_total", "", 1);
            return;
        }
        () = idle.expired(|| host.limits()) => None,
        _ = closing.wait_for(|is_ending| *is_ending) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection => ended,
                () = place.closed() => return,
            }
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
    idle: IdleTimer,
    place: Rc<Place>,
) -> Result<Response<AnswerBody>, Infallible>
where
    P: Dialect + Store + 'static,
{
    let progress = RequestGuard::begin(&host, idle, place.clone());
    let mut response = proxy::answer(host.clone(), request, progress).await;
    if host.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    if let Some(reservation) = HeldAnswer::take(&mut response) {
        place.hold(reservation);
    }
    Ok(response.map(|body| {
        let body: AnswerBody = Box::pin(WrittenBody::new(body, place));
        body
    }))
}

/// The body of an answer that tells its connection's place when all of it has
/// been handed over.
struct WrittenBody<B> {
    body: B,
    place: Rc<Place>,
}

impl<B> WrittenBody<B> {
    fn new(body: B, place: Rc<Place>) -> WrittenBody<B> {
        WrittenBody { body, place }
    }
}

impl<B: Body + Unpin> Body for WrittenBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for WrittenBody<B> {
    fn drop(&mut self) {
        self.place.record_answer();
    }
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct RequestGuard<P> {
    host: Rc<EntryHost<P>>,
    idle: IdleTimer,
    place: Rc<Place>,
    began_ms: u64,
}

impl<P> RequestGuard<P> {
    fn begin(
        host: &Rc<EntryHost<P>>,
        idle: IdleTimer,
        place: Rc<Place>,
    ) -> RequestGuard<P> {
        adjust(&host.in_progress, 1);
        idle.pause();
        let began_ms = now_ms();
        let guard = RequestGuard { host: host.clone(), idle, place, began_ms };
        guard.record_body(0);
        guard
    }

    /// Records how much of the request's body has arrived.
    pub fn record_body(&self, bytes: usize) {
        let bytes = bytes as u64;
        self.place.set_use(Use::Body { since_ms: self.began_ms, bytes });
    }

    /// Records that the request has arrived whole, or is refused.
    pub fn record_arrived(&self) {
        self.place.set_use(Use::Answer { blocked_since_ms: None });
    }
}

impl<P> Drop for RequestGuard<P> {
    fn drop(&mut self) {
        adjust(&self.host.in_progress, -1);
        self.idle.restart();
    }
}

fn adjust(count: &Cell<usize>, change: isize) {
    count.set(count.get().saturating_add_signed(change));
}

type SimpleHandler<P> =
    fn(&Rc<EntryHost<P>>, &Request<Incoming>) -> Response<Full<Bytes>>;

async fn accept_simple<P>(
    host: Rc<EntryHost<P>>,
    (listener, port): (TcpListener, Rc<Port>),
    answer: SimpleHandler<P>,
) where
    P: Dialect + Store + 'static,
{
    loop {
        let (stream, _) = frames::accept(&listener).await;
        let place = port.admit().await;
        let host = host.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                place.set_use(Use::Answer { blocked_since_ms: None });
                let response = answer(&host, &request);
                let response =
                    response.map(|body| WrittenBody::new(body, place.clone()));
                async move { Ok::<_, Infallible>(response) }
            });
            let stream = CallerStream::new(stream, place.clone());
            let connection = http1::Builder::new()
                .max_buf_size(SIMPLE_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                ended = connection => if let Err(error) = ended {
                    log::debug!("readiness or addresses: {error}");
                },
                () = place.closed() => {}
            }
        });
    }
}

fn answer_readiness<P>(
    host: &Rc<EntryHost<P>>,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>>
where
    P: Dialect + Store + 'static,
{
    let path = request.uri().path();
    if path == METRICS_PATH {
        return text_response(StatusCode::OK, host.metrics.render());
    }
    match (host.platform.is_readiness_path(path), host.is_ready()) {
        (false, _) => text_response(StatusCode::NOT_FOUND, String::new()),
        (true, true) => text_response(StatusCode::OK, String::new()),
        (true, false) => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, String::new())
        }
    }
}

/// The path of the metrics on the readiness port.
pub const METRICS_PATH: &str = "/metrics";

fn text_response(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

fn answer_addresses<P>(
    host: &Rc<EntryHost<P>>,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>>
where
    P: Dialect + Store + 'static,
{
    let Some(query) = host.platform.address_query(request.uri()) else {
        return text_response(StatusCode::NOT_FOUND, String::new());
    };
    let draw = rand::random_range(0..usize::from(u16::MAX));
    let addresses: Vec<SocketAddr> = host
        .addresses(&query, draw)
        .into_iter()
        .map(|ip| host.callers_address(ip))
        .collect();
    let body = host.platform.addresses(&addresses, host.address_ttl_s);
    let mut response = Response::new(Full::new(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

impl<P: Dialect + Store + 'static> EntryHost<P> {
    /// Returns the entry hosts for a caller. `draw` rotates those that are
    /// not in the caller's data centre.
    fn addresses(&self, query: &AddressQuery, draw: usize) -> Vec<IpAddr> {
        let AddressQuery { data_centre, host } = query;
        let gateway = self.gateway.borrow();
        let routing = gateway.routing();
        let allowed = routing.map(|routing| routing.bound_regions(host));
        let members = self.members.borrow();
        let (now, is_open) = (now_ms(), self.is_ready());
        match allowed.filter(|allowed| !allowed.is_empty()) {
            None if members.is_concentrating() => {
                let slots = gateway.model_slots(Some(data_centre));
                members
                    .concentrated_addresses(now, data_centre, is_open, slots)
                    .unwrap_or_else(|| {
                        members.addresses_for(now, data_centre, is_open, draw)
                    })
            }
            None => members.addresses_for(now, data_centre, is_open, draw),
            Some(allowed) => {
                let regions = gateway.regions();
                let bound = BoundRegions { regions, allowed: &allowed };
                members.addresses_in_regions(
                    now,
                    data_centre,
                    is_open,
                    draw,
                    bound,
                )
            }
        }
    }
}

/// Returns a body that consists of `body`.
pub fn full_body(body: Bytes) -> AnswerBody {
    Box::pin(Full::new(body).map_err(|never| match never {}))
}
