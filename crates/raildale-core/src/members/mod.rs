//! The entry hosts, as known to one of them.
//!
//! The store lists them. Heartbeats show which of them are alive; in a large
//! fleet, digests do so for other data centres.
//!
//! * [`concentration`]: the entry hosts that are named to callers where there
//!   are many.
//! * [`fan_out`]: distribution of one message to many entry hosts.
//! * [`joining`]: how an entry host that starts learns of the others.
//! * [`relays`]: which entry hosts exchange heartbeats, and the digests
//!   between data centres.
//! * [`sources`]: from where an entry host gets what the store holds.

pub mod concentration;
pub mod fan_out;
pub mod joining;
pub mod relays;
pub mod sources;

use std::{collections::BTreeMap, net::IpAddr};

use self::concentration::{Candidate, CentreLoad, Concentration};
use crate::{
    Name,
    catalog::{Extent, Kind, Stamp},
    gateway::{regions::Regions, shares::Sender},
};

/// The entry of an entry host in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Its name.
    pub name: Name,
    /// Its address.
    pub ip: IpAddr,
    /// The data centre in which it runs.
    pub data_centre: Name,
    /// Its share of processor time, in thousandths of a core; `None` if it is
    /// not known. Heartbeats don't carry it.
    pub cpu_millis: Option<u32>,
}

/// The contents of an entry host's heartbeat.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Heartbeat {
    /// Whether it is leaving and accepts no new callers.
    pub is_leaving: bool,
    /// Whether it is ready for callers.
    pub is_ready: bool,
    /// The extent of its knowledge of the store, indexed by the number of the
    /// kind.
    pub extents: Vec<Extent>,
    /// Whether the store responds to it, as far as it knows.
    pub sees_store: bool,
    /// The recent rate of requests that it receives, per second.
    pub demand_per_s: f64,
    /// Whether it names only some entry hosts to callers.
    pub is_concentrating: bool,
}

/// The regions to which a caller's requests are bound.
#[derive(Clone, Copy, Debug)]
pub struct BoundRegions<'a> {
    /// The region of each data centre.
    pub regions: &'a Regions,
    /// The regions in which the requests may be served.
    pub allowed: &'a [Name],
}

/// The state of another entry host.
#[derive(Debug)]
struct Member {
    entry: MemberEntry,
    /// When it became known. Set in the past for a host that recently left the
    /// list.
    known_ms: u64,
    /// Its last heartbeat; `None` if none has been received.
    last_heartbeat: Option<ReceivedHeartbeat>,
    /// Whether the last call of [`Members::take_changes`] saw it as up.
    was_reported_up: bool,
}

/// A received heartbeat.
#[derive(Debug)]
struct ReceivedHeartbeat {
    at_ms: u64,
    heartbeat: Heartbeat,
}

/// The entry hosts, as known to this one.
#[derive(Debug)]
pub struct Members {
    own: MemberEntry,
    others: BTreeMap<IpAddr, Member>,
    /// Whether the store lists this entry host as it is.
    is_listed: bool,
    /// When entry hosts that recently left the list did so.
    delisted_ms: BTreeMap<IpAddr, u64>,
    /// The round trips to the relays of other data centres.
    round_trips: relays::RelayRoundTrips,
    /// Since when another entry host has been ahead, by kind.
    behind_since_ms: BTreeMap<Kind, u64>,
    concentration: Concentration,
}

/// The time between two heartbeats, in milliseconds. Three of them fit into the
/// silence after which an entry host counts as gone.
pub const HEARTBEAT_INTERVAL_MS: u64 = 400;

/// An entry host counts as gone after this many milliseconds without a
/// heartbeat: slightly more than three heartbeat intervals.
pub const SILENT_MS: u64 = 1_400;

/// The number of entry hosts of a data centre that watch the store; the others
/// learn of changes from them. The second one covers for a watcher that has
/// died or lost its connection to the store without this being detected yet.
pub const WATCHERS: usize = 2;

