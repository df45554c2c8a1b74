//! The upload slots of an agent.
//!
//! There are few slots, so that each chunk is sent at nearly the full rate of
//! the link and its receiver can pass it on early. A short queue provides the
//! next chunk as soon as a slot becomes free. The peer that holds the fewest
//! chunks is served first, because the last host determines the time to N
//! replicas.

use crate::{Digest, Name};

/// A chunk requested by a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upload {
    /// The peer.
    pub peer: Name,
    /// The version.
    pub manifest: Digest,
    /// The chunk.
    pub index: usize,
    /// The number of chunks that the peer held when it sent the request.
    pub held: u32,
    /// Whether a tracker granted it, which means that the peer's data centre
    /// lacks the chunk.
    pub granted: bool,
}

/// The decision on a peer's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadAdmission {
    /// Send the chunk now.
    Now,
    /// The request waits for a slot.
    Waiting,
    /// The request is refused: no slot is free and the queue is full.
    Busy,
}

/// The upload slots and the queue of requests that wait for them.
#[derive(Debug)]
pub struct UploadQueue {
    slots: usize,
    max_waiting: usize,
    active: Vec<Upload>,
    waiting: Vec<Upload>,
}

impl UploadQueue {
    /// Creates a queue for up to `slots` concurrent uploads and `max_waiting`
    /// waiting ones.
    pub fn new(slots: usize, max_waiting: usize) -> UploadQueue {
        UploadQueue { slots, max_waiting, active: vec![], waiting: vec![] }
    }

    /// Adds a request. Granted chunks may wait even if the queue is full.
    pub fn admit(&mut self, upload: Upload) -> UploadAdmission {
        if self.active.len() < self.slots {
            self.start(upload);
            UploadAdmission::Now
        } else if self.waiting.len() < self.max_waiting || upload.granted {
            self.waiting.push(upload);
            UploadAdmission::Waiting
        } else {
            UploadAdmission::Busy
        }
    }

    /// Frees the slot of a chunk that was sent. Returns the next upload to
    /// start, if any.
    pub fn finish(
        &mut self,
        peer: &str,
        manifest: Digest,
        index: usize,
    ) -> Option<Upload> {
        let is_match = |upload: &Upload| {
            &*upload.peer == peer
                && upload.manifest == manifest
                && upload.index == index
        };
        let queue_index = self.active.iter().position(is_match)?;
        self.active.swap_remove(queue_index);
        self.next()
    }

    /// Removes all uploads of a peer that disconnected. Returns the uploads to
    /// start in the freed slots.
    pub fn remove_peer(&mut self, peer: &str) -> Vec<Upload> {
        self.active.retain(|upload| &*upload.peer != peer);
        self.waiting.retain(|upload| &*upload.peer != peer);
        std::iter::from_fn(|| self.next()).collect()
    }

    /// Returns the number of uploads in progress.
    pub fn active(&self) -> usize {
        self.active.len()
    }

    fn next(&mut self) -> Option<Upload> {
        if self.active.len() >= self.slots {
            return None;
        }
        let next_index =
            (0..self.waiting.len()).min_by_key(|queue_index| {
                let upload = &self.waiting[*queue_index];
                (!upload.granted, upload.held)
            })?;
        let upload = self.waiting.remove(next_index);
        self.start(upload.clone());
        Some(upload)
    }

    fn start(&mut self, upload: Upload) {
        self.active.push(upload);
        assert!(
            self.active.len() <= self.slots,
            "invariant upload-slots: more chunks leave than there are slots"
        );
    }
}
