//! Connections to targets, kept between requests.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

use crate::fleet::{frames, steady_clock::now_ms};

/// Milliseconds that a kept connection may rest at most: targets close idle
/// ones after a while, and what is sent into the closing is lost.
const IDLE_MOST_MS: u64 = 2_500;

/// The same for requests that must not be repeated.
const IDLE_MOST_ONCE_MS: u64 = 700;

/// Kept connections to one target at most.
const KEPT_MOST: usize = 24;

/// Why no answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent: nobody listens at the address.
    NobodyThere,
    /// Something was sent and no whole head came.
    Lost,
}

/// A connection to a target; dropping it ends it.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: TaskGuard,
    pool: Pool,
}

/// Ends a connection's task when dropped.
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
    /// A [`SendFailure`], which tells whether anything was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.sender.try_send_request(request).await.map_err(|mut error| {
            match error.take_message() {
                Some(_) => SendFailure::NotSent,
                None => SendFailure::Lost,
            }
        })
    }

    /// Keeps the connection for a later request. To be called once the
    /// answer's body has been read whole.
    pub fn keep(self) {
        if self.sender.is_closed() {
            return;
        }
        let Connection { address, sender, task, pool } = self;
        let idle = Idle { sender, task, since_ms: now_ms() };
        let mut all = pool.idle.borrow_mut();
        let kept = all.entry(address).or_default();
        kept.retain(|idle| idle.is_usable(IDLE_MOST_MS));
        if kept.len() < KEPT_MOST {
            kept.push(idle);
        }
    }
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    task: TaskGuard,
    since_ms: u64,
}

impl Idle {
    fn is_usable(&self, most_ms: u64) -> bool {
        !self.sender.is_closed() && now_ms() < self.since_ms + most_ms
    }
}

/// The kept connections of a process.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>,
}

impl Pool {
    /// No connections yet.
    pub fn new() -> Pool {
        Pool::default()
    }

    /// A kept connection, or a new one.
    ///
    /// # Errors
    ///
    /// [`SendFailure::NotSent`] if none comes up in time,
    /// [`SendFailure::NobodyThere`] if it is refused.
    pub async fn open(
        &self,
        address: SocketAddr,
        may_repeat: bool,
    ) -> Result<Connection, SendFailure> {
        match self.take(address, may_repeat) {
            Some(kept) => Ok(kept),
            None => self.connect(address).await,
        }
    }

    /// The connections that one attempt may use.
    pub fn openings(&self, address: SocketAddr, may_repeat: bool) -> Openings {
        Openings { pool: self.clone(), address, may_repeat, opened: 0 }
    }

    /// A new connection.
    async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<Connection, SendFailure> {
        let stream = frames::connect(address).await.map_err(|error| {
            match error.kind() {
                io::ErrorKind::ConnectionRefused => SendFailure::NobodyThere,
                _ => SendFailure::NotSent,
            }
        })?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
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

    /// Ends the kept connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    fn take(
        &self,
        address: SocketAddr,
        may_repeat: bool,
    ) -> Option<Connection> {
        let most_ms =
            if may_repeat { IDLE_MOST_MS } else { IDLE_MOST_ONCE_MS };
        let mut all = self.idle.borrow_mut();
        let kept = all.get_mut(&address)?;
        while let Some(idle) = kept.pop() {
            if idle.is_usable(most_ms) && idle.sender.is_ready() {
                let Idle { sender, task, .. } = idle;
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
/// sent, and another connection is no new attempt. A target that has closed
/// one may have closed all, so the other one is new.
#[derive(Debug)]
pub struct Openings {
    pool: Pool,
    address: SocketAddr,
    may_repeat: bool,
    opened: u32,
}

impl Openings {
    /// A kept connection or a new one, then a new one, then none.
    ///
    /// # Errors
    ///
    /// As [`Pool::open`] has.
    pub async fn next(&mut self) -> Option<Result<Connection, SendFailure>> {
        self.opened += 1;
        match self.opened {
            1 => Some(self.pool.open(self.address, self.may_repeat).await),
            2 => Some(self.pool.connect(self.address).await),
            _ => None,
        }
    }
}
