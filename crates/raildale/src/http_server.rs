//! An HTTP server whose connections end once their answers are written.

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

/// Pause after a connection could not be accepted: descriptors may have run
/// out, and a loop without a pause would only burn the processor. The figure
/// is an estimate.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What ends a server and its connections.
#[derive(Debug)]
pub struct Shutdown {
    /// Every connection listens to it for as long as it is open.
    is_ending: watch::Sender<bool>,
}

impl Shutdown {
    /// Ends nothing yet.
    pub fn new() -> Shutdown {
        Shutdown { is_ending: watch::Sender::new(false) }
    }

    /// Ends each connection once its answer in progress is written, and
    /// waits for them for `most`; returns how many are still open.
    pub async fn shut_down(&self, most: Duration) -> usize {
        self.is_ending.send_replace(true);
        match tokio::time::timeout(most, self.is_ending.closed()).await {
            Ok(()) => 0,
            Err(_) => self.is_ending.receiver_count(),
        }
    }
}

impl Default for Shutdown {
    fn default() -> Shutdown {
        Shutdown::new()
    }
}

/// Serves a router on a listener, without TLS, until it is ended.
pub async fn serve<H>(listener: TcpListener, handler: H, ending: &Shutdown)
where
    H: NewHandler + UnwindSafe + RefUnwindSafe + 'static,
{
    let handler = Arc::new(handler);
    let mut ending = ending.is_ending.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = is_ending(&mut ending) => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                let ending = ending.clone();
                let handler = handler.clone();
                tokio::spawn(serve_one(stream, peer, handler, ending));
            }
            Err(error) => {
                log::warn!("accept: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_one<H>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: Arc<H>,
    mut ending: watch::Receiver<bool>,
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
        () = is_ending(&mut ending) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("connection of {peer}: {error}");
    }
}

/// Small answers must not wait for a full segment.
fn set_no_delay(stream: &TcpStream) {
    let set: io::Result<()> = stream.set_nodelay(true);
    if let Err(error) = set {
        log::debug!("socket options: {error}");
    }
}

/// Waits until connections are to end; a server that is gone ends them too.
async fn is_ending(ending: &mut watch::Receiver<bool>) {
    let told = ending.wait_for(|is_ending| *is_ending).await;
    if told.is_err() {
        log::debug!("connections outlive what ends them");
    }
}
