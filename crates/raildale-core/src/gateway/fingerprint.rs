//! Identifies the tries of one request.

use std::fmt;

/// Identifies a request by its caller and everything that a target is sent of
/// it. All tries of a request have the same fingerprint at every entry host.
///
/// It is a truncated cryptographic digest. The key is part of the input, so
/// that nobody can construct a request with the fingerprint of another
/// organisation's.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint {
    /// Truncated digest of the caller's key.
    pub caller: u32,
    /// Truncated digest of the key and all parts of the request.
    pub request: u64,
}

impl Fingerprint {
    /// Computes the fingerprint of a request from the caller's key and the
    /// request's parts: method, host, path with query, and the whole body.
    pub fn new(key: Option<&str>, parts: &[&[u8]]) -> Fingerprint {
        let key = key.unwrap_or_default().as_bytes();
        let mut hasher = blake3::Hasher::new();
        for part in [key].iter().chain(parts) {
            // The length prefix makes the boundaries of the parts unambiguous.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Fingerprint {
            caller: first_eight(&blake3::hash(key)) as u32,
            request: first_eight(&hasher.finalize()),
        }
    }

    /// Parses the output of [`Display`](fmt::Display); `None` if the text is
    /// not a fingerprint.
    pub fn from_text(text: &str) -> Option<Fingerprint> {
        let (caller, request) = text.split_at_checked(8)?;
        Some(Fingerprint {
            caller: u32::from_str_radix(caller, 16).ok()?,
            request: u64::from_str_radix(request, 16).ok()?,
        })
    }
}

/// Returns the first eight bytes of a digest as a little-endian number.
pub(super) fn first_eight(digest: &blake3::Hash) -> u64 {
    let bytes: [u8; 8] = std::array::from_fn(|i| digest.as_bytes()[i]);
    u64::from_le_bytes(bytes)
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}{:016x}", self.caller, self.request)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
