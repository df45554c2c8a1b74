//! The chunks and active transfers of one version of the weights.

use bytes::Bytes;

use super::{
    digest::WeightDigest,
    reducer::{Item, Ticket},
    sources::Source,
};

/// An active transfer.
#[derive(Clone, Copy, Debug)]
pub struct Fetch {
    /// The source of the transfer.
    pub source: Source,
    /// When the transfer times out.
    pub deadline_ms: u64,
    /// Whether the source may have to obtain the item itself before it can
    /// answer.
    pub may_wait: bool,
}

/// A pending request of another agent for an item.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    /// Identifies the request.
    pub ticket: Ticket,
    /// When the request is answered with
    /// [`Content::Absent`](super::reducer::Content::Absent).
    pub deadline_ms: u64,
    /// The number of agents that forwarded the request before.
    pub hops: u32,
}

/// The transfer state of an item: a version's manifest or one of its chunks.
#[derive(Debug, Default)]
pub struct Slot {
    /// The active transfer, if any.
    pub fetch: Option<Fetch>,
    /// The number of failed attempts since the last success. A lost chunk
    /// transfer counts as all attempts at its source.
    pub failures: u32,
    /// No new transfer starts before this time.
    pub not_before_ms: u64,
    /// Pending requests of other agents for the item.
    pub waiters: Vec<Waiter>,
    /// The digest of the last chunk received from the origin that did not
    /// match the manifest; `None` for the manifest itself.
    pub rejected: Option<WeightDigest>,
}

impl Slot {
    /// Returns the number of agents that a request for the item has passed,
    /// including this one if others wait for it.
    pub fn request_hops(&self) -> u32 {
        self.waiters.iter().map(|w| w.hops + 1).max().unwrap_or(0)
    }
}

/// The state of one version.
#[derive(Debug)]
pub struct Version {
    /// The version number.
    pub number: u64,
    /// The digests of the chunks, in order; `None` until the manifest is
    /// received. That of a missing chunk is unconfirmed: no bytes are known
    /// that match it.
    pub digests: Option<Vec<WeightDigest>>,
    /// The transfer state of the manifest.
    pub manifest: Slot,
    /// The transfer state of each chunk, in order.
    pub slots: Vec<Slot>,
    chunks: Vec<Option<Bytes>>,
    held_count: usize,
    /// The number of consecutive chunks received directly from the origin that
    /// did not match their digests. The manifest itself may be corrupt.
    pub origin_mismatches: u32,
    /// The source whose chunks contradict the manifest, from which the
    /// manifest is to be fetched again.
    pub contradicted_by: Option<Source>,
    /// When the last missing chunk was stored; `None` while any is missing.
    pub whole_ms: Option<u64>,
    /// When the manifest or a chunk was last received.
    pub progress_ms: u64,
}

impl Version {
    /// Creates the state of version `number`, with no manifest and no chunks
    /// held.
    pub fn new(number: u64, chunk_count: usize) -> Version {
        Version {
            number,
            digests: None,
            manifest: Slot::default(),
            slots: (0..chunk_count).map(|_| Slot::default()).collect(),
            chunks: vec![None; chunk_count],
            held_count: 0,
            origin_mismatches: 0,
            contradicted_by: None,
            whole_ms: None,
            progress_ms: 0,
        }
    }

    /// Returns whether the manifest and every chunk are held.
    pub fn is_whole(&self) -> bool {
        self.digests.is_some() && self.held_count == self.chunks.len()
    }

    /// Returns the number of chunks held.
    pub fn held_count(&self) -> usize {
        self.held_count
    }

    /// Returns a chunk; `None` if it is not held or there is no such chunk.
    pub fn chunk(&self, index: usize) -> Option<&Bytes> {
        self.chunks.get(index)?.as_ref()
    }

    /// Returns all chunks in order; `None` if any is missing.
    pub fn chunks(&self) -> Option<Vec<Bytes>> {
        self.chunks.iter().cloned().collect()
    }

    /// Adopts a received manifest. Returns the number of known digests that it
    /// replaced; their chunks may be requested again at once. The digests of
    /// held chunks are confirmed by their bytes and stay, whatever a later
    /// manifest contains.
    pub fn merge_digests(&mut self, received: Vec<WeightDigest>) -> usize {
        let Some(known) = &mut self.digests else {
            self.digests = Some(received);
            return 0;
        };
        let mut replaced = 0;
        for (index, (known, received)) in
            known.iter_mut().zip(received).enumerate()
        {
            if self.chunks[index].is_none() && *known != received {
                *known = received;
                let slot = &mut self.slots[index];
                slot.failures = 0;
                slot.not_before_ms = 0;
                replaced += 1;
            }
        }
        replaced
    }

    /// Records a chunk from the origin that does not match the manifest.
    /// Returns whether its bytes are those of the previous mismatch. Spoilt
    /// answers differ from one another, so the digest is probably wrong then.
    pub fn record_rejected(&mut self, index: usize, data: &[u8]) -> bool {
        let digest = WeightDigest::of(data);
        let Some(slot) = self.slots.get_mut(index) else { return false };
        slot.rejected.replace(digest) == Some(digest)
    }

    /// Stores a chunk if it matches its digest. Returns whether it was stored;
    /// always `false` while the manifest is unknown.
    pub fn insert_verified(&mut self, index: usize, data: Bytes) -> bool {
        let Some(digest) =
            self.digests.as_ref().and_then(|digests| digests.get(index))
        else {
            return false;
        };
        if WeightDigest::of(&data) != *digest {
            return false;
        }
        if self.chunks[index].is_none() {
            self.held_count += 1;
        }
        self.chunks[index] = Some(data);
        self.slots[index].rejected = None;
        if self.is_whole() {
            self.contradicted_by = None;
        }
        true
    }

    /// Returns the transfer state of an item; `None` if the version has no
    /// such chunk.
    pub fn slot_mut(&mut self, item: Item) -> Option<&mut Slot> {
        match item {
            Item::Manifest => Some(&mut self.manifest),
            Item::Chunk(index) => self.slots.get_mut(index as usize),
        }
    }

    /// Iterates over the transfer states of the manifest and of the chunks, in
    /// order.
    pub fn slots_mut(&mut self) -> impl Iterator<Item = &mut Slot> {
        std::iter::once(&mut self.manifest).chain(&mut self.slots)
    }

    /// Returns the number of active chunk transfers from other agents whose
    /// [`Fetch::may_wait`] equals `may_wait`.
    pub fn fetches(&self, may_wait: bool) -> usize {
        self.slots
            .iter()
            .filter_map(|slot| slot.fetch)
            .filter(|fetch| fetch.source != Source::Origin)
            .filter(|fetch| fetch.may_wait == may_wait)
            .count()
    }

    /// Returns the number of active chunk transfers from other agents that
    /// have pending requests and whose source may have to obtain the chunk
    /// first.
    pub fn requested_fetches(&self) -> usize {
        let requested =
            self.slots.iter().filter(|slot| !slot.waiters.is_empty());
        requested
            .filter_map(|slot| slot.fetch)
            .filter(|fetch| fetch.source != Source::Origin && fetch.may_wait)
            .count()
    }

    /// Returns the number of active transfers from the origin, including the
    /// manifest's.
    pub fn fetches_from_origin(&self) -> usize {
        std::iter::once(&self.manifest)
            .chain(&self.slots)
            .filter_map(|slot| slot.fetch)
            .filter(|fetch| fetch.source == Source::Origin)
            .count()
    }
}
