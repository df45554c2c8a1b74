//! Selects which transfers start, from which source, and when they time out.

use super::{Effect, Item, Swarm};
use crate::{
    log_event::LogEvent,
    swarm::{
        sources::{Source, Sources, TRIES_PER_SOURCE},
        version::{Fetch, Version},
    },
};

/// The time-out of a chunk from an agent that holds the whole version, in
/// milliseconds. Six concurrent chunks take 250 ms at 9.4 Mbit/s, and the
/// sender may serve several agents.
const FETCH_TIMEOUT_MS: u64 = 1_200;

/// The time-out of a chunk that its source may have to fetch first, in
/// milliseconds. With the few agents that fetch from the origin, such a chunk
/// arrives 0.2 s after the request. A transfer from a source that is reported
/// gone ends as soon as that is known.
const WAITING_TIMEOUT_MS: u64 = 1_400;

/// The maximum number of concurrent transfers from the origin, however many
/// connections it accepts.
const ORIGIN_PARALLEL_MOST: usize = 4;

/// The share of the origin's connections that agents use, in percent.
/// Connections of machines that lost power count against the origin's limit
/// for a while.
const ORIGIN_SHARE_PERCENT: usize = 75;

/// The maximum number of concurrent transfers from sources that may have to
/// obtain the item first. They use no bandwidth until they are answered.
const WAITING_MOST: usize = 10;

/// The queueing delay of the inbound link above which only one chunk at a time
/// is requested, in milliseconds: a third of the shortest goal for a first
/// event, and enough to keep the link busy between two answers.
const QUEUE_MOST_MS: u64 = 130;

/// The minimum time between two log lines on the progress of a version, in
/// milliseconds.
const PROGRESS_EVERY_MS: u64 = 1_000;

impl Swarm {
    /// Starts transfers: first items that other agents wait for, then items
    /// that the target needs. An older version comes before a newer one that
    /// superseded it.
    pub(super) fn fetch(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let served = self.target.serves_version;
        let needed = self.needed_versions(now_ms, served);
        let sought = self.sought_manifests();
        // The chunks of the served version may be staged in the target. With
        // its manifest the agent can identify them and is a source of them.
        let served_any = (served > 0).then_some(served);
        let known = needed.iter().copied().chain(sought.clone());
        for version in known.chain(served_any) {
            self.open(version);
        }
        let room = self.room(self.sources.origin_askers());
        let sources = &self.sources;
        let mut starter = Starter { now_ms, sources, room, effects };
        for (number, held) in &mut self.versions {
            // Transfers of a newer version must not delay an older one.
            // Otherwise, with the origin unreachable, 204 agents waited for
            // chunks of the second version and completed the first one, which
            // was distributed over all of them, 2 s late.
            starter.room.take_busy(held);
            let is_needed = needed.contains(number);
            if held.digests.is_some() {
                starter.start_chunks(held, is_needed);
            } else if is_needed
                || !held.manifest.waiters.is_empty()
                || *number == served
                || sought.contains(number)
            {
                starter.start(held, Item::Manifest);
            }
        }
    }

    /// Returns the transfers that may start, counting only active transfers
    /// from the origin, which is shared by `agents` agents.
    fn room(&self, agents: usize) -> Room {
        let from_origin: usize =
            self.versions.values().map(Version::fetches_from_origin).sum();
        let usable = self.origin_connections * ORIGIN_SHARE_PERCENT / 100;
        let most = (usable / agents.max(1)).clamp(1, ORIGIN_PARALLEL_MOST);
        // A longer queue must not grow, whoever waits for an item: requests to
        // the target share it, and its contents cannot be recalled.
        let queue_most = match self.queue_ms > QUEUE_MOST_MS {
            true => 1,
            false => usize::MAX,
        };
        Room {
            at_once: self.window.size().min(queue_most),
            waiting: self.window.scale(WAITING_MOST).min(queue_most),
            awaited: WAITING_MOST.min(queue_most),
            from_origin: most.saturating_sub(from_origin),
        }
    }

