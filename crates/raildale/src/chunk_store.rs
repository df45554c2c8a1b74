//! An in-memory store of chunks, by digest.
//!
//! Content addressing keeps versions apart: a chunk can only be read under the
//! digest of its own bytes, so two versions share equal chunks and never mix
//! different ones.

use std::collections::HashMap;

use bytes::Bytes;
use raildale_core::Digest;

/// Chunks that have arrived unverified and chunks that are kept.
#[derive(Debug, Default)]
pub struct ChunkStore {
    unverified: HashMap<Digest, Bytes>,
    kept: HashMap<Digest, Bytes>,
    kept_bytes: u64,
}

impl ChunkStore {
    /// Creates an empty store.
    pub fn new() -> ChunkStore {
        ChunkStore::default()
    }

    /// Adds unverified bytes and returns their digest.
    pub fn insert_unverified(&mut self, data: Bytes) -> Digest {
        let digest = Digest::of(&data);
        self.unverified.insert(digest, data);
        digest
    }

    /// Keeps unverified bytes whose digest is listed in a version's manifest.
    pub fn keep(&mut self, digest: Digest) {
        if let Some(data) = self.unverified.remove(&digest) {
            self.kept_bytes += data.len() as u64;
            if let Some(replaced) = self.kept.insert(digest, data) {
                self.kept_bytes -= replaced.len() as u64;
            }
        }
    }

    /// Removes unverified bytes.
    pub fn discard(&mut self, digest: Digest) {
        self.unverified.remove(&digest);
    }

    /// Removes a kept chunk.
    pub fn drop_kept(&mut self, digest: Digest) {
        if let Some(data) = self.kept.remove(&digest) {
            self.kept_bytes -= data.len() as u64;
        }
    }

    /// Returns a kept chunk; `None` if there is none with this digest.
    pub fn get(&self, digest: &Digest) -> Option<Bytes> {
        self.kept.get(digest).cloned()
    }

    /// Returns the total size of the kept chunks in bytes.
    pub fn kept_bytes(&self) -> u64 {
        self.kept_bytes
    }
}
