//! The HTTP client for the platform, the origin and targets.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, body::Incoming,
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

use crate::{request_path::RequestPath, running_timeout::running_timeout};

/// The maximum number of idle connections kept per peer.
pub const MAX_IDLE_CONNECTIONS: usize = 64;

/// How long an idle connection is kept.
pub const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// The minimum progress of a body within [`Timeout::Progress`]'s window, in
/// bytes. An answer that brings less is as good as silent.
const MIN_PROGRESS_BYTES: usize = 16 << 10;

/// When a call is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timeout {
    /// If the answer is not complete by then.
    Total(Duration),
    /// If the head has not arrived after `head`, or if a `window` of its body
    /// brings hardly any progress. For answers whose length and way are
    /// unknown.
    Progress {
        /// The time until the head.
        head: Duration,
        /// The time in which the body progresses.
        window: Duration,
    },
}

impl From<Duration> for Timeout {
    fn from(total: Duration) -> Timeout {
        Timeout::Total(total)
    }
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be opened; nothing was sent.
    NotSent,
    /// The request may have been sent, but no complete answer arrived.
    Lost,
    /// No complete answer arrived before the time-out.
    Late,
    /// The answer is longer than it may be.
    TooLong,
}

/// An HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl HttpClient {
    /// Creates a client whose connections are bound to `bind_ip`, if given.
    pub fn new(bind_ip: Option<std::net::IpAddr>) -> HttpClient {
        HttpClient::with_pool_limits(
            bind_ip,
            MAX_IDLE_CONNECTIONS,
            MAX_IDLE_TIME,
        )
    }

    /// Creates a client that keeps at most `max_idle` idle connections per
    /// peer, each for at most `max_idle_time`.
    pub fn with_pool_limits(
        bind_ip: Option<std::net::IpAddr>,
        max_idle: usize,
        max_idle_time: Duration,
    ) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_local_address(bind_ip);
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(max_idle_time)
            .pool_max_idle_per_host(max_idle)
            .retry_canceled_requests(false)
            .build(connector);
        HttpClient { client }
    }

    /// Sends a request and returns the answer once its head has arrived; the
    /// body is streamed.
    ///
    /// # Errors
    ///
    /// [`Failure::NotSent`] if nothing was sent, [`Failure::Lost`] otherwise.
    pub async fn open(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        self.client.request(request).await.map_err(|error| {
            match error.is_connect() {
                true => Failure::NotSent,
                false => Failure::Lost,
            }
        })
    }

    /// Sends a request and reads an answer of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// A [`Failure`]; an answer that is given up because of `timeout` is
    /// [`Failure::Late`].
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &RequestPath,
        body: Bytes,
        max_bytes: usize,
        timeout: impl Into<Timeout>,
    ) -> Result<Answer, Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(body)
            .map_err(|_| Failure::NotSent)?;
        self.exchange(request, max_bytes, timeout).await
    }

    /// Sends a request with its own headers and reads an answer of at most
    /// `max_bytes`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::call`].
    pub async fn exchange(
        &self,
        request: Request<Bytes>,
        max_bytes: usize,
        timeout: impl Into<Timeout>,
    ) -> Result<Answer, Failure> {
        let opening = self.open(request.map(Full::new));
        let (response, received) = match timeout.into() {
            Timeout::Total(total) => {
                let exchange = async {
                    let (response, body) = opening.await?.into_parts();
                    let mut body = BodyReader::new(body, max_bytes);
                    body.read_until(usize::MAX).await?;
                    Ok((response, body.received))
                };
                in_time(total, exchange).await?
            }
            Timeout::Progress { head, window } => {
                let response = in_time(head, opening).await?;
                let (response, body) = response.into_parts();
                let mut body = BodyReader::new(body, max_bytes);
                body.read_progressing(window).await?;
                (response, body.received)
            }
        };
        let (status, headers) = (response.status, response.headers);
        Ok(Answer { status, headers, body: received.freeze() })
    }
}

/// Waits for a part of a call for up to `limit`.
async fn in_time<T>(
    limit: Duration,
    part: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    running_timeout(limit, part).await.unwrap_or(Err(Failure::Late))
}

/// Reads the body of an answer.
#[derive(Debug)]
struct BodyReader {
    body: Limited<Incoming>,
    received: BytesMut,
}

impl BodyReader {
    /// Creates a reader of a body of at most `max_bytes`.
    fn new(body: Incoming, max_bytes: usize) -> BodyReader {
        let body = Limited::new(body, max_bytes);
        BodyReader { body, received: BytesMut::new() }
    }

    /// Reads to the end, as long as each `window` brings enough.
    async fn read_progressing(
        &mut self,
        window: Duration,
    ) -> Result<(), Failure> {
        loop {
            let enough = self.received.len() + MIN_PROGRESS_BYTES;
            let reading = self.read_until(enough);
            if in_time(window, reading).await? {
                return Ok(());
            }
        }
    }

    /// Reads until `enough` bytes have been received or the body ends. Returns
    /// whether it has ended.
    async fn read_until(&mut self, enough: usize) -> Result<bool, Failure> {
        while self.received.len() < enough {
            let Some(frame) = self.body.frame().await else {
                return Ok(true);
            };
            let frame = frame.map_err(|error| {
                match error.is::<LengthLimitError>() {
                    true => Failure::TooLong,
                    false => Failure::Lost,
                }
            })?;
            if let Some(data) = frame.data_ref() {
                self.received.extend_from_slice(data);
            }
        }
        Ok(false)
    }
}
