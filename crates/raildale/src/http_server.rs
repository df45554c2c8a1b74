//! An HTTP server that closes its connections gracefully.

use std::{
    io,
    net::SocketAddr,
    panic::{AssertUnwindSafe, RefUnwindSafe, UnwindSafe},
    sync::Arc,
    time::Duration,
};

use gotham::{handler::NewHandler, service::call_handler, state::State};
use hyper::{Request, body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Pause after a connection could not be accepted. The process may have run
/// out of file descriptors; retrying at once would be a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Shuts down a server and its connections.
#[derive(Debug)]
pub struct Shutdown {
    /// Set to `true` on shutdown. Every open connection holds a receiver.
    is_shut_down: watch::Sender<bool>,
}

impl Shutdown {
    /// Creates a handle that has not been triggered.
    pub fn new() -> Shutdown {
        Shutdown { is_shut_down: watch::Sender::new(false) }
    }

    /// Closes each connection once its answer in progress is written and waits
    /// for this up to `limit`. Returns the number of connections still open.
    pub async fn shut_down(&self, limit: Duration) -> usize {
        self.is_shut_down.send_replace(true);
        match tokio::time::timeout(limit, self.is_shut_down.closed()).await {
            Ok(()) => 0,
            Err(_) => self.is_shut_down.receiver_count(),
        }
    }
}

impl Default for Shutdown {
    fn default() -> Shutdown {
        Shutdown::new()
    }
}

/// Serves a router on a listener, without TLS, until shutdown.
pub async fn serve<H>(listener: TcpListener, handler: H, shutdown: &Shutdown)
where
    H: NewHandler + UnwindSafe + RefUnwindSafe + 'static,
{
    let handler = Arc::new(handler);
    let mut shutdown = shutdown.is_shut_down.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_shutdown(&mut shutdown) => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                let shutdown = shutdown.clone();
                let handler = handler.clone();
                tokio::spawn(serve_one(stream, peer, handler, shutdown));
            }
            Err(error) => {
                log::warn!("connection could not be accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_one<H>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: Arc<H>,
    mut shutdown: watch::Receiver<bool>,
) where
    H: NewHandler + UnwindSafe + RefUnwindSafe + 'static,
{
    set_no_delay(&stream);
    let service = service_fn(|request: Request<Incoming>| {
        let state = AssertUnwindSafe(State::from_request(request, peer));
        call_handler(handler.clone(), state)
    });
    let protocol = auto::Builder::new(TokioExecutor::new());
    let connection = protocol.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = wait_for_shutdown(&mut shutdown) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("connection to {peer} failed: {error}");
    }
}

/// Disables Nagle's algorithm, so that small answers are sent at once.
fn set_no_delay(stream: &TcpStream) {
    let set: io::Result<()> = stream.set_nodelay(true);
    if let Err(error) = set {
        log::debug!("TCP_NODELAY could not be set: {error}");
    }
}

/// Waits for shutdown. A dropped [`Shutdown`] triggers it too.
async fn wait_for_shutdown(shutdown: &mut watch::Receiver<bool>) {
    let result = shutdown.wait_for(|is_shut_down| *is_shut_down).await;
    if result.is_err() {
        log::debug!("shutdown handle was dropped; closing connections");
    }
}
