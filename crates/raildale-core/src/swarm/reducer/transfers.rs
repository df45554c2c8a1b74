//! Selects which transfers start, from which source, and when they time out.

use super::{Effect, Item, Swarm};
use crate::{
    log_event::LogEvent,
    swarm::{
        sources::{ATTEMPTS_PER_SOURCE, Source, Sources},
        version::{Fetch, Slot, Version},
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
const INDIRECT_FETCH_TIMEOUT_MS: u64 = 1_400;

/// The maximum number of concurrent transfers from the origin, however many
/// connections it accepts.
const MAX_ORIGIN_TRANSFERS: usize = 4;

/// The share of the origin's connections that agents use, in percent.
/// Connections of machines that lost power count against the origin's limit
/// for a while.
const ORIGIN_SHARE_PERCENT: usize = 75;

/// The maximum number of concurrent transfers from sources that may have to
/// obtain the item first. They use no bandwidth until they are answered.
const MAX_WAITING_TRANSFERS: usize = 10;

/// The queueing delay of the inbound link above which only one chunk at a time
/// is requested, in milliseconds: a third of the shortest goal for a first
/// event, and enough to keep the link busy between two answers.
const MAX_QUEUE_DELAY_MS: u64 = 130;

/// The minimum time between two log lines on the progress of a version, in
/// milliseconds.
const PROGRESS_LOG_INTERVAL_MS: u64 = 1_000;

impl Swarm {
    /// Starts transfers: first items that other agents wait for, then items
    /// that the target needs. An older version comes before a newer one that
    /// superseded it.
    pub(super) fn fetch(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let served = self.target.serves_version;
        let needed = self.needed_versions(now_ms, served);
        let prior = self.prior_manifests();
        // The chunks of the served version may be staged in the target. With
        // its manifest the agent can identify them and is a source of them.
        let served_version = (served > 0).then_some(served);
        let known = needed.iter().copied().chain(prior.clone());
        for version in known.chain(served_version) {
            self.version_entry(version);
        }
        let budget = self.budget(self.sources.origin_clients());
        let sources = &self.sources;
        let mut starter = Starter { now_ms, sources, budget, effects };
        for (number, held) in &mut self.versions {
            // Transfers of a newer version must not delay an older one.
            // Otherwise, with the origin unreachable, 204 agents waited for
            // chunks of the second version and completed the first one, which
            // was distributed over all of them, 2 s late.
            starter.budget.subtract_active(held);
            let is_needed = needed.contains(number);
            if held.digests.is_some() {
                starter.refetch_manifest(held);
                starter.start_chunks(held, is_needed);
            } else if is_needed
                || !held.manifest.waiters.is_empty()
                || *number == served
                || prior.contains(number)
            {
                starter.start(held, Item::Manifest);
            }
        }
    }

    /// Returns the transfers that may start, counting only active transfers
    /// from the origin, which is shared by `agents` agents.
    fn budget(&self, agents: usize) -> Budget {
        let from_origin: usize =
            self.versions.values().map(Version::fetches_from_origin).sum();
        let usable = self.origin_connections * ORIGIN_SHARE_PERCENT / 100;
        let max_from_origin =
            (usable / agents.max(1)).clamp(1, MAX_ORIGIN_TRANSFERS);
        // A longer queue must not grow, whoever waits for an item: requests to
        // the target share it, and its contents cannot be recalled.
        let queue_limit = match self.queue_delay_ms > MAX_QUEUE_DELAY_MS {
            true => 1,
            false => usize::MAX,
        };
        Budget {
            from_holders: self.window.size().min(queue_limit),
            from_others: self
                .window
                .scale(MAX_WAITING_TRANSFERS)
                .min(queue_limit),
            requested: MAX_WAITING_TRANSFERS.min(queue_limit),
            from_origin: max_from_origin.saturating_sub(from_origin),
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
                is_stalled || !self.is_superseded(**number, **named_ms)
            })
            .map(|(number, _)| *number);
        let mut needed: Vec<u64> = older.collect();
        needed.extend(self.prior_version());
        needed.push(wanted);
        needed.sort_unstable();
        needed.dedup();
        needed
    }

    /// Returns whether a newer version was named early enough to be loaded
    /// everywhere within the bound of the older one, which is then skipped.
    /// All agents decide this alike because it depends only on the times of
    /// naming. Otherwise both are fetched, the older one first.
    fn is_superseded(&self, number: u64, named_ms: u64) -> bool {
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
            fetch.deadline_ms <= now_ms || sources.is_unavailable(fetch.source)
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
    pub(super) fn log_progress(
        &mut self,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let wanted = self.wanted();
        let is_due =
            now_ms >= self.progress_logged_ms + PROGRESS_LOG_INTERVAL_MS;
        let Some(held) = self.versions.get(&wanted) else { return };
        if !is_due || held.is_whole() || self.target.serves_version >= wanted {
            return;
        }
        self.progress_logged_ms = now_ms;
        let failures: u32 = held.slots.iter().map(|slot| slot.failures).sum();
        let waiters: usize =
            held.slots.iter().map(|slot| slot.waiters.len()).sum();
        let detail = format!(
            "version={wanted} manifest={} held={} of={} fetching={} \
             from_origin={} failures={failures} waiters={waiters} window={}",
            held.digests.is_some(),
            held.held_count(),
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
struct Budget {
    /// From agents that hold the whole version.
    from_holders: usize,
    /// From sources that may have to obtain the item first.
    from_others: usize,
    /// The same, for items that other agents wait for. A reduced window does
    /// not limit these: when an owner's window had shrunk to 1 in its first
    /// fill, one such transfer at a time delayed its whole data centre by 2 s.
    requested: usize,
    /// From the origin.
    from_origin: usize,
}

impl Budget {
    /// Subtracts the active transfers of a version.
    fn subtract_active(&mut self, held: &Version) {
        let take = |budget: &mut usize, active: usize| {
            *budget = budget.saturating_sub(active);
        };
        take(&mut self.from_holders, held.fetches(false));
        take(&mut self.from_others, held.fetches(true));
        take(&mut self.requested, held.requested_fetches());
    }

    fn is_exhausted(self) -> bool {
        self.from_holders == 0 && self.from_others == 0 && self.requested == 0
    }
}

/// Starts transfers within the remaining budget.
#[derive(Debug)]
struct Starter<'a> {
    now_ms: u64,
    sources: &'a Sources,
    budget: Budget,
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
        for is_requested in [true, false] {
            for index in 0..held.slots.len() {
                let slot = &held.slots[index];
                let requested = !slot.waiters.is_empty();
                let is_due =
                    requested == is_requested && (requested || is_needed);
                let is_startable =
                    held.chunk(index).is_none() && slot.fetch.is_none();
                if is_due && is_startable && !self.budget.is_exhausted() {
                    self.start(held, Item::Chunk(index as u32));
                }
            }
        }
    }

    /// Requests the chunks that this agent owns from the origin, whether or
    /// not other agents wait for them: the origin may become unreachable.
    fn start_from_origin(&mut self, held: &mut Version) {
        for index in 0..held.slots.len() {
            if self.budget.from_origin == 0 {
                return;
            }
            let item = Item::Chunk(index as u32);
            let is_missing = held.chunk(index).is_none();
            if is_missing && self.sources.is_origin_owner(held.number, item) {
                self.start(held, item);
            }
        }
    }

    /// Fetches a manifest that received chunks contradict from the source of
    /// these chunks, within the budget.
    fn refetch_manifest(&mut self, held: &mut Version) {
        let Some(source) = held.contradicted_by else { return };
        if self.is_startable(&held.manifest)
            && self.start_from(held, Item::Manifest, source)
        {
            held.contradicted_by = None;
        }
    }

    /// Requests an item unless a transfer is active, a retry is pending or the
    /// budget is exhausted.
    fn start(&mut self, held: &mut Version, item: Item) {
        let version = held.number;
        let Some(slot) = held.slot_mut(item) else { return };
        if self.is_startable(slot) {
            let source = self.pick_source(
                version,
                item,
                slot.failures,
                slot.request_hops(),
            );
            self.start_from(held, item, source);
        }
    }

    /// Returns whether no transfer is active and no retry is pending.
    fn is_startable(&self, slot: &Slot) -> bool {
        slot.fetch.is_none() && self.now_ms >= slot.not_before_ms
    }

    /// Requests an item from a source, within the budget. Returns whether the
    /// transfer was started.
    fn start_from(
        &mut self,
        held: &mut Version,
        item: Item,
        source: Source,
    ) -> bool {
        let version = held.number;
        let Some(slot) = held.slot_mut(item) else { return false };
        let hops = slot.request_hops();
        let may_wait = !self.sources.holds(source, version);
        let is_requested = !slot.waiters.is_empty();
        if !self.try_reserve(item, source, may_wait, is_requested) {
            return false;
        }
        let timeout_ms = match may_wait {
            true => INDIRECT_FETCH_TIMEOUT_MS,
            false => FETCH_TIMEOUT_MS,
        };
        let deadline_ms = self.now_ms + timeout_ms;
        slot.fetch = Some(Fetch { source, deadline_ms, may_wait });
        self.effects.push(Effect::Fetch { version, item, source, hops });
        true
    }

    /// Selects a source, given the remaining budget for the origin.
    fn pick_source(
        &self,
        version: u64,
        item: Item,
        failures: u32,
        hops: u32,
    ) -> Source {
        let source = self.sources.pick(version, item, failures, hops);
        if source == Source::Origin && self.budget.from_origin == 0 {
            // A retry that would go directly to the origin need not wait for
            // it.
            let failures = failures + ATTEMPTS_PER_SOURCE;
            return self.sources.pick(version, item, failures, hops);
        }
        source
    }

    /// Reserves the budget for one transfer. Returns whether any was left.
    fn try_reserve(
        &mut self,
        item: Item,
        source: Source,
        may_wait: bool,
        is_requested: bool,
    ) -> bool {
        if source == Source::Origin {
            if self.budget.from_origin == 0 {
                return false;
            }
            self.budget.from_origin -= 1;
            return true;
        }
        if item == Item::Manifest {
            // A manifest is small and nothing else can start without it, so it
            // never waits behind the chunks of another version.
            return true;
        }
        let remaining = match (may_wait, is_requested) {
            (true, true) => &mut self.budget.requested,
            (true, false) => &mut self.budget.from_others,
            (false, _) => &mut self.budget.from_holders,
        };
        if *remaining == 0 {
            return false;
        }
        *remaining -= 1;
        true
    }
}