/// The number of entry hosts of a data centre that may become watchers in a
/// large fleet. Without this limit, all 149 entry hosts tried a store that was
/// unreachable for 8 s, 8,203 calls in one day. If the store rejects one in
/// three, it rejects all six in one of 700 cases; the others then learn of
/// changes from other data centres.
pub const MAX_WATCHER_CANDIDATES: usize = 6;

/// Another entry host is not counted as a watcher after this many milliseconds
/// without a heartbeat: slightly more than two heartbeat intervals. Less than
/// [`SILENT_MS`], since changes must be in force within two seconds.
const WATCHER_TIMEOUT_MS: u64 = 900;

/// A listed entry host without a heartbeat counts as alive for this many
/// milliseconds: slightly longer than the allowed silence.
const FIRST_HEARTBEAT_TIMEOUT_MS: u64 = 1_500;

/// How long a departure from the list is remembered, in milliseconds. A copy
/// from which the store is restored is a few seconds old.
const DELISTED_RETENTION_MS: u64 = 60_000;

/// How long another entry host may be ahead before it is asked, in
/// milliseconds. This host's own watch of the store usually delivers the same
/// change by then.
const AHEAD_DELAY_MS: u64 = 250;

/// How long only entry hosts of other data centres may be ahead in a large
/// fleet before a watcher asks them, in milliseconds. The watcher's own watch
/// is delayed by less than that unless its connection to the store is cut.
const REMOTE_AHEAD_DELAY_MS: u64 = 500;

/// The same for an entry host that is not a watcher, in milliseconds. The
/// watchers of its data centre have asked by then, so the answer crosses
/// between data centres only once or twice.
const NON_WATCHER_AHEAD_DELAY_MS: u64 = 1_300;

/// The time between the first fetches of a kind from another data centre by
/// one pair of entry hosts, in the order of their addresses, and by the next
/// pair, in milliseconds. It is enough for a fetch and a heartbeat, so the next
/// pair usually finds the kind in its own data centre.
const FIRST_FETCH_STEP_MS: u64 = 300;

impl Members {
    /// Creates the state of an entry host that knows no others.
    pub fn new(own: MemberEntry) -> Members {
        Members {
            own,
            others: BTreeMap::new(),
            is_listed: false,
            delisted_ms: BTreeMap::new(),
            round_trips: relays::RelayRoundTrips::default(),
            behind_since_ms: BTreeMap::new(),
            concentration: Concentration::default(),
        }
    }

    /// Returns the own entry.
    pub fn own(&self) -> &MemberEntry {
        &self.own
    }

    /// Replaces the store's list. An entry host that is no longer listed is
    /// kept while its heartbeats arrive.
    pub fn set_listed(&mut self, now_ms: u64, listed: Vec<MemberEntry>) {
        self.delisted_ms.retain(|_, ms| now_ms < *ms + DELISTED_RETENTION_MS);
        self.others.retain(|ip, member| {
            if listed.iter().any(|entry| entry.ip == *ip) {
                return true;
            }
            self.delisted_ms.entry(*ip).or_insert(now_ms);
            is_heard(member, now_ms)
        });
        self.is_listed = listed.contains(&self.own);
        for entry in listed {
            self.add(now_ms, entry);
        }
    }

    /// Returns whether the store lists this entry host as it is, as far as it
    /// knows.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Adds an entry host or updates its entry.
    fn add(&mut self, now_ms: u64, entry: MemberEntry) {
        if entry.ip == self.own.ip {
            return;
        }
        // A store that was restored from an older copy may list an entry host
        // again that has ended: it counts as alive only after a heartbeat.
        let was_delisted = self.delisted_ms.contains_key(&entry.ip);
        let age_ms = if was_delisted { FIRST_HEARTBEAT_TIMEOUT_MS } else { 0 };
        let known = self.others.entry(entry.ip).or_insert_with(|| Member {
            entry: entry.clone(),
            known_ms: now_ms.saturating_sub(age_ms),
            last_heartbeat: None,
            was_reported_up: false,
        });
        let cpu_millis = entry.cpu_millis.or(known.entry.cpu_millis);
        known.entry = MemberEntry { cpu_millis, ..entry };
    }

