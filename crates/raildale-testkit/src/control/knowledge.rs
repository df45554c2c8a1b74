//! How the store's objects reach the entry hosts: some read and watch the
//! store, the others fetch from those that are ahead.

use raildale::fleet::entry::snapshots::{
    FETCH_TIMEOUT, MAX_TIMEOUT_DOUBLINGS,
};
use raildale_core::catalog::Kind;
use rand::RngExt;

use super::{
    host::{self, KINDS},
    links::MICROS_PER_MS,
    world::{Event, World},
};

/// The pauses after a failed call of the store, in microseconds.
const STORE_PAUSE_US: std::ops::Range<u64> =
    150 * MICROS_PER_MS..800 * MICROS_PER_MS;

/// The size of an entry host in the compressed list of entry hosts, in bytes.
const MEMBER_BYTES: u64 = 20;

impl World<'_> {
    /// Reads or watches what an entry host should ask the store for.
    pub(super) fn check_role(&mut self, index: usize) {
        for kind in KINDS {
            let now_ms = self.now_ms();
            let host = &mut self.hosts[index];
            if !host.sources(kind).may_ask_store(now_ms, kind) {
                host.watching.remove(&kind);
                continue;
            }
            if host.reading.contains(&kind) || host.watching.contains(&kind) {
                continue;
            }
            self.ask_store(index, kind);
        }
    }

    /// Reads a kind from the store, or continues from what is known.
    fn ask_store(&mut self, index: usize, kind: Kind) {
        self.tally.store_calls += 1;
        let host = &mut self.hosts[index];
        host.reading.insert(kind);
        let start = host.start;
        let (wait_us, revision) = if self.is_store_away[index] {
            (self.rng.random_range(STORE_PAUSE_US), None)
        } else {
            let revision = self.revisions[kind.number() as usize];
            let is_known = host.revision(kind).is_some();
            let bytes = if is_known { 0 } else { self.object_bytes(kind) };
            let share = self.link_share;
            let link = &mut self.hosts[index].link;
            let read_us = link.transmit(self.now_us, bytes, share);
            (read_us - self.now_us + self.store_us(), Some(revision))
        };
        let at_us = self.now_us + wait_us;
        self.schedule(at_us, Event::Read { index, start, kind, revision });
    }

    /// Handles the end of a call of the store; `revision` is `None` if the
    /// store did not answer.
    pub(super) fn on_read(
        &mut self,
        index: usize,
        kind: Kind,
        revision: Option<u64>,
    ) {
        let host = &mut self.hosts[index];
        host.reading.remove(&kind);
        host.sees_store = revision.is_some();
        if let Some(revision) = revision {
            host.watching.insert(kind);
            self.learn(index, kind, revision, true);
        }
    }

    /// Changes the configuration in the store.
    pub(super) fn change_configuration(&mut self, number: usize) {
        let kind = Kind::Configuration;
        self.revisions[kind.number() as usize] += 1;
        let revision = self.revisions[kind.number() as usize];
        self.changed_us[number] = Some((self.now_us, revision));
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            let is_told = host.is_up && host.watching.contains(&kind);
            if !is_told || self.is_store_away[index] {
                continue;
            }
            self.tally.store_calls += 1;
            let start = host.start;
            let at_us = self.now_us + self.store_us();
            let revision = Some(revision);
            self.schedule(at_us, Event::Read { index, start, kind, revision });
        }
    }

    /// Fetches what others know and this entry host does not.
    pub(super) fn fetch_newer(&mut self, index: usize) {
        let now_ms = self.now_ms();
        for kind in KINDS {
            let draw = self.rng.random_range(0..usize::from(u16::MAX));
            let host = &mut self.hosts[index];
            let may_ask = host.sources(kind).may_ask_peers(now_ms, kind);
            if !may_ask || host.fetching.contains(&kind) {
                continue;
            }
            let own = host.extent(kind);
            let ahead = host.members.find_ahead(now_ms, kind, own, draw);
            let Some(from) = ahead.and_then(host::index) else { continue };
            if kind == Kind::EntryHosts && self.leaves_list(index, from) {
                continue;
            }
            self.fetch(index, kind, from);
        }
    }

    /// Returns whether an entry host leaves it to others of its data centre to
    /// fetch the list of entry hosts; if so, it tries again later.
    fn leaves_list(&mut self, index: usize, from: usize) -> bool {
        let now_ms = self.now_ms();
        let is_near = self.hosts[from].centre == self.hosts[index].centre;
        let host = &mut self.hosts[index];
        if host.revision(Kind::EntryHosts).is_some() || is_near {
            return false;
        }
        let is_scheduled = host.joining.has_heard_remote();
        let wait_ms = host.joining.remote_wait_ms(now_ms);
        let start = host.start;
        if wait_ms > 0 && !is_scheduled {
            let at_us = self.now_us + wait_ms * MICROS_PER_MS;
            self.schedule(at_us, Event::Recheck { index, start });
        }
        wait_ms > 0
    }

    /// Fetches a kind from the entry host with index `from`.
    fn fetch(&mut self, index: usize, kind: Kind, from: usize) {
        let host = &mut self.hosts[index];
        host.fetching.insert(kind);
        let start = host.start;
        let doublings = host.fetch_timeouts.min(MAX_TIMEOUT_DOUBLINGS);
        let timeout_us = (FETCH_TIMEOUT * (1 << doublings)).as_micros() as u64;
        let end_us = self.now_us + timeout_us;
        let arrival_us = self.answer_fetch(index, kind, from, end_us);
        let revision = self.hosts[from].revision(kind);
        let (at_us, revision) = match arrival_us {
            Some(arrival_us) if arrival_us <= end_us => (arrival_us, revision),
            _ => (end_us, None),
        };
        self.schedule(at_us, Event::Fetched { index, start, kind, revision });
    }

    /// Answers a fetch unless its timeout is over before the answer can begin.
    /// Returns when the answer arrives.
    fn answer_fetch(
        &mut self,
        to: usize,
        kind: Kind,
        from: usize,
        end_us: u64,
    ) -> Option<u64> {
        let asked_us = self.now_us + self.latency_us(to, from);
        let begins_us = self.hosts[from].link.free_us(asked_us);
        if !self.hosts[from].is_up || begins_us > end_us {
            return None;
        }
        let bytes = self.object_bytes(kind);
        if self.hosts[from].centre != self.hosts[to].centre {
            self.tally.record_crossing_kind(kind, bytes);
        }
        let arrival_us = self.transmit(from, to, bytes)?;
        Some(arrival_us + self.latency_us(to, from))
    }

    /// Handles the end of a fetch; `revision` is `None` if it timed out.
    pub(super) fn on_fetched(
        &mut self,
        index: usize,
        kind: Kind,
        revision: Option<u64>,
    ) {
        let host = &mut self.hosts[index];
        host.fetching.remove(&kind);
        match revision {
            Some(revision) => {
                host.fetch_timeouts = 0;
                self.learn(index, kind, revision, false);
            }
            None => {
                host.fetch_timeouts =
                    host.fetch_timeouts.min(MAX_TIMEOUT_DOUBLINGS) + 1;
            }
        }
    }

    /// Records that an entry host has learnt a kind, and tells others of it as
    /// the product does.
    fn learn(
        &mut self,
        index: usize,
        kind: Kind,
        revision: u64,
        is_from_store: bool,
    ) {
        let now_ms = self.now_ms();
        let host = &mut self.hosts[index];
        if host.revision(kind).is_some_and(|known| known >= revision) {
            return;
        }
        let was_large = host.members.is_large();
        let is_first = host.revision(kind).is_none();
        host.set_revision(kind, revision);
        if kind == Kind::EntryHosts {
            host.members.set_listed(now_ms, self.listed.clone());
        }
        if host.ready_ms.is_none() && host.is_ready() {
            host.ready_ms = Some(now_ms);
            let after_ms = now_ms - host.started_ms;
            self.tally.record_ready(host.start == 1, after_ms);
        }
        if kind == Kind::Configuration {
            self.record_change(revision);
        }
        if is_first || is_from_store || !was_large {
            self.send_heartbeats(index);
        }
    }

    /// Records how long a change took to reach an entry host.
    fn record_change(&mut self, revision: u64) {
        let changes = self.changed_us.iter().enumerate();
        let number = changes
            .filter_map(|(number, change)| Some((number, (*change)?)))
            .find(|(_, (_, changed))| *changed == revision);
        if let Some((number, (at_us, _))) = number {
            let took_ms = (self.now_us - at_us) / MICROS_PER_MS;
            self.tally.changes_ms[number].push(took_ms);
        }
    }

    /// Returns the size of all objects of a kind, compressed.
    fn object_bytes(&self, kind: Kind) -> u64 {
        match kind {
            Kind::Configuration => self.pattern.configuration_bytes,
            Kind::Targets => {
                self.pattern.target_bytes * self.pattern.targets as u64
            }
            _ => MEMBER_BYTES * self.hosts.len() as u64,
        }
    }

    fn store_us(&self) -> u64 {
        (self.pattern.store_ms * MICROS_PER_MS as f64) as u64
    }
}
