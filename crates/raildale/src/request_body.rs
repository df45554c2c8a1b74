//! Reading the body of a caller's request.

use std::error::Error as StdError;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use raildale_core::Code;

/// Bytes over the limit that are read and thrown away.
///
/// A server that answers and closes while its caller is still sending resets
/// the connection, and the answer may be lost on the way. The figure is an
/// estimate of what callers send by mistake; whoever sends more is cut off.
const DISCARD_MOST_BYTES: usize = 16 << 20;

/// Reads a body of at most `most_bytes`.
///
/// # Errors
///
/// [`Code::TooLarge`] if it is longer, [`Code::Malformed`] if it breaks off.
pub async fn read<B>(body: B, most_bytes: usize) -> Result<Bytes, Code>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
{
    let mut body = std::pin::pin!(body);
    let mut whole = BytesMut::new();
    let mut discarded_bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Code::Malformed)?;
        // Trailers say nothing that is needed here.
        let Ok(data) = frame.into_data() else { continue };
        let is_over = whole.len() + data.len() > most_bytes;
        if !is_over && discarded_bytes == 0 {
            whole.extend_from_slice(&data);
            continue;
        }
        discarded_bytes += data.len();
        if discarded_bytes > DISCARD_MOST_BYTES {
            break;
        }
    }
    match discarded_bytes {
        0 => Ok(whole.freeze()),
        _ => Err(Code::TooLarge),
    }
}
