//! Identifies the tries of one request, and the parts of its prompt that other
//! requests share.

use std::{fmt, sync::Arc};

use crate::Name;

/// The caller in the fingerprint of a part, which requests of several callers
/// may share. No caller has this digest.
const NO_CALLER: u32 = 0;

/// The maximum number of parts of one prompt that have fingerprints, the first
/// ones: a caller may name any number.
pub const MAX_PARTS: usize = 64;

/// Identifies a request by its caller and everything that a target is sent of
/// it. All tries of a request have the same fingerprint at every entry host.
///
/// It is a truncated cryptographic digest. The key is part of the input, so
/// that nobody can construct a request with the fingerprint of another
/// organisation's.
///
/// A part of a prompt has a fingerprint as well, which does not depend on the
/// caller.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint {
    /// Truncated digest of the caller's key; 0 for a part of a prompt.
    pub caller: u32,
    /// Truncated digest of the key and everything that a target is sent, or
    /// of the part's id.
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
            caller: (first_eight(&blake3::hash(key)) as u32)
                .max(NO_CALLER + 1),
            request: first_eight(&hasher.finalize()),
        }
    }

    /// Computes the fingerprint of a part of a prompt.
    pub fn of_part(id: &str) -> Fingerprint {
        Fingerprint {
            caller: NO_CALLER,
            request: first_eight(&blake3::hash(id.as_bytes())),
        }
    }

    /// Returns whether it identifies a part of a prompt.
    pub fn is_part(&self) -> bool {
        self.caller == NO_CALLER
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

/// The fingerprints of a request and of the parts of its prompt that other
/// requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fingerprints {
    /// The fingerprint of the request.
    pub request: Fingerprint,
    /// The fingerprints of the parts, in the order of the prompt.
    pub parts: Arc<[Fingerprint]>,
}

impl Fingerprints {
    /// Creates the fingerprints of a request without shared parts.
    pub fn new(request: Fingerprint) -> Fingerprints {
        Fingerprints { request, parts: Arc::default() }
    }

    /// Returns them with the parts of these ids, each once, and at most
    /// [`MAX_PARTS`].
    pub fn with_parts(self, ids: &[Name]) -> Fingerprints {
        let mut parts: Vec<Fingerprint> = Vec::new();
        for id in ids.iter().take(MAX_PARTS) {
            let part = Fingerprint::of_part(id);
            if !parts.contains(&part) {
                parts.push(part);
            }
        }
        Fingerprints { parts: parts.into(), ..self }
    }

    /// Returns the request's fingerprint and those of its parts.
    pub fn iter(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }

    /// Returns the fingerprints of the parts as text, for the log.
    pub fn parts_text(&self) -> String {
        let texts: Vec<String> =
            self.parts.iter().map(Fingerprint::to_string).collect();
        texts.join(",")
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