    /// Records a heartbeat. Returns whether its sender had not been heard
    /// shortly before, and so may not know anything yet.
    pub fn on_heartbeat(
        &mut self,
        now_ms: u64,
        entry: MemberEntry,
        heartbeat: Heartbeat,
    ) -> bool {
        let ip = entry.ip;
        self.add(now_ms, entry);
        let Some(member) = self.others.get_mut(&ip) else { return false };
        let is_new = !is_heard(member, now_ms);
        member.last_heartbeat =
            Some(ReceivedHeartbeat { at_ms: now_ms, heartbeat });
        is_new
    }

    /// Returns the addresses of all others, alive or not.
    pub fn others(&self) -> impl Iterator<Item = IpAddr> + '_ {
        self.others.keys().copied()
    }

    /// Returns whether all others are heard.
    pub fn are_all_heard(&self, now_ms: u64) -> bool {
        self.others.values().all(|member| is_heard(member, now_ms))
    }

    /// Returns the others that have been silent for longer than `ms`.
    pub fn silent_for(&self, now_ms: u64, ms: u64) -> Vec<MemberEntry> {
        self.others
            .values()
            .filter(|member| {
                let heard = member.last_heartbeat.as_ref();
                let last_ms = heard.map_or(member.known_ms, |h| h.at_ms);
                now_ms.saturating_sub(last_ms) > ms
            })
            .map(|member| member.entry.clone())
            .collect()
    }

    /// Returns the others that came up (`true`) or went silent (`false`) since
    /// the last call.
    pub fn take_changes(&mut self, now_ms: u64) -> Vec<(IpAddr, bool)> {
        self.others
            .iter_mut()
            .filter_map(|(ip, member)| {
                let is_up = is_heard(member, now_ms);
                let is_changed = is_up != member.was_reported_up;
                member.was_reported_up = is_up;
                is_changed.then_some((*ip, is_up))
            })
            .collect()
    }

    /// Returns the live entry hosts by address, with the demand of each, and
    /// the index of this one, whose demand is `own_demand_per_s`.
    pub fn senders(
        &self,
        now_ms: u64,
        own_demand_per_s: f64,
    ) -> (Vec<Sender>, usize) {
        let sender = |entry: &MemberEntry, demand: f64| Sender {
            data_centre: entry.data_centre.clone(),
            demand,
        };
        let alive = self.others.iter().filter(|(_, m)| is_alive(m, now_ms));
        let (before, after): (Vec<_>, Vec<_>) =
            alive.partition(|(ip, _)| **ip < self.own.ip);
        let other = |(_, member): &(&IpAddr, &Member)| {
            let heard = member.last_heartbeat.as_ref();
            let demand = heard.map_or(0.0, |h| h.heartbeat.demand_per_s);
            sender(&member.entry, demand)
        };
        let own = sender(&self.own, own_demand_per_s);
        let index = before.len();
        let senders = before
            .iter()
            .map(other)
            .chain([own])
            .chain(after.iter().map(other))
            .collect();
        (senders, index)
    }

    /// Returns whether no live entry host is nearer to a data centre than this
    /// one. An entry host in the data centre is nearest; if it has none, all
    /// are equally near.
    pub fn is_nearest(&self, now_ms: u64, data_centre: &str) -> bool {
        let is_in_centre =
            |entry: &MemberEntry| *entry.data_centre == *data_centre;
        let others = self.others.values();
        let mut alive = others.filter(|member| is_alive(member, now_ms));
        is_in_centre(&self.own) || !alive.any(|m| is_in_centre(&m.entry))
    }

    /// Returns whether this entry host should watch the store: it must be
    /// among the first [`WATCHERS`] of its data centre, by address, that are
    /// heard and see the store and, in a large fleet, among the first
    /// [`MAX_WATCHER_CANDIDATES`] that are heard.
    pub fn is_watcher(&self, now_ms: u64) -> bool {
        let before = self.others.range(..self.own.ip).filter_map(|(_, m)| {
            let beat = heartbeat_within(m, now_ms, WATCHER_TIMEOUT_MS)?;
            let is_here = m.entry.data_centre == self.own.data_centre;
            (is_here && !beat.is_leaving).then_some(beat.sees_store)
        });
        let before: Vec<bool> = before.collect();
        let seeing_count =
            before.iter().filter(|sees_store| **sees_store).count();
        let is_candidate =
            !self.is_large() || before.len() < MAX_WATCHER_CANDIDATES;
        seeing_count < WATCHERS && is_candidate
    }

    /// Decides whether callers are named only some entry hosts, given the
    /// slots of all targets. Returns whether that changed.
    pub fn update_concentration(&mut self, now_ms: u64, slots: f64) -> bool {
        let is_heard = self.others.values().any(|member| {
            let heard = heartbeat_within(member, now_ms, SILENT_MS);
            heard.is_some_and(|beat| beat.is_concentrating)
        });
        let slots_per_host = slots / (self.others.len() + 1) as f64;
        self.concentration.update(now_ms, slots_per_host, is_heard)
    }

    /// Returns whether callers are named only some entry hosts.
    pub fn is_concentrating(&self) -> bool {
        self.concentration.is_on()
    }

    /// Returns the addresses for callers in a data centre, whose targets have
    /// `slots` slots, while callers are concentrated; `None` if no entry host
    /// there is open.
    pub fn concentrated_addresses(
        &self,
        now_ms: u64,
        data_centre: &str,
        is_own_open: bool,
        slots: f64,
    ) -> Option<Vec<IpAddr>> {
        let open = self.open_entries(now_ms, is_own_open);
        let local: Vec<Candidate> = open
            .iter()
            .filter(|entry| *entry.data_centre == *data_centre)
            .map(|entry| Candidate {
                ip: entry.ip,
                cpu_millis: entry.cpu_millis,
            })
            .collect();
        let demand_per_s = self
            .others
            .values()
            .filter(|m| *m.entry.data_centre == *data_centre)
            .filter_map(|m| heartbeat_within(m, now_ms, SILENT_MS))
            .map(|beat| beat.demand_per_s)
            .sum();
        let load = CentreLoad { slots, demand_per_s };
        let named = concentration::named(local, load);
        (!named.is_empty()).then_some(named)
    }

    /// Returns the addresses for callers in a data centre: the entry hosts
    /// there, and so many others that the callers of each data centre share
    /// about the same number of entry hosts. `draw` rotates the others to
    /// distribute the load evenly.
    pub fn addresses_for(
        &self,
        now_ms: u64,
        data_centre: &str,
        is_own_open: bool,
        draw: usize,
    ) -> Vec<IpAddr> {
        let open = self.open_entries(now_ms, is_own_open);
        share_addresses(open, data_centre, draw)
    }

    /// Returns the addresses for callers in a data centre whose requests are
    /// bound to regions: entry hosts in the caller's own region or, while none
    /// is open there, in one of the allowed. If those have none either, all may
    /// serve.
    pub fn addresses_in_regions(
        &self,
        now_ms: u64,
        data_centre: &str,
        is_own_open: bool,
        draw: usize,
        bound: BoundRegions<'_>,
    ) -> Vec<IpAddr> {
        let BoundRegions { regions, allowed } = bound;
        let open = self.open_entries(now_ms, is_own_open);
        let own_region = regions.region(data_centre).cloned();
        let own_region: Vec<Name> = own_region.into_iter().collect();
        let within = |allowed: &[Name]| -> Vec<&MemberEntry> {
            let is_in = |entry: &&&MemberEntry| {
                regions.is_in(&entry.data_centre, allowed)
            };
            open.iter().filter(is_in).copied().collect()
        };
        let candidates = [within(&own_region), within(allowed), open.clone()];
        let first = candidates.into_iter().find(|found| !found.is_empty());
        share_addresses(first.unwrap_or_default(), data_centre, draw)
    }

    /// Returns the entry hosts that accept callers, by address. This one is
    /// included if it is open, or if no other is.
    fn open_entries(
        &self,
        now_ms: u64,
        is_own_open: bool,
    ) -> Vec<&MemberEntry> {
        let mut open: Vec<&MemberEntry> = self
            .others
            .values()
            .filter(|m| is_open(m, now_ms))
            .map(|m| &m.entry)
            .collect();
        if is_own_open || open.is_empty() {
            open.push(&self.own);
        }
        open.sort_by_key(|entry| entry.ip);
        open
    }

    /// Returns a live entry host that is ahead of this one in a kind and
    /// should be asked for it; `None` if there is none, or the waiting time
    /// has not passed yet. Entry hosts of the own data centre are preferred.
    /// `draw` selects among several, so that not all ask the same one. A
    /// watcher waits first, unless it knows nothing of the kind yet.
    pub fn find_ahead(
        &mut self,
        now_ms: u64,
        kind: Kind,
        own: Extent,
        draw: usize,
    ) -> Option<IpAddr> {
        let knows_some = own.changed > Stamp::default();
        let ahead = self.nearest_ahead(now_ms, kind, own);
        let Some(index) = draw.checked_rem(ahead.len()) else {
            self.behind_since_ms.remove(&kind);
            return None;
        };
        let ip = ahead[index];
        let delay_ms = match knows_some {
            true => self.update_delay_ms(now_ms, ip),
            false => self.first_fetch_delay_ms(now_ms, ip),
        };
        let since_ms = *self.behind_since_ms.entry(kind).or_insert(now_ms);
        let is_due = now_ms.saturating_sub(since_ms) >= delay_ms;
        is_due.then_some(ip)
    }

    /// Returns how long the entry host at `ip` must be ahead in a known kind
    /// before it is asked, in milliseconds.
    fn update_delay_ms(&self, now_ms: u64, ip: IpAddr) -> u64 {
        match (self.is_watcher(now_ms), self.reaches_member(ip)) {
            (true, true) => AHEAD_DELAY_MS,
            (true, false) => REMOTE_AHEAD_DELAY_MS,
            (false, true) => 0,
            (false, false) => NON_WATCHER_AHEAD_DELAY_MS,
        }
    }

    /// Does the same for a kind of which nothing is known. After a loss of all
    /// nobody has heard the others yet, so the list decides who crosses
    /// between data centres.
    fn first_fetch_delay_ms(&self, now_ms: u64, ip: IpAddr) -> u64 {
        if self.reaches_member(ip) {
            return 0;
        }
        let before = self.others.range(..self.own.ip).filter(|(_, m)| {
            m.entry.data_centre == self.own.data_centre && is_alive(m, now_ms)
        });
        (before.count() / WATCHERS) as u64 * FIRST_FETCH_STEP_MS
    }

    /// Returns whether another entry host that is heard knows anything of a
    /// kind.
    pub fn any_knows(&self, now_ms: u64, kind: Kind) -> bool {
        let mut heard =
            self.others.values().filter(|member| is_heard(member, now_ms));
        heard.any(|member| {
            let known = extent(member, kind);
            known.is_some_and(|known| known.changed > Stamp::default())
        })
    }

    /// Returns whether the entry host at `ip` is known to be in the own data
    /// centre.
    pub fn is_in_own_centre(&self, ip: IpAddr) -> bool {
        let member = self.others.get(&ip);
        member.is_some_and(|m| m.entry.data_centre == self.own.data_centre)
    }

    /// Returns the live entry hosts that are ahead of `own` in a kind: those
    /// of the own data centre, or all if there are none.
    fn nearest_ahead(
        &self,
        now_ms: u64,
        kind: Kind,
        own: Extent,
    ) -> Vec<IpAddr> {
        let (local, remote): (Vec<&Member>, Vec<&Member>) = self
            .others
            .values()
            .filter(|member| is_heard(member, now_ms))
            .filter(|member| {
                let known = extent(member, kind);
                known.is_some_and(|known| known.adds_to(&own))
            })
            .partition(|m| m.entry.data_centre == self.own.data_centre);
        let nearest = if local.is_empty() { remote } else { local };
        nearest.into_iter().map(|member| member.entry.ip).collect()
    }
}

