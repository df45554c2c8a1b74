//! Datagrams and frames between the processes of a fleet.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use prost::Message;
use raildale_core::fleet_message::{Datagram, FleetBody, FleetFrame, Note};
use tokio::net::TcpStream;

use crate::{
    codec,
    error::{Error, ErrorKind},
};

/// How long a connection may take to come up: four times the way between
/// the farthest data centres, with a retransmission.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after which unacknowledged bytes end a connection: a machine without
/// power says nothing.
pub const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Bytes of a datagram at most.
pub const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// Encodes a datagram.
pub fn encode_note(note: Note) -> Vec<u8> {
    Datagram { note: Some(note) }.encode_to_vec()
}

/// Decodes a datagram; `None` if it is malformed.
pub fn decode_note(bytes: &[u8]) -> Option<Note> {
    Datagram::decode(bytes).ok()?.note
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
/// [`ErrorKind::Io`] if it does not come up in time.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, Error> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| Error::new(ErrorKind::Io, "no connection in time"))??;
    tune(&stream);
    Ok(stream)
}

/// Sets what every connection of a fleet has: small writes leave at once,
/// and a silent peer ends it.
pub fn tune(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(USER_TIMEOUT)));
    if let Err(error) = set {
        log::debug!("socket options: {error}");
    }
}
