//! An agent's upload slots.
//!
//! Few slots, so that each chunk leaves at nearly the link's rate and can be
//! passed on early; a short queue behind them, so that a slot that ends finds
//! the next chunk at once. Whoever holds least is served first: the last host
//! decides the time to N replicas.

use crate::{Digest, Name};

/// A chunk that a peer wants from us.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upload {
    /// Who asked.
    pub peer: Name,
    /// The version.
    pub manifest: Digest,
    /// The chunk.
    pub index: usize,
    /// Chunks that the peer held when it asked.
    pub held: u32,
    /// Whether it brings the chunk into a data centre that lacks it.
    pub granted: bool,
}

/// What becomes of a peer's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadAdmission {
    /// Send the chunk now.
    Now,
    /// It waits for a slot.
    Waiting,
    /// No slot and no place in the queue.
    Busy,
}

/// The slots and the queue behind them.
#[derive(Debug)]
pub struct UploadQueue {
    slots: usize,
    places: usize,
    active: Vec<Upload>,
    waiting: Vec<Upload>,
}

impl UploadQueue {
    /// `slots` chunks leave at once and `places` more may wait.
    pub fn new(slots: usize, places: usize) -> UploadQueue {
        UploadQueue { slots, places, active: vec![], waiting: vec![] }
    }

    /// Takes a request in.
    pub fn admit(&mut self, upload: Upload) -> UploadAdmission {
        if self.active.len() < self.slots {
            self.start(upload);
            UploadAdmission::Now
        } else if self.waiting.len() < self.places || upload.granted {
            self.waiting.push(upload);
            UploadAdmission::Waiting
        } else {
            UploadAdmission::Busy
        }
    }

    /// A chunk has left; returns the next to send.
    pub fn finish(
        &mut self,
        peer: &str,
        manifest: Digest,
        index: usize,
    ) -> Option<Upload> {
        let is_it = |upload: &Upload| {
            &*upload.peer == peer
                && upload.manifest == manifest
                && upload.index == index
        };
        let place = self.active.iter().position(is_it)?;
        self.active.swap_remove(place);
        self.next()
    }

    /// A peer's connection went; returns what its slots are free for now.
    pub fn remove_peer(&mut self, peer: &str) -> Vec<Upload> {
        self.active.retain(|upload| &*upload.peer != peer);
        self.waiting.retain(|upload| &*upload.peer != peer);
        std::iter::from_fn(|| self.next()).collect()
    }

    /// Chunks on their way out.
    pub fn active(&self) -> usize {
        self.active.len()
    }

    fn next(&mut self) -> Option<Upload> {
        if self.active.len() >= self.slots {
            return None;
        }
        let neediest = (0..self.waiting.len()).min_by_key(|place| {
            let upload = &self.waiting[*place];
            (!upload.granted, upload.held)
        })?;
        let upload = self.waiting.remove(neediest);
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
