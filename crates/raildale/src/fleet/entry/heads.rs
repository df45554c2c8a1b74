//! Sizes of the heads of callers' requests.

use hyper::http::request::Parts;
use raildale_core::gateway::routes::Limits;

/// The minimum buffer of a caller's connection, in bytes in each direction.
/// The limits in force may change while it is open, so this exceeds what they
/// usually allow for a head. Buffers only grow with what is sent.
const MIN_BUFFER_BYTES: usize = 256 << 10;

/// What a connection buffers in addition to the longest head, in bytes: the
/// body that arrives with it.
const BODY_BUFFER_BYTES: usize = 16 << 10;

/// The bytes between a header's name and its value, and after the value.
const HEADER_SEPARATOR_BYTES: usize = ": \r\n".len();

/// The bytes of a request line other than its method and target, and of the
/// empty line after the headers.
const REQUEST_LINE_OVERHEAD_BYTES: usize = "  HTTP/1.1\r\n\r\n".len();

/// Returns the maximum buffer size, in bytes, of a connection that is accepted
/// under `limits`.
pub fn buffer_bytes(limits: Limits) -> usize {
    MIN_BUFFER_BYTES.max(limits.max_header_bytes + BODY_BUFFER_BYTES)
}

/// Returns the size of a request's head in bytes, in its usual form.
pub fn head_bytes(parts: &Parts) -> usize {
    let headers = parts.headers.iter().map(|(name, value)| {
        name.as_str().len() + value.len() + HEADER_SEPARATOR_BYTES
    });
    let method = parts.method.as_str().len();
    let target = request_target_bytes(parts);
    REQUEST_LINE_OVERHEAD_BYTES + method + target + headers.sum::<usize>()
}

fn request_target_bytes(parts: &Parts) -> usize {
    let path = parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    let host = parts.uri.authority().map_or(0, |a| a.as_str().len());
    path + host
}
