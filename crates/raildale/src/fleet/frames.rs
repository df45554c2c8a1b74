//! Datagrams and frames between the processes of a fleet.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use prost::Message;
use raildale_core::fleet_message::{Datagram, FleetBody, FleetFrame, Note};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::{
    codec,
    error::{Error, ErrorKind},
};

/// How long a connection may take to come up: four times the way between
/// the farthest data centres, with a retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after which unacknowledged bytes end a connection: a machine without
/// power says nothing.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The same for callers' connections. There the time also runs while a caller
/// acknowledges everything and takes in nothing, since it reads slowly: more
/// than the pause of any caller that still wants its answer.
const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(15);

/// Time without a byte after which a peer is probed, and from probe to probe:
/// the shortest that the system takes. The first one without an answer after
/// the connection's own time-out ends it.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Pause after a connection could not be accepted: descriptors may have run
/// out, and a loop without a pause would only burn the processor. The figure
/// is an estimate.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bytes of a datagram at most. Each agent takes 13 bytes of a briefing while
/// versions are below 128, and 60 bytes of a digest.
const MAX_DATAGRAM_BYTES: usize = 32 << 10;

/// Encodes a datagram.
pub fn encode_note(note: Note) -> Vec<u8> {
    Datagram { note: Some(note) }.encode_to_vec()
}

/// Receives datagrams of a socket, one after the other.
#[derive(Debug)]
pub struct NoteReceiver {
    socket: Rc<UdpSocket>,
    buffer: Vec<u8>,
}

impl NoteReceiver {
    /// A receiver of what comes to `socket`.
    pub fn new(socket: Rc<UdpSocket>) -> NoteReceiver {
        NoteReceiver { socket, buffer: vec![0; MAX_DATAGRAM_BYTES] }
    }

    /// The next well-formed datagram, and who sent it.
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

/// Encodes a frame without its length, for a sink that puts it in front.
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

/// Opens a connection that notices a dead peer.
///
/// # Errors
///
/// Why it does not come up, or that it does not in time.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
    tune(&stream, USER_TIMEOUT);
    Ok(stream)
}

/// The next connection of a process of the fleet that comes to `listener`,
/// and who opened it.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    accept_within(listener, USER_TIMEOUT).await
}

/// The next connection of a caller that comes to `listener`, and who opened
/// it.
pub async fn accept_caller(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    accept_within(listener, CALLER_USER_TIMEOUT).await
}

async fn accept_within(
    listener: &TcpListener,
    user_timeout: Duration,
) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                tune(&stream, user_timeout);
                return (stream, peer);
            }
            Err(error) => {
                log::warn!("accept: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Sets what every connection of a fleet has: small writes leave at once,
/// and a silent peer ends it, also while nothing is to be sent: a request
/// whose bytes were acknowledged before its connection fell silent would
/// wait for its deadline.
fn tune(stream: &TcpStream, user_timeout: Duration) {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(user_timeout)))
        .and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(error) = set {
        log::debug!("socket options: {error}");
    }
}
