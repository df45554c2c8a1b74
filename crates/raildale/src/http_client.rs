//! HTTP towards the platform, the origin and targets.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, body::Incoming,
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

use crate::running_timeout::running_timeout;

/// Connections to one peer that are kept at most.
pub const MAX_IDLE_CONNECTIONS: usize = 64;

/// How long a kept connection rests at most.
pub const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// Why an answer did not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection: nothing was sent.
    NotSent,
    /// Something was sent and no whole answer came.
    Lost,
    /// The same, and the time for it is over.
    Late,
}

/// A pooled client.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A whole answer.
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
    /// A client whose connections leave from `bind_ip`, if there is one.
    pub fn new(bind_ip: Option<std::net::IpAddr>) -> HttpClient {
        HttpClient::with_pool_limits(
            bind_ip,
            MAX_IDLE_CONNECTIONS,
            MAX_IDLE_TIME,
        )
    }

    /// A client that keeps `kept` connections to a peer at most, and none
    /// that has rested for longer than `rest`.
    pub fn with_pool_limits(
        bind_ip: Option<std::net::IpAddr>,
        kept: usize,
        rest: Duration,
    ) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_local_address(bind_ip);
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(rest)
            .pool_max_idle_per_host(kept)
            .retry_canceled_requests(false)
            .build(connector);
        HttpClient { client }
    }

    /// Sends a request and returns the answer's head; its body streams.
    ///
    /// # Errors
    ///
    /// A [`Failure`], which tells whether anything was sent.
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

    /// Sends a request and reads an answer of at most `most` bytes.
    ///
    /// # Errors
    ///
    /// A [`Failure`]; an answer that is too long or too late counts as lost.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        most: usize,
        timeout: Duration,
    ) -> Result<Answer, Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(body)
            .map_err(|_| Failure::NotSent)?;
        self.exchange(request, most, timeout).await
    }

    /// Sends a request with headers of its own and reads an answer of at
    /// most `most` bytes.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::call`].
    pub async fn exchange(
        &self,
        request: Request<Bytes>,
        most: usize,
        timeout: Duration,
    ) -> Result<Answer, Failure> {
        let exchange = async {
            let (head, body) =
                self.open(request.map(Full::new)).await?.into_parts();
            let body = Limited::new(body, most)
                .collect()
                .await
                .map_err(|_| Failure::Lost)?
                .to_bytes();
            let (status, headers) = (head.status, head.headers);
            Ok(Answer { status, headers, body })
        };
        running_timeout(timeout, exchange).await.unwrap_or(Err(Failure::Late))
    }
}