/// Returns the addresses of `open` entry hosts for callers in a data centre:
/// those there, and others up to an even share.
fn share_addresses(
    open: Vec<&MemberEntry>,
    data_centre: &str,
    draw: usize,
) -> Vec<IpAddr> {
    let fair_share = fair_share(&open);
    let (local, remote): (Vec<_>, Vec<_>) =
        open.into_iter().partition(|e| &*e.data_centre == data_centre);
    let missing = fair_share.saturating_sub(local.len());
    let helpers = helpers(remote, missing, draw);
    local
        .into_iter()
        .chain(helpers.into_iter().take(missing))
        .map(|entry| entry.ip)
        .collect()
}

/// Returns the number of entry hosts for each data centre's callers if all
/// were shared evenly.
fn fair_share(open: &[&MemberEntry]) -> usize {
    let mut centres: Vec<&str> =
        open.iter().map(|entry| &*entry.data_centre).collect();
    centres.sort_unstable();
    centres.dedup();
    open.len().div_ceil(centres.len().max(1))
}

/// Returns the entry hosts that may serve callers of another data centre,
/// rotated by `draw`: those of the data centres with the most entry hosts, if
/// there are at least `missing` of them, or else all.
fn helpers(
    remote: Vec<&MemberEntry>,
    missing: usize,
    draw: usize,
) -> Vec<&MemberEntry> {
    let host_count = |entry: &MemberEntry| {
        let centre = &entry.data_centre;
        remote.iter().filter(|e| e.data_centre == *centre).count()
    };
    let max_count = remote.iter().map(|e| host_count(e)).max().unwrap_or(0);
    let largest: Vec<&MemberEntry> = remote
        .iter()
        .copied()
        .filter(|e| host_count(e) == max_count)
        .collect();
    let is_enough = largest.len() >= missing;
    let mut helpers = if is_enough { largest } else { remote };
    if !helpers.is_empty() {
        let offset = draw % helpers.len();
        helpers.rotate_left(offset);
    }
    helpers
}

