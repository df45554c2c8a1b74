//! Frames on a connection: a length, then one `prost` message.

use bytes::{Bytes, BytesMut};
use prost::Message;
use raildale_core::message::{Body, Frame, PROTOCOL_VERSION};
use tokio_util::codec::LengthDelimitedCodec;

use crate::error::{Error, ErrorKind};

/// Bytes of a frame at most: a chunk of 16 MiB and its header.
pub const MAX_FRAME_BYTES: usize = (16 << 20) + 1024;

/// Bytes of the length before each frame.
pub const LENGTH_BYTES: usize = 4;

/// The splitter of a connection's bytes into frames.
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Encodes a message with its length.
pub fn encode(body: Body) -> Bytes {
    let frame = Frame::new(body);
    let mut out = BytesMut::with_capacity(LENGTH_BYTES + frame.encoded_len());
    out.extend_from_slice(&(frame.encoded_len() as u32).to_be_bytes());
    frame.encode(&mut out).expect("the buffer grows");
    out.freeze()
}

/// Decodes one frame.
///
/// # Errors
///
/// [`ErrorKind::Frame`] if it is malformed or has no body;
/// [`ErrorKind::Version`] if it speaks another protocol version.
pub fn decode(bytes: &[u8]) -> Result<Body, Error> {
    let frame = Frame::decode(bytes)
        .map_err(|error| Error::new(ErrorKind::Frame, error.to_string()))?;
    if frame.version != PROTOCOL_VERSION {
        let detail = format!("version {}", frame.version);
        return Err(Error::new(ErrorKind::Version, detail));
    }
    frame.body.ok_or(Error::new(ErrorKind::Frame, "no body"))
}
