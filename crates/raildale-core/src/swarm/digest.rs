//! SHA-256 digests, which the origin publishes for each chunk.

use sha2::{Digest as _, Sha256};

/// The SHA-256 digest of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightDigest([u8; 32]);

impl WeightDigest {
    /// The digest of `data`.
    pub fn of(data: &[u8]) -> WeightDigest {
        WeightDigest(Sha256::digest(data).into())
    }

    /// Reads a digest from a message's field; `None` if its length is off.
    pub fn from_slice(bytes: &[u8]) -> Option<WeightDigest> {
        bytes.try_into().ok().map(WeightDigest)
    }

    /// Reads 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<WeightDigest> {
        let digits = text.as_bytes();
        if digits.len() != 64 {
            return None;
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            let pair = std::str::from_utf8(pair).ok()?;
            *byte = u8::from_str_radix(pair, 16).ok()?;
        }
        Some(WeightDigest(bytes))
    }

    /// The raw bytes.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}