/// Returns the extent of a member's knowledge of a kind, from its last
/// heartbeat.
fn extent(member: &Member, kind: Kind) -> Option<Extent> {
    let heard = member.last_heartbeat.as_ref()?;
    let index = kind.number() as usize;
    heard.heartbeat.extents.get(index).copied()
}

fn is_heard(member: &Member, now_ms: u64) -> bool {
    heartbeat_within(member, now_ms, SILENT_MS).is_some()
}

/// Returns the last heartbeat, if it is less than `ms` old.
fn heartbeat_within(
    member: &Member,
    now_ms: u64,
    ms: u64,
) -> Option<&Heartbeat> {
    let heard = member.last_heartbeat.as_ref()?;
    let is_recent = now_ms.saturating_sub(heard.at_ms) < ms;
    is_recent.then_some(&heard.heartbeat)
}

fn is_alive(member: &Member, now_ms: u64) -> bool {
    match member.last_heartbeat {
        Some(_) => is_heard(member, now_ms),
        None => {
            now_ms.saturating_sub(member.known_ms) < FIRST_HEARTBEAT_TIMEOUT_MS
        }
    }
}

fn is_open(member: &Member, now_ms: u64) -> bool {
    let accepts_callers = member
        .last_heartbeat
        .as_ref()
        .map(|heard| &heard.heartbeat)
        .is_none_or(|beat| beat.is_ready && !beat.is_leaving);
    is_alive(member, now_ms) && accepts_callers
}
