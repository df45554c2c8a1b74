//! Requests of other agents for items, and the requests waiting for each item.

use super::{Content, Effect, Item, Swarm, Ticket};
use crate::swarm::version::{Version, Waiter};

/// How long a request waits for an item that is being fetched, in
/// milliseconds: less than the time-out of the requesting agent.
const WAITER_TIMEOUT_MS: u64 = 1_200;

impl Swarm {
    pub(super) fn on_item_requested(
        &mut self,
        now_ms: u64,
        ticket: Ticket,
        version: u64,
        item: Item,
        hops: u32,
        effects: &mut Vec<Effect>,
    ) {
        if self.chunk_count == 0 || self.is_obsolete(version) {
            // The number of chunks is not known yet, or the version is no
            // longer of use here; other agents may have the item.
            let content = Content::Absent;
            effects.push(Effect::Answer { ticket, content });
            return;
        }
        let held = self.version_entry(version);
        let content = match item {
            Item::Manifest => held.digests.clone().map(Content::Manifest),
            Item::Chunk(index) => {
                held.chunk(index as usize).cloned().map(Content::Chunk)
            }
        };
        if let Some(content) = content {
            effects.push(Effect::Answer { ticket, content });
            return;
        }
        let waiter =
            Waiter { ticket, deadline_ms: now_ms + WAITER_TIMEOUT_MS, hops };
        match held.slot_mut(item) {
            Some(slot) => slot.waiters.push(waiter),
            None => {
                let content = Content::Absent;
                effects.push(Effect::Answer { ticket, content });
            }
        }
    }

    /// Returns whether a version is older than the served one and not held.
    fn is_obsolete(&self, version: u64) -> bool {
        version < self.target.serves_version
            && !self.versions.contains_key(&version)
    }

    /// Answers all pending requests for a chunk, if it is held.
    pub(super) fn answer_waiters(
        &mut self,
        version: u64,
        index: u32,
        effects: &mut Vec<Effect>,
    ) {
        let Some(held) = self.versions.get_mut(&version) else { return };
        let waiters = std::mem::take(&mut held.slots[index as usize].waiters);
        if let Some(data) = held.chunk(index as usize) {
            for waiter in waiters {
                let content = Content::Chunk(data.clone());
                effects
                    .push(Effect::Answer { ticket: waiter.ticket, content });
            }
        }
    }

    /// Answers requests that have waited too long with [`Content::Absent`].
    pub(super) fn expire_waiters(
        &mut self,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        for slot in self.versions.values_mut().flat_map(Version::slots_mut) {
            slot.waiters.retain(|waiter| {
                let stays = waiter.deadline_ms > now_ms;
                if !stays {
                    let ticket = waiter.ticket;
                    let content = Content::Absent;
                    effects.push(Effect::Answer { ticket, content });
                }
                stays
            });
        }
    }
}
