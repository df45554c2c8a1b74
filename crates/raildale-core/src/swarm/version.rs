//! What an agent holds of one version of the weights.

use bytes::Bytes;

use super::{
    digest::WeightDigest,
    reducer::{Item, Ticket},
    sources::Source,
};

/// A transfer under way.
#[derive(Clone, Copy, Debug)]
pub struct Fetch {
    /// Who was asked.
    pub source: Source,
    /// When it is taken for lost.
    pub until_ms: u64,
    /// Whether the source may have to wait for it first.
    pub may_wait: bool,
}

/// Somebody who waits for an item.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    /// Names the question.
    pub ticket: Ticket,
    /// When it is told that the item is not to be had here.
    pub until_ms: u64,
    /// Agents that the question has passed already.
    pub hops: u32,
}

/// An item of a version: its manifest or a chunk.
#[derive(Debug, Default)]
pub struct Slot {
    /// The transfer under way.
    pub fetch: Option<Fetch>,
    /// Transfers that failed.
    pub failures: u32,
    /// Not to be asked for again before this.
    pub not_before_ms: u64,
    /// Who waits for it.
    pub waiters: Vec<Waiter>,
}

/// One version.
#[derive(Debug)]
pub struct Version {
    /// Its number.
    pub number: u64,
    /// The chunks' digests, once known.
    pub digests: Option<Vec<WeightDigest>>,
    /// The manifest's transfer and waiters.
    pub manifest: Slot,
    /// The chunks' transfers and waiters.
    pub slots: Vec<Slot>,
    chunks: Vec<Option<Bytes>>,
    held: usize,
    /// Chunks in a row that came straight from the origin and did not match;
    /// the manifest itself may be the spoilt one.
    pub origin_mismatches: u32,
    /// Since when every chunk is held.
    pub whole_ms: Option<u64>,
    /// When it last came nearer to that.
    pub progress_ms: u64,
}

impl Version {
    /// Nothing held of `number` yet.
    pub fn new(number: u64, chunk_count: usize) -> Version {
        Version {
            number,
            digests: None,
            manifest: Slot::default(),
            slots: (0..chunk_count).map(|_| Slot::default()).collect(),
            chunks: vec![None; chunk_count],
            held: 0,
            origin_mismatches: 0,
            whole_ms: None,
            progress_ms: 0,
        }
    }

    /// Whether every chunk is held.
    pub fn is_whole(&self) -> bool {
        self.digests.is_some() && self.held == self.chunks.len()
    }

    /// Chunks held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// A chunk, if it is held.
    pub fn chunk(&self, index: usize) -> Option<&Bytes> {
        self.chunks.get(index)?.as_ref()
    }

    /// Every chunk, if the version is whole.
    pub fn chunks(&self) -> Option<Vec<Bytes>> {
        self.chunks.iter().cloned().collect()
    }

    /// Keeps a chunk if it matches its digest.
    pub fn keep(&mut self, index: usize, data: Bytes) -> bool {
        let Some(digest) =
            self.digests.as_ref().and_then(|digests| digests.get(index))
        else {
            return false;
        };
        if WeightDigest::of(&data) != *digest {
            return false;
        }
        if self.chunks[index].is_none() {
            self.held += 1;
        }
        self.chunks[index] = Some(data);
        true
    }

    /// The slot of an item; `None` if the version has no such chunk.
    pub fn slot_mut(&mut self, item: Item) -> Option<&mut Slot> {
        match item {
            Item::Manifest => Some(&mut self.manifest),
            Item::Chunk(index) => self.slots.get_mut(index as usize),
        }
    }

    /// The manifest's slot and those of the chunks, in order.
    pub fn slots_mut(&mut self) -> impl Iterator<Item = &mut Slot> {
        std::iter::once(&mut self.manifest).chain(&mut self.slots)
    }

    /// Transfers of chunks from other agents under way, those that may have
    /// to wait at their source or the others.
    pub fn fetches(&self, may_wait: bool) -> usize {
        self.slots
            .iter()
            .filter_map(|slot| slot.fetch)
            .filter(|fetch| fetch.source != Source::Origin)
            .filter(|fetch| fetch.may_wait == may_wait)
            .count()
    }

    /// Transfers of chunks under way that others wait for, from sources that
    /// may have to wait themselves.
    pub fn fetches_awaited(&self) -> usize {
        let awaited =
            self.slots.iter().filter(|slot| !slot.waiters.is_empty());
        awaited
            .filter_map(|slot| slot.fetch)
            .filter(|fetch| fetch.source != Source::Origin && fetch.may_wait)
            .count()
    }

    /// Transfers from the origin under way, the manifest's among them.
    pub fn fetches_from_origin(&self) -> usize {
        std::iter::once(&self.manifest)
            .chain(&self.slots)
            .filter_map(|slot| slot.fetch)
            .filter(|fetch| fetch.source == Source::Origin)
            .count()
    }
}