    /// Returns the versions to fetch, oldest first.
    ///
    /// A superseded version is fetched after all if the newest one is stalled,
    /// as most of its chunks are distributed over the fleet by then.
    /// Otherwise, with the origin unreachable for 6 s, the targets of two
    /// versions named 2 s apart would serve nothing after the bound of the
    /// first.
    fn needed_versions(&self, now_ms: u64, served: u64) -> Vec<u64> {
        let wanted = self.wanted();
        let is_stalled = self.is_stalled(now_ms, wanted);
        if served >= wanted {
            return Vec::new();
        }
        let older = self
            .named
            .range(served + 1..wanted)
            .filter(|(number, named_ms)| {
                is_stalled || !self.is_overtaken(**number, **named_ms)
            })
            .map(|(number, _)| *number);
        let mut needed: Vec<u64> = older.collect();
        needed.extend(self.found_version());
        needed.push(wanted);
        needed.sort_unstable();
        needed.dedup();
        needed
    }

    /// Returns whether a newer version was named early enough to be loaded
    /// everywhere within the bound of the older one, which is then skipped.
    /// All agents decide this alike because it depends only on the times of
    /// naming. Otherwise both are fetched, the older one first.
    fn is_overtaken(&self, number: u64, named_ms: u64) -> bool {
        let swap = &self.config.swap;
        let bound_ms = named_ms + swap.bound_ms;
        self.named
            .range(number + 1..)
            .any(|(_, newer_ms)| newer_ms + swap.rollout_ms <= bound_ms)
    }

    /// Ends transfers that have timed out or whose source is unavailable.
    pub(super) fn expire_transfers(&mut self, now_ms: u64) {
        let sources = &self.sources;
        let is_over = |fetch: Fetch| {
            fetch.until_ms <= now_ms || sources.is_lost(fetch.source)
        };
        for slot in self.versions.values_mut().flat_map(Version::slots_mut) {
            if slot.fetch.is_some_and(is_over) {
                slot.fetch = None;
                slot.failures += 1;
            }
        }
    }

    /// Logs the progress of the wanted version once a second until it is
    /// complete.
    pub(super) fn tell_progress(
        &mut self,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let wanted = self.wanted();
        let is_due = now_ms >= self.progress_told_ms + PROGRESS_EVERY_MS;
        let Some(held) = self.versions.get(&wanted) else { return };
        if !is_due || held.is_whole() || self.target.serves_version >= wanted {
            return;
        }
        self.progress_told_ms = now_ms;
        let failures: u32 = held.slots.iter().map(|slot| slot.failures).sum();
        let waiters: usize =
            held.slots.iter().map(|slot| slot.waiters.len()).sum();
        let detail = format!(
            "version={wanted} manifest={} held={} of={} fetching={} \
             from_origin={} failures={failures} waiters={waiters} window={}",
            held.digests.is_some(),
            held.held(),
            held.slots.len(),
            held.fetches(true) + held.fetches(false),
            held.fetches_from_origin(),
            self.window.size(),
        );
        effects.push(Effect::Log(LogEvent::SpreadProgress, detail));
    }
}

/// The number of transfers that may still start, by kind of source.
#[derive(Clone, Copy, Debug)]
struct Room {
    /// From agents that hold the whole version.
    at_once: usize,
    /// From sources that may have to obtain the item first.
    waiting: usize,
    /// The same, for items that other agents wait for. A reduced window does
    /// not limit these: when an owner's window had shrunk to 1 in its first
    /// fill, one such transfer at a time delayed its whole data centre by 2 s.
    awaited: usize,
    /// From the origin.
    from_origin: usize,
}

impl Room {
    /// Subtracts the active transfers of a version.
    fn take_busy(&mut self, held: &Version) {
        let take = |room: &mut usize, busy: usize| {
            *room = room.saturating_sub(busy);
        };
        take(&mut self.at_once, held.fetches(false));
        take(&mut self.waiting, held.fetches(true));
        take(&mut self.awaited, held.fetches_awaited());
    }

