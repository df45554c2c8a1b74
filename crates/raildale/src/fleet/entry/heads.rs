//! How long the head of a caller's request is, and may be.

use hyper::http::request::Parts;
use raildale_core::gateway::routes::Limits;

/// Bytes that a caller's connection may buffer in each direction. The limits
/// in force change while it is open, so this is more than they usually allow
/// for a head. Buffers grow with what is sent only.
const BUFFER_BYTES: usize = 256 << 10;

/// What a connection needs beside the longest head, in bytes: the body that
/// comes with it.
const BESIDE_HEAD_BYTES: usize = 16 << 10;

/// Bytes between the name of a header and its value, and after the value.
const HEADER_MARKS_BYTES: usize = ": \r\n".len();

/// Bytes of a request line beside its method and target, with the empty line
/// after the headers.
const LINE_MARKS_BYTES: usize = "  HTTP/1.1\r\n\r\n".len();

/// Bytes that a connection accepted under some limits may buffer.
pub fn buffer_bytes(limits: Limits) -> usize {
    BUFFER_BYTES.max(limits.max_header_bytes + BESIDE_HEAD_BYTES)
}

/// Bytes of a request's head, as it is usually written.
pub fn head_bytes(parts: &Parts) -> usize {
    let headers = parts.headers.iter().map(|(name, value)| {
        name.as_str().len() + value.len() + HEADER_MARKS_BYTES
    });
    let method = parts.method.as_str().len();
    let target = target_bytes(parts);
    LINE_MARKS_BYTES + method + target + headers.sum::<usize>()
}

fn target_bytes(parts: &Parts) -> usize {
    let path = parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    let host = parts.uri.authority().map_or(0, |a| a.as_str().len());
    path + host
}
