//! Reads the body of a caller's request.

use std::error::Error as StdError;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use raildale_core::Code;

/// The maximum number of bytes beyond the limit that are read and discarded.
///
/// A server that answers and closes while its caller is still sending resets
/// the connection, and the answer may be lost. The limit covers what callers
/// are expected to send by mistake; a caller that sends more is cut off.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// Reads a body of at most `max_bytes`.
///
/// # Errors
///
/// [`Code::TooLarge`] if it is longer, [`Code::Malformed`] if it is truncated.
pub async fn read<B>(body: B, max_bytes: usize) -> Result<Bytes, Code>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
{
    let mut body = std::pin::pin!(body);
    let mut whole = BytesMut::new();
    let mut discarded_bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Code::Malformed)?;
        // Trailers are ignored.
        let Ok(data) = frame.into_data() else { continue };
        let is_over = whole.len() + data.len() > max_bytes;
        if !is_over && discarded_bytes == 0 {
            whole.extend_from_slice(&data);
            continue;
        }
        discarded_bytes += data.len();
        if discarded_bytes > MAX_DISCARDED_BYTES {
            break;
        }
    }
    match discarded_bytes {
        0 => Ok(whole.freeze()),
        _ => Err(Code::TooLarge),
    }
}
