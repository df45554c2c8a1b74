//! The bytes of chunks, by digest. No disk: memory only.
//!
//! Content addressing is what keeps versions apart: a chunk can only be read
//! under the digest that its own bytes have, so two versions share what is
//! equal and can never mix what is not.

use std::collections::HashMap;

use bytes::Bytes;
use raildale_core::Digest;

/// Chunks that arrived and chunks that are kept.
#[derive(Debug, Default)]
pub struct ChunkStore {
    arrived: HashMap<Digest, Bytes>,
    kept: HashMap<Digest, Bytes>,
    kept_bytes: u64,
}

impl ChunkStore {
    /// An empty store.
    pub fn new() -> ChunkStore {
        ChunkStore::default()
    }

    /// Takes bytes in, unjudged, and returns their digest.
    pub fn insert_unverified(&mut self, data: Bytes) -> Digest {
        let digest = Digest::of(&data);
        self.arrived.insert(digest, data);
        digest
    }

    /// Keeps bytes that arrived: their digest is one that a version lists.
    pub fn keep(&mut self, digest: Digest) {
        if let Some(data) = self.arrived.remove(&digest) {
            self.kept_bytes += data.len() as u64;
            if let Some(twin) = self.kept.insert(digest, data) {
                self.kept_bytes -= twin.len() as u64;
            }
        }
    }

    /// Throws away bytes that arrived.
    pub fn discard(&mut self, digest: Digest) {
        self.arrived.remove(&digest);
    }

    /// Throws away kept bytes.
    pub fn drop_kept(&mut self, digest: Digest) {
        if let Some(data) = self.kept.remove(&digest) {
            self.kept_bytes -= data.len() as u64;
        }
    }

    /// Kept bytes.
    pub fn get(&self, digest: &Digest) -> Option<Bytes> {
        self.kept.get(digest).cloned()
    }

    /// Bytes kept in all.
    pub fn kept_bytes(&self) -> u64 {
        self.kept_bytes
    }
}
