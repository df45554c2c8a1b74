//! SHA-256 digests, which the origin publishes for each chunk.

use bytes::{Bytes, BytesMut};
use sha2::{Digest as _, Sha256};

/// The size of a digest in bytes.
const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightDigest([u8; DIGEST_BYTES]);

impl WeightDigest {
    /// Computes the digest of `data`.
    pub fn of(data: &[u8]) -> WeightDigest {
        WeightDigest(Sha256::digest(data).into())
    }

    /// Concatenates digests in the form in which messages carry a manifest.
    pub fn encode_all(digests: &[WeightDigest]) -> Bytes {
        let mut bytes = BytesMut::with_capacity(digests.len() * DIGEST_BYTES);
        for digest in digests {
            bytes.extend_from_slice(&digest.0);
        }
        bytes.freeze()
    }

    /// Decodes the output of [`WeightDigest::encode_all`]. Returns `None` if
    /// the last digest is truncated.
    pub fn decode_all(bytes: &[u8]) -> Option<Vec<WeightDigest>> {
        bytes
            .chunks(DIGEST_BYTES)
            .map(|digest| digest.try_into().ok().map(WeightDigest))
            .collect()
    }

    /// Parses exactly 64 hexadecimal digits. Returns `None` for any other
    /// input.
    pub fn from_hex(text: &str) -> Option<WeightDigest> {
        let digits = text.as_bytes();
        if digits.len() != 2 * DIGEST_BYTES {
            return None;
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            let pair = std::str::from_utf8(pair).ok()?;
            *byte = u8::from_str_radix(pair, 16).ok()?;
        }
        Some(WeightDigest(bytes))
    }
}