    fn is_full(self) -> bool {
        self.at_once == 0 && self.waiting == 0 && self.awaited == 0
    }
}

/// Starts transfers within the remaining budget.
#[derive(Debug)]
struct Starter<'a> {
    now_ms: u64,
    sources: &'a Sources,
    room: Room,
    effects: &'a mut Vec<Effect>,
}

impl Starter<'_> {
    /// Requests missing chunks: first those that other agents wait for and
    /// then, if the target needs the version, the rest. All agents use the
    /// same order, in which the owners fetch chunks from the origin, so that
    /// requests wait only briefly.
    fn start_chunks(&mut self, held: &mut Version, is_needed: bool) {
        if is_needed {
            self.start_from_origin(held);
        }
        for is_awaited in [true, false] {
            for index in 0..held.slots.len() {
                let slot = &held.slots[index];
                let awaited = !slot.waiters.is_empty();
                let is_due = awaited == is_awaited && (awaited || is_needed);
                let is_open =
                    held.chunk(index).is_none() && slot.fetch.is_none();
                if is_due && is_open && !self.room.is_full() {
                    self.start(held, Item::Chunk(index as u32));
                }
            }
        }
    }

    /// Requests the chunks that this agent owns from the origin, whether or
    /// not other agents wait for them: the origin may become unreachable.
    fn start_from_origin(&mut self, held: &mut Version) {
        for index in 0..held.slots.len() {
            if self.room.from_origin == 0 {
                return;
            }
            let item = Item::Chunk(index as u32);
            let is_open = held.chunk(index).is_none();
            if is_open && self.sources.brings_in(held.number, item) {
                self.start(held, item);
            }
        }
    }

    /// Requests an item unless a transfer is active, a retry is pending or the
    /// budget is exhausted.
    fn start(&mut self, held: &mut Version, item: Item) {
        let version = held.number;
        let Some(slot) = held.slot_mut(item) else { return };
        if slot.fetch.is_some() || self.now_ms < slot.not_before_ms {
            return;
        }
        let hops = slot.waiters.iter().map(|w| w.hops + 1).max().unwrap_or(0);
        let source = self.pick(version, item, slot.failures, hops);
        let may_wait = !self.sources.holds(source, version);
        let is_awaited = !slot.waiters.is_empty();
        if !self.take_room(item, source, may_wait, is_awaited) {
            return;
        }
        let patience_ms = match may_wait {
            true => WAITING_TIMEOUT_MS,
            false => FETCH_TIMEOUT_MS,
        };
        let until_ms = self.now_ms + patience_ms;
        slot.fetch = Some(Fetch { source, until_ms, may_wait });
        self.effects.push(Effect::Fetch { version, item, source, hops });
    }

    /// Selects a source, given the remaining budget for the origin.
    fn pick(
        &self,
        version: u64,
        item: Item,
        failures: u32,
        hops: u32,
    ) -> Source {
        let source = self.sources.pick(version, item, failures, hops);
        if source == Source::Origin && self.room.from_origin == 0 {
            // A retry that would go directly to the origin need not wait for
            // it.
            let failures = failures + TRIES_PER_SOURCE;
            return self.sources.pick(version, item, failures, hops);
        }
        source
    }

    /// Reserves the budget for one transfer. Returns whether any was left.
    fn take_room(
        &mut self,
        item: Item,
        source: Source,
        may_wait: bool,
        is_awaited: bool,
    ) -> bool {
        if source == Source::Origin {
            if self.room.from_origin == 0 {
                return false;
            }
            self.room.from_origin -= 1;
            return true;
        }
        if item == Item::Manifest {
            // A manifest is small and nothing else can start without it, so it
            // never waits behind the chunks of another version.
            return true;
        }
        let place = match (may_wait, is_awaited) {
            (true, true) => &mut self.room.awaited,
            (true, false) => &mut self.room.waiting,
            (false, _) => &mut self.room.at_once,
        };
        if *place == 0 {
            return false;
        }
        *place -= 1;
        true
    }
}
