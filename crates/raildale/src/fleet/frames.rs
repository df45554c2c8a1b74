//! Datagrams and frames between the processes of a fleet, and the options of
//! their connections.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use prost::Message;
use raildale_core::fleet_message::{Datagram, FleetBody, FleetFrame, Note};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use super::watched_stream::WatchedStream;
use crate::{
    codec,
    error::{Error, ErrorKind},
};

/// The time-out for opening a connection: four times the delay between the
/// farthest data centres, with a retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// How long sent bytes may stay unacknowledged until the connection ends: a
/// machine without power sends nothing.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The same for callers' connections: an answer that is ready should survive
/// a longer outage of its caller's link.
const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a caller may read nothing of an answer, which the entry host holds
/// for as long.
const MAX_CALLER_PAUSE: Duration = Duration::from_secs(60);

/// The idle time after which a peer is probed, and the time between probes:
/// the shortest that the system accepts. The first unanswered probe after the
/// connection's user time-out ends it.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The pause after a failure to accept a connection: file descriptors may have
/// run out, and a loop without a pause would only waste processor time. The
/// value is an estimate.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The receive buffer of connections that bring short requests, in bytes.
pub const REQUEST_BUFFER_BYTES: usize = 16 << 10;

/// The maximum size of a datagram, in bytes. Each agent takes 13 bytes of a
/// briefing while versions are below 128, and 60 bytes of a digest.
pub const MAX_DATAGRAM_BYTES: usize = 32 << 10;

/// Encodes a datagram.
pub fn encode_note(note: Note) -> Vec<u8> {
    Datagram { note: Some(note) }.encode_to_vec()
}

/// Receives the datagrams of a socket.
#[derive(Debug)]
pub struct NoteReceiver {
    socket: Rc<UdpSocket>,
    buffer: Vec<u8>,
}

impl NoteReceiver {
    /// Creates a receiver of the datagrams that arrive at `socket`.
    pub fn new(socket: Rc<UdpSocket>) -> NoteReceiver {
        NoteReceiver { socket, buffer: vec![0; MAX_DATAGRAM_BYTES] }
    }

    /// Returns the next well-formed datagram and its sender. Others are logged
    /// and skipped.
    pub async fn next(&mut self) -> (Note, SocketAddr) {
        loop {
            match self.socket.recv_from(&mut self.buffer).await {
                Ok((length, from)) => {
                    match Datagram::decode(&self.buffer[..length]) {
                        Ok(Datagram { note: Some(note) }) => {
                            return (note, from);
                        }
                        Ok(_) => log::debug!("empty datagram from {from}"),
                        Err(error) => {
                            log::debug!("datagram from {from}: {error}");
                        }
                    }
                }
                Err(error) => log::debug!("datagram: {error}"),
            }
        }
    }
}

/// Encodes a frame without its length, for a sink that adds it.
pub fn encode_body(body: FleetBody) -> Bytes {
    Bytes::from(FleetFrame { body: Some(body) }.encode_to_vec())
}

/// Encodes a frame with its length.
pub fn encode_frame(body: FleetBody) -> Bytes {
    let frame = FleetFrame { body: Some(body) };
    let length = frame.encoded_len();
    let mut out = BytesMut::with_capacity(codec::LENGTH_BYTES + length);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    frame.encode(&mut out).expect("the buffer grows");
    out.freeze()
}

/// Decodes a frame.
///
/// # Errors
///
/// [`ErrorKind::Frame`] if it is malformed or has no body.
pub fn decode_frame(bytes: Bytes) -> Result<FleetBody, Error> {
    FleetFrame::decode(bytes)
        .map_err(|error| Error::new(ErrorKind::Frame, error.to_string()))?
        .body
        .ok_or(Error::new(ErrorKind::Frame, "no body"))
}

/// Opens a connection that detects a dead peer.
///
/// # Errors
///
/// The error of the connection attempt, or that it timed out.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
    set_socket_options(&stream, USER_TIMEOUT);
    Ok(stream)
}

/// Opens a connection to a target, which may pause while it reads a request.
/// What has not reached it when the request is given up does not arrive later.
///
/// # Errors
///
/// As [`connect`].
pub async fn connect_target(address: SocketAddr) -> io::Result<WatchedStream> {
    let stream = connect(address).await?;
    Ok(WatchedStream::new(stream, USER_TIMEOUT).with_discard_on_drop())
}

/// Listens on an address. Each connection has a receive buffer of
/// `buffer_bytes`: the system would enlarge those of fast connections, and what
/// it holds there counts as this process's memory.
///
/// # Errors
///
/// As [`TcpListener::bind`].
pub async fn listen(
    address: SocketAddr,
    buffer_bytes: usize,
) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    let socket = socket2::SockRef::from(&listener);
    if let Err(error) = socket.set_recv_buffer_size(buffer_bytes) {
        log::warn!("receive buffer of {address}: {error}");
    }
    Ok(listener)
}

/// Accepts the next connection from a process of the fleet. Returns it with
/// the peer's address.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    accept_with_timeout(listener, USER_TIMEOUT).await
}

/// Accepts the next connection from a caller, which may pause while it reads an
/// answer. Returns it with the peer's address.
pub async fn accept_caller(
    listener: &TcpListener,
) -> (WatchedStream, SocketAddr) {
    let (stream, peer) =
        accept_with_timeout(listener, CALLER_USER_TIMEOUT).await;
    let stream = WatchedStream::new(stream, CALLER_USER_TIMEOUT)
        .with_max_pause(MAX_CALLER_PAUSE);
    (stream, peer)
}

async fn accept_with_timeout(
    listener: &TcpListener,
    user_timeout: Duration,
) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                set_socket_options(&stream, user_timeout);
                return (stream, peer);
            }
            Err(error) => {
                log::warn!("accept: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Sets the socket options of all connections of a fleet: small writes are
/// sent at once, and a silent peer ends the connection even while nothing is
/// to be sent. Otherwise a request whose bytes were acknowledged before its
/// connection fell silent would wait for its deadline.
fn set_socket_options(stream: &TcpStream, user_timeout: Duration) {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(user_timeout)))
        .and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(error) = set {
        log::debug!("socket options: {error}");
    }
}
