//! BLAKE3 digests, which identify chunks and manifests.

use std::fmt;

/// The length of a digest in bytes.
pub const DIGEST_BYTES: usize = 32;

/// A BLAKE3 digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Returns the digest of `data`.
    ///
    /// # Example
    ///
    /// ```
    /// use raildale_core::Digest;
    ///
    /// let digest = Digest::of(b"weights");
    /// assert_eq!(Digest::from_hex(&digest.to_hex()), Some(digest));
    /// ```
    pub fn of(data: &[u8]) -> Digest {
        Digest(*blake3::hash(data).as_bytes())
    }

    /// Returns the digest with these bytes; `None` unless there are exactly
    /// [`DIGEST_BYTES`].
    pub fn from_slice(bytes: &[u8]) -> Option<Digest> {
        bytes.try_into().ok().map(Digest)
    }

    /// Parses 64 hexadecimal digits; `None` if `text` is anything else.
    pub fn from_hex(text: &str) -> Option<Digest> {
        blake3::Hash::from_hex(text).ok().map(|hash| Digest(*hash.as_bytes()))
    }

    /// Returns the digest as 64 hexadecimal digits.
    pub fn to_hex(self) -> String {
        blake3::Hash::from_bytes(self.0).to_hex().to_string()
    }

    /// Returns the digest's bytes as a vector, for message fields.
    pub fn to_vec(self) -> Vec<u8> {
        self.0.to_vec()
    }

    /// Returns the digest's bytes.
    pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.to_hex()[..12])
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.to_hex())
    }
}
