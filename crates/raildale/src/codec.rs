//! The framing of connections: a length, then one `prost` message.

use bytes::{Bytes, BytesMut};
use prost::Message;
use raildale_core::message::{Body, Frame, PROTOCOL_VERSION};
use tokio_util::codec::LengthDelimitedCodec;

use crate::error::{Error, ErrorKind};

/// The maximum size of a frame in bytes: a chunk of 16 MiB and its header.
pub const MAX_FRAME_BYTES: usize = (16 << 20) + 1024;

/// The size in bytes of the length prefix of a frame.
pub const LENGTH_BYTES: usize = 4;

/// Returns the codec that splits a connection's bytes into frames.
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Encodes a message as a frame with its length prefix.
pub fn encode(body: Body) -> Bytes {
    let frame = Frame::new(body);
    let mut out = BytesMut::with_capacity(LENGTH_BYTES + frame.encoded_len());
    out.extend_from_slice(&(frame.encoded_len() as u32).to_be_bytes());
    frame.encode(&mut out).expect("the buffer grows");
    out.freeze()
}

/// Decodes a frame without its length prefix.
///
/// # Errors
///
/// [`ErrorKind::Frame`] if it is malformed or has no body;
/// [`ErrorKind::Version`] if it has another protocol version.
pub fn decode(bytes: &[u8]) -> Result<Body, Error> {
    let frame = Frame::decode(bytes)
        .map_err(|error| Error::new(ErrorKind::Frame, error.to_string()))?;
    if frame.version != PROTOCOL_VERSION {
        let detail = format!("frame has version {}", frame.version);
        return Err(Error::new(ErrorKind::Version, detail));
    }
    frame.body.ok_or(Error::new(ErrorKind::Frame, "frame without a body"))
}
