//! The manifest of a version: the ordered digests of its chunks.
//!
//! The digest of a manifest's encoding identifies the version. Two uploads
//! with different bytes under one version name have different manifests. Code
//! that distributes versions compares digests, never names.

use crate::digest::{DIGEST_BYTES, Digest};

/// The maximum number of chunks in a manifest. It bounds the memory that a
/// peer can make a process use.
pub const MAX_CHUNKS: usize = 65_536;

const MAGIC: &[u8; 8] = b"rdmanif1";
const HEADER_BYTES: usize = 24;

/// The sizes and chunk digests of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// The size in bytes of every chunk but the last, which may be shorter.
    pub chunk_bytes: u64,
    /// The size of the version in bytes.
    pub total_bytes: u64,
    /// The digest of each chunk, in order.
    pub chunks: Vec<Digest>,
}

impl Manifest {
    /// Splits `data` into chunks and returns their manifest.
    ///
    /// # Panics
    ///
    /// Panics if `chunk_bytes` is 0.
    pub fn new(data: &[u8], chunk_bytes: usize) -> Manifest {
        Manifest {
            chunk_bytes: chunk_bytes as u64,
            total_bytes: data.len() as u64,
            chunks: data.chunks(chunk_bytes).map(Digest::of).collect(),
        }
    }

    /// Returns the digest that identifies the version.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.encode())
    }

    /// Returns the encoding that the digest covers.
    pub fn encode(&self) -> Vec<u8> {
        let mut out =
            Vec::with_capacity(HEADER_BYTES + DIGEST_BYTES * self.len());
        out.extend_from_slice(MAGIC);
        out.extend_from_slice(&self.chunk_bytes.to_le_bytes());
        out.extend_from_slice(&self.total_bytes.to_le_bytes());
        for chunk in &self.chunks {
            out.extend_from_slice(chunk.as_bytes());
        }
        out
    }

    /// Decodes a manifest; `None` if the encoding is malformed, has more than
    /// [`MAX_CHUNKS`], or its sizes do not match its number of chunks.
    pub fn decode(bytes: &[u8]) -> Option<Manifest> {
        let (header, body) = bytes.split_at_checked(HEADER_BYTES)?;
        let chunk_bytes = u64::from_le_bytes(header[8..16].try_into().ok()?);
        let total_bytes = u64::from_le_bytes(header[16..24].try_into().ok()?);
        let count = body.len() / DIGEST_BYTES;
        let is_valid = &header[..8] == MAGIC
            && body.len() % DIGEST_BYTES == 0
            && chunk_bytes > 0
            && count <= MAX_CHUNKS
            && total_bytes.div_ceil(chunk_bytes) == count as u64;
        if !is_valid {
            return None;
        }
        let chunks =
            body.chunks(DIGEST_BYTES).filter_map(Digest::from_slice).collect();
        Some(Manifest { chunk_bytes, total_bytes, chunks })
    }

    /// Returns the number of chunks.
    pub fn len(&self) -> usize {
        self.chunks.len()
    }

    /// Returns whether the version has no chunks.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }
}
