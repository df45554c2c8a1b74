//! Connections to targets, kept alive between requests.

use std::{
    cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc,
    time::Duration,
};

use hyper::{
    HeaderMap, Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::HOST,
};
use hyper_util::rt::TokioIo;
use tokio::{task::AbortHandle, time::timeout};

use super::bodies::RequestBody;
use crate::{
    fleet::{frames, steady_clock::now_ms},
    request_path::RequestPath,
};

/// The maximum idle time of a kept connection, in milliseconds. Targets close
/// idle connections after a while, and a request sent on a connection that is
/// being closed is lost.
const MAX_IDLE_MS: u64 = 2_500;

/// The same for requests that must not be repeated.
const MAX_IDLE_NON_REPEATABLE_MS: u64 = 700;

/// The maximum number of kept connections to one target.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// The maximum number of bytes of a connection that are read ahead, and so the
/// maximum size of an answer's head. There are thousands of connections, and a
/// target that fails may send bytes without end on each.
const MAX_BUFFERED_BYTES: usize = 16 << 10;

/// The timeout of a health check. A target that has just started has free
/// slots and answers at once.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Why no answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent: the connection was refused.
    ConnectionRefused,
    /// Something was sent, and no complete answer head arrived.
    Lost,
}

/// A connection to a target; it is closed when dropped.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<RequestBody>,
    task: TaskGuard,
    pool: Pool,
}

/// Aborts a connection's task when dropped.
#[derive(Debug)]
struct TaskGuard(AbortHandle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Sends a request and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// A [`SendFailure`], which shows whether anything was sent.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.sender.try_send_request(request).await.map_err(|mut error| {
            match error.take_message() {
                Some(_) => SendFailure::NotSent,
                None => SendFailure::Lost,
            }
        })
    }

    /// Opens another connection to the same address.
    ///
    /// # Errors
    ///
    /// Those of [`Pool::open`].
    pub async fn open_another(&self) -> Result<Connection, SendFailure> {
        self.pool.connect(self.address).await
    }

    /// Sends a health check, whose answer's body is not read. Returns the
    /// answer's headers; `None` if none arrives in time.
    pub async fn check_health(mut self, path: &str) -> Option<HeaderMap> {
        if path.is_empty() {
            return None;
        }
        let path = RequestPath::from_configured(path);
        let request = Request::get(path.as_str())
            .header(HOST, self.address.to_string())
            .body(RequestBody::empty())
            .ok()?;
        let answering = self.send(request);
        let answer = timeout(HEALTH_CHECK_TIMEOUT, answering).await.ok()?;
        Some(answer.ok()?.headers().clone())
    }

    /// Keeps the connection for a later request. Must only be called once the
    /// answer's body has been read to its end.
    pub fn keep(self) {
        if self.sender.is_closed() {
            return;
        }
        let Connection { address, sender, task, pool } = self;
        let idle = IdleConnection { sender, task, since_ms: now_ms() };
        let mut all = pool.idle.borrow_mut();
        let kept = all.entry(address).or_default();
        kept.retain(|idle| idle.is_usable(MAX_IDLE_MS));
        if kept.len() < MAX_IDLE_CONNECTIONS {
            kept.push(idle);
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<RequestBody>,
    task: TaskGuard,
    since_ms: u64,
}

impl IdleConnection {
    fn is_usable(&self, max_idle_ms: u64) -> bool {
        !self.sender.is_closed() && now_ms() < self.since_ms + max_idle_ms
    }
}

/// The kept connections of a process.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new() -> Pool {
        Pool::default()
    }

    /// Returns a kept connection, or a new one.
    ///
    /// # Errors
    ///
    /// [`SendFailure::NotSent`] if no connection is established in time,
    /// [`SendFailure::ConnectionRefused`] if it is refused.
    pub async fn open(
        &self,
        address: SocketAddr,
        may_repeat: bool,
    ) -> Result<Connection, SendFailure> {
        match self.take_idle(address, may_repeat) {
            Some(kept) => Ok(kept),
            None => self.connect(address).await,
        }
    }

    /// Returns the connections that one attempt may use.
    pub fn connections(
        &self,
        address: SocketAddr,
        may_repeat: bool,
    ) -> AttemptConnections {
        AttemptConnections {
            pool: self.clone(),
            address,
            may_repeat,
            opened: 0,
        }
    }

    /// Opens a new connection.
    async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<Connection, SendFailure> {
        let stream = frames::connect_target(address).await.map_err(
            |error| match error.kind() {
                io::ErrorKind::ConnectionRefused => {
                    SendFailure::ConnectionRefused
                }
                _ => SendFailure::NotSent,
            },
        )?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFERED_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| SendFailure::NotSent)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address}: {error}");
            }
        });
        Ok(Connection {
            address,
            sender,
            task: TaskGuard(task.abort_handle()),
            pool: self.clone(),
        })
    }

    /// Closes the kept connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        may_repeat: bool,
    ) -> Option<Connection> {
        let max_idle_ms =
            if may_repeat { MAX_IDLE_MS } else { MAX_IDLE_NON_REPEATABLE_MS };
        let mut all = self.idle.borrow_mut();
        let kept = all.get_mut(&address)?;
        while let Some(idle) = kept.pop() {
            if idle.is_usable(max_idle_ms) && idle.sender.is_ready() {
                let IdleConnection { sender, task, .. } = idle;
                let pool = self.clone();
                return Some(Connection { address, sender, task, pool });
            }
        }
        None
    }
}

/// The connections that one attempt may use, one after the other.
///
/// A target may have closed a kept connection meanwhile; then nothing was
/// sent, and using another connection is not a new attempt. A target that
/// closed one connection may have closed all, so the second one is always new.
#[derive(Debug)]
pub struct AttemptConnections {
    pool: Pool,
    address: SocketAddr,
    may_repeat: bool,
    opened: u32,
}

impl AttemptConnections {
    /// Returns a kept or new connection on the first call, a new one on the
    /// second, then `None`.
    ///
    /// # Errors
    ///
    /// Those of [`Pool::open`].
    pub async fn next(&mut self) -> Option<Result<Connection, SendFailure>> {
        self.opened += 1;
        match self.opened {
            1 => Some(self.pool.open(self.address, self.may_repeat).await),
            2 => Some(self.pool.connect(self.address).await),
            _ => None,
        }
    }
}
