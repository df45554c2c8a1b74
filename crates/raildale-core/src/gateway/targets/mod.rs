//! The known targets and the choice among them.
//!
//! * [`departed`]: starts that have left the list.
//! * [`listings`]: the entries of the list, and which of them are used.
//! * `notice_limits`: effects of targets' notices on the choice.
//! * `version_bounds`: effects of the bounds of versions on the choice.

pub mod departed;
pub mod listings;
mod notice_limits;
mod version_bounds;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

use self::{
    departed::Departed,
    listings::{Listings, Placement},
};
use super::{
    evacuations::Evacuations,
    notices::Notices,
    regions::{Regions, Residency},
    request::Obstacle,
    routes::{EngineSpec, Service},
    shares::{Parts, Shares},
    target::{Outcome, Target, TargetReport, TargetSpec},
    target_end::{EndSign, StartId, TargetEnd},
    versions::VersionBound,
};
use crate::{Name, catalog::Stamp};

/// The targets of a fleet, as one entry host knows them.
#[derive(Debug, Default)]
pub struct Targets {
    /// The entries of the list.
    listings: Listings,
    /// Targets that have come into use without a change of their own entries,
    /// since the last call of [`Targets::take_reinstated`].
    reinstated: Vec<Name>,
    by_id: BTreeMap<Name, Target>,
    by_address: HashMap<SocketAddr, Name>,
    by_service: HashMap<Name, Vec<Name>>,
    senders: f64,
    shares: Shares,
    /// The number of entry hosts that may exist but are not heard.
    silent_senders: usize,
    /// Whether the other entry hosts are not known yet.
    is_fleet_unknown: bool,
    /// This entry host's part of each data centre's slots, by service.
    parts: HashMap<Name, Parts>,
    /// The notices of targets.
    pub notices: Notices,
    /// Data centres whose targets must get nothing.
    pub evacuations: Evacuations,
    /// Starts that have left the list.
    pub departed: Departed,
    /// When this entry host's own slots were last computed, by service.
    shares_updated_ms: HashMap<Name, u64>,
    /// The share of the open targets' slots that are taken, by service; as of
    /// when own slots were last computed.
    utilisations: HashMap<Name, f64>,
    /// Starts that have ended since the last call of [`Targets::take_ends`].
    ended: Vec<TargetEnd>,
    /// The last start at each address that is no longer listed. The next start
    /// there shows that it has ended.
    delisted: HashMap<SocketAddr, TargetEnd>,
}

/// The maximum number of addresses whose last start is remembered.
const MAX_DELISTED: usize = 4_096;

/// The requirements of a request on its target.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// The service that the request is for.
    pub service: &'a str,
    /// The data centre where the request is now.
    pub data_centre: &'a str,
    /// The versions that bound what may start, oldest first.
    pub bounds: &'a [VersionBound],
    /// Whether the service's targets must hold weights.
    pub needs_weights: bool,
    /// Whether the request can no longer meet its goal: those that can go
    /// first.
    pub is_late: bool,
    /// The requests per second that a cold target of the service bears; 0 if
    /// that does not matter.
    pub cold_rate_per_s: f64,
    /// The ids of the targets that had the request before.
    pub tried: &'a [Name],
    /// The regions of the data centres.
    pub regions: &'a Regions,
    /// The regions in which the request may be served.
    pub residency: Residency<'a>,
}

/// The share of a target's slots that is reserved for their owners: an entry
/// host without a slot of its own there sends only while more are free.
const OWNERS_RESERVE_SHARE: f64 = 0.1;

/// How long computed shares are used, in milliseconds. A target that swaps
/// weights is away for about a second.
const SHARES_UPDATE_MS: u64 = 50;

/// The share of a target's slots that late requests leave free for those that
/// can still meet their goal.
const LATE_RESERVE_SHARE: f64 = 0.2;

/// The maximum number of entry hosts that consider the same target. Six entry
/// hosts in three data centres count as three, and each considers all targets.
const MAX_HOSTS_PER_TARGET: f64 = 3.5;

/// The minimum number of candidates that are considered for a request: the
/// better of two balances load nearly as well as the best of all.
const MIN_CONSIDERED: usize = 2;

/// The usual time of a request to a service without an engine, in
/// milliseconds.
const DEFAULT_RUN_MS: f64 = 50.0;

/// The cost of sending to another data centre, in milliseconds: the round
/// trip, and the price of its bytes.
const CROSSING_COST_MS: f64 = 28.0;

impl Targets {
    /// Creates an empty set.
    pub fn new() -> Targets {
        Targets::default()
    }

    /// Sets the number of entry hosts, this one included, that usually send to
    /// the same targets, and their shares.
    pub fn set_senders(&mut self, senders: f64, shares: Shares) {
        self.senders = senders;
        self.shares = shares;
        self.shares_updated_ms.clear();
    }

    /// Sets the number of entry hosts that may exist but are not heard: they
    /// may still send.
    pub fn set_silent_senders(&mut self, count: usize) {
        self.silent_senders = count;
    }

    /// Sets whether the list of entry hosts is known.
    pub fn set_fleet_known(&mut self, is_known: bool) {
        self.is_fleet_unknown = !is_known;
    }

    /// Recomputes which slots of a service's targets this entry host owns,
    /// unless that was done recently: targets come and go.
    pub fn update_own_slots(&mut self, now_ms: u64, service: &Service) {
        let last_ms = self.shares_updated_ms.get(&service.name);
        if last_ms.is_some_and(|ms| now_ms < ms + SHARES_UPDATE_MS) {
            return;
        }
        self.shares_updated_ms.insert(service.name.clone(), now_ms);
        let parts = self.shares.parts(&self.supplies(now_ms, service));
        let of_service = self
            .by_id
            .values_mut()
            .filter(|target| target.spec.service == service.name);
        for (place, target) in of_service.enumerate() {
            let spec = &target.spec;
            target.own_slots =
                parts.own_slots(&spec.data_centre, spec.slots, place);
        }
        self.parts.insert(service.name.clone(), parts);
        let utilisation = self.measure_utilisation(now_ms, &service.name);
        self.utilisations.insert(service.name.clone(), utilisation);
    }

    /// Returns the share of the slots of a service's open targets that are
    /// taken, as of the last [`Targets::update_own_slots`]; requests queued at
    /// targets can make it more than 1.
    pub fn utilisation(&self, service: &str) -> f64 {
        self.utilisations.get(service).copied().unwrap_or(0.0)
    }

    fn measure_utilisation(&self, now_ms: u64, service: &str) -> f64 {
        let open =
            || self.of_service(service).filter(|t| self.is_open(t, now_ms));
        let load: f64 = open().map(|t| t.load(now_ms, 1.0)).sum();
        let slots: f64 = open().map(|t| f64::from(t.spec.slots)).sum();
        if slots > 0.0 { load / slots } else { 0.0 }
    }

    /// Returns the slots of a service's open targets by data centre.
    fn supplies(&self, now_ms: u64, service: &Service) -> Vec<(Name, f64)> {
        let mut supplies: BTreeMap<Name, f64> = BTreeMap::new();
        for target in
            self.of_service(&service.name).filter(|t| self.is_open(t, now_ms))
        {
            let centre = target.spec.data_centre.clone();
            let slots = self.slots_within_limit(target, service);
            *supplies.entry(centre).or_default() += slots;
        }
        supplies.into_iter().collect()
    }

    /// Sets the services that the configuration names. Entries of others are
    /// not used.
    pub fn set_services(&mut self, services: BTreeSet<Name>) {
        if !self.listings.set_services(services) {
            return;
        }
        for address in self.listings.addresses() {
            self.settle(address, None);
        }
    }

    /// Adds or updates a target's entry. Returns what became of it. Load and
    /// health are kept unless the target has started again under its name.
    pub fn put(&mut self, spec: TargetSpec) -> Placement {
        let (id, address) = (spec.id.clone(), spec.address);
        if let Some(target) = self.by_id.get_mut(&id) {
            target.lapse = None;
        }
        if let Some(left) = self.listings.put(spec) {
            self.settle(left, Some(&id));
        }
        self.settle(address, Some(&id));
        let placement = self.listings.placement(&id);
        placement.unwrap_or(Placement::Displaced)
    }

    /// Uses the entry that an address belongs to, and no other one there.
    /// `changed` names the entry whose change is the reason, if there is one.
    fn settle(&mut self, address: SocketAddr, changed: Option<&Name>) {
        let used = self.listings.used_at(address).cloned();
        let before = self.by_address.get(&address).cloned();
        if let Some(before) = before
            && used.as_ref().is_none_or(|used| used.id != before)
        {
            self.retire(&before);
        }
        let Some(spec) = used else { return };
        let is_known = self.by_id.contains_key(&spec.id);
        if !is_known && changed != Some(&spec.id) {
            self.reinstated.push(spec.id.clone());
        }
        self.employ(spec);
    }

    /// Uses an entry whose address no other entry uses.
    fn employ(&mut self, spec: TargetSpec) {
        let id = spec.id.clone();
        if let Some(target) = self.by_id.get_mut(&id) {
            let is_moved = target.spec.address != spec.address
                || target.spec.service != spec.service;
            let is_restarted = target.spec.born_ms != spec.born_ms;
            if !is_moved && !is_restarted {
                target.spec = spec;
                return;
            }
            self.retire(&id);
        }
        self.by_address.insert(spec.address, id.clone());
        let delisted = self.delisted.remove(&spec.address);
        // An entry that lapsed may return unchanged.
        let start = StartId::of(&spec);
        self.ended.extend(delisted.filter(|end| end.start != start));
        let ids = self.by_service.entry(spec.service.clone()).or_default();
        ids.push(id.clone());
        self.by_id.insert(id, Target::new(spec));
    }

    /// Returns the entries whose service the configuration does not name.
    pub fn with_unknown_service(&self) -> impl Iterator<Item = &TargetSpec> {
        self.listings.with_unknown_service()
    }

    /// Returns the targets that have come into use, without a change of their
    /// own entries, since the last call.
    pub fn take_reinstated(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.reinstated)
    }

    /// Records that a target has left the list by the change `removed`, and
    /// removes it.
    pub fn depart(&mut self, now_ms: u64, id: &str, removed: Stamp) {
        let used = self.by_id.get(id).map(|target| target.start);
        let start = used.or_else(|| self.listings.get(id).map(StartId::of));
        if let Some(start) = start {
            self.departed.record(now_ms, start, removed);
        }
        self.remove(id);
    }

    /// Removes a target's entry.
    pub fn remove(&mut self, id: &str) {
        if let Some(spec) = self.listings.remove(id) {
            self.settle(spec.address, None);
        }
    }

    /// Stops using a target.
    fn retire(&mut self, id: &str) {
        let Some(target) = self.by_id.remove(id) else { return };
        if self.delisted.len() >= MAX_DELISTED {
            self.delisted.clear();
        }
        let end = target.end(None, EndSign::Replaced);
        self.delisted.insert(target.spec.address, end);
        let address = target.spec.address;
        if self.by_address.get(&address).is_some_and(|known| &**known == id) {
            self.by_address.remove(&address);
        }
        if let Some(ids) = self.by_service.get_mut(&target.spec.service) {
            ids.retain(|known| &**known != id);
        }
    }

    /// Returns a target by its id.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.by_id.get(id)
    }

    /// Returns a target by its id for modification.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Target> {
        self.by_id.get_mut(id)
    }

    /// Returns all targets, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.by_id.values()
    }

    /// Records that the agent of the target at `address` was sent a briefing
    /// at `sent_ms`.
    pub fn record_briefed(&mut self, address: SocketAddr, sent_ms: u64) {
        if let Some(target) = self.target_at(address) {
            target.briefed_ms = sent_ms;
        }
    }

    /// Returns when the agent of the target at `address` was last sent a
    /// briefing; 0 if that is not known.
    pub fn briefed_ms(&self, address: SocketAddr) -> u64 {
        let id = self.by_address.get(&address);
        let target = id.and_then(|id| self.by_id.get(id));
        target.map_or(0, |target| target.briefed_ms)
    }

    /// Handles a report by the agent of the target at `address`. Returns
    /// whether such a target is known.
    pub fn record_report(
        &mut self,
        now_ms: u64,
        address: SocketAddr,
        report: TargetReport,
    ) -> bool {
        let Some(target) = self.target_at(address) else { return false };
        if target.record_report(now_ms, report) {
            let end = target.end(Some(now_ms), EndSign::Unanswered);
            self.ended.push(end);
        }
        true
    }

    /// Handles a report in a digest on the target at `address`, which its
    /// agent made at `at_ms`.
    pub fn record_relayed_report(
        &mut self,
        at_ms: u64,
        address: SocketAddr,
        report: TargetReport,
    ) {
        let Some(target) = self.target_at(address) else { return };
        if target.record_relayed_report(at_ms, report) {
            let end = target.end(Some(at_ms), EndSign::Unanswered);
            self.ended.push(end);
        }
    }

    /// Returns the starts that have ended since the last call.
    pub fn take_ends(&mut self) -> Vec<TargetEnd> {
        std::mem::take(&mut self.ended)
    }

    fn target_at(&mut self, address: SocketAddr) -> Option<&mut Target> {
        let id = self.by_address.get(&address)?;
        self.by_id.get_mut(id)
    }

    /// Returns the targets whose agent came up (true) or went silent (false)
    /// since the last call.
    pub fn agent_changes(&mut self, now_ms: u64) -> Vec<(Name, bool)> {
        self.by_id
            .iter_mut()
            .filter_map(|(id, target)| {
                Some((id.clone(), target.agent_change(now_ms)?))
            })
            .collect()
    }

    /// Counts a request sent to a target.
    pub fn record_sent(&mut self, id: &str) {
        if let Some(target) = self.by_id.get_mut(id) {
            target.in_flight += 1;
            target.not_begun += 1;
        }
    }

    /// Records that a request has begun at a target.
    pub fn record_begun(&mut self, id: &str) {
        if let Some(target) = self.by_id.get_mut(id) {
            target.not_begun = target.not_begun.saturating_sub(1);
        }
    }

    /// Records the end of an attempt at a target; `has_begun` tells whether
    /// the request had begun there.
    pub fn record_ended(
        &mut self,
        now_ms: u64,
        id: &str,
        outcome: Outcome,
        has_begun: bool,
    ) {
        if !has_begun {
            self.record_begun(id);
        }
        if let Some(target) = self.by_id.get_mut(id) {
            target.in_flight = target.in_flight.saturating_sub(1);
            target.record_outcome(now_ms, outcome);
        }
    }

    /// Returns whether some target could take a request if it had room.
    pub fn any_fits(&self, now_ms: u64, need: Need<'_>) -> bool {
        self.of_service(need.service)
            .any(|target| self.fits(target, now_ms, need))
    }

    /// Returns whether some target could take a request now.
    pub fn any_has_room(&self, now_ms: u64, need: Need<'_>) -> bool {
        self.candidates(now_ms, need).next().is_some()
    }

    /// Returns the milliseconds until the first target of a service that
    /// doesn't serve now will; `None` if nothing is known.
    pub fn ready_in_ms(&self, now_ms: u64, service: &str) -> Option<u64> {
        self.of_service(service).filter_map(|t| t.ready_in_ms(now_ms)).min()
    }

    /// Returns the number of requests that the targets of a service finish per
    /// second: those that serve now, or all if none does.
    pub fn rate_per_s(&self, now_ms: u64, service: &Service) -> f64 {
        let serves = |target: &&Target| {
            let has_weights = service.engine.is_none()
                || target.serves_version(now_ms).is_some();
            self.is_open(target, now_ms) && has_weights
        };
        let rate = |target: &Target| {
            self.slots_within_limit(target, service) * 1e3 / run_ms(service)
        };
        let targets = || self.of_service(&service.name);
        let open: f64 = targets().filter(serves).map(rate).sum();
        if open > 0.0 { open } else { targets().map(rate).sum() }
    }

    /// Returns the number of targets of a service in any state.
    pub fn count(&self, service: &str) -> u32 {
        self.of_service(service).count() as u32
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = &Target> {
        let ids = self.by_service.get(service).map_or(&[][..], |ids| ids);
        ids.iter().filter_map(|id| self.by_id.get(id))
    }

    /// Returns the best target for a request, if any can take it now.
    ///
    /// Each candidate's cost is the expected wait there, with failures and the
    /// crossing between data centres converted to time. `draw` selects the
    /// candidates that are considered, and breaks ties: entry hosts know much
    /// the same, and many of them would otherwise all flood the target that
    /// looked idle.
    pub fn pick<'a>(
        &'a self,
        now_ms: u64,
        need: Need<'a>,
        draw: u32,
    ) -> Option<&'a Target> {
        let (here, elsewhere): (Vec<&Target>, Vec<&Target>) = self
            .candidates(now_ms, need)
            .partition(|target| *target.spec.data_centre == *need.data_centre);
        self.considered(&here, draw)
            .chain(self.considered(&elsewhere, draw))
            .map(|target| (target, self.cost_for(target, now_ms, need)))
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .map(|(target, _)| target)
    }

    /// Returns the targets that could take a request now.
    ///
    /// A target with a slow path is left out while another fits, even a full
    /// one: on a congested link, requests arrived 0.9 s after their callers
    /// had left. A target that is leaving according to another entry host is
    /// left out as well while another fits; only its own answers close it.
    fn candidates<'a>(
        &'a self,
        now_ms: u64,
        need: Need<'a>,
    ) -> impl Iterator<Item = &'a Target> {
        let fitting = move || {
            self.of_service(need.service)
                .filter(move |t| self.fits(t, now_ms, need))
        };
        let stays = move |target: &&Target| {
            !self.notices.is_reported_leaving(target.start)
        };
        let has_staying = fitting().any(|target| stays(&target));
        let fitting = move || {
            fitting().filter(move |target| !has_staying || stays(target))
        };
        let is_fast =
            move |target: &&Target| !target.is_path_presumed_slow(now_ms);
        let has_fast = fitting().any(|target| is_fast(&target));
        fitting()
            .filter(move |target| !has_fast || is_fast(target))
            .filter(move |target| self.has_room(target, now_ms, need))
    }

    fn fits(&self, target: &Target, now_ms: u64, need: Need<'_>) -> bool {
        let is_new = !need.needs_weights
            || version_bounds::is_new_enough(target, now_ms, need.bounds);
        self.is_open(target, now_ms)
            && is_new
            && is_resident(target, need)
            && !need.tried.contains(&target.spec.id)
    }

    /// Returns why the places of a service's targets keep a request from all
    /// of them; `None` if some may serve it, or the service has none.
    pub fn place_obstacle(&self, need: Need<'_>) -> Option<Obstacle> {
        let mut is_any_resident = false;
        let mut is_any_known = false;
        for target in self.of_service(need.service) {
            is_any_known = true;
            if !is_resident(target, need) {
                continue;
            }
            is_any_resident = true;
            if !self.evacuations.is_evacuated(&target.spec.data_centre) {
                return None;
            }
        }
        match (is_any_known, is_any_resident) {
            (false, _) => None,
            (true, false) => Some(Obstacle::Region),
            (true, true) => Some(Obstacle::Evacuation),
        }
    }

    /// Returns a sample of the candidates, starting at a random one and large
    /// enough for about [`MAX_HOSTS_PER_TARGET`] entry hosts to consider each.
    fn considered<'a>(
        &self,
        candidates: &[&'a Target],
        draw: u32,
    ) -> impl Iterator<Item = &'a Target> {
        let all = candidates.len();
        let share = (MAX_HOSTS_PER_TARGET / self.senders.max(1.0)).min(1.0);
        let count = (all as f64 * share).ceil() as usize;
        let first = (draw as usize).checked_rem(all).unwrap_or(0);
        (0..count.max(MIN_CONSIDERED).min(all))
            .map(move |step| (first + step) % all)
            .map(|place| candidates[place])
    }

    /// Returns the number of entry hosts that compete for the same targets.
    fn competing_hosts(&self) -> f64 {
        self.senders.clamp(1.0, MAX_HOSTS_PER_TARGET)
    }

    /// Returns whether a target has room for a request. A target whose version
    /// is about to become too old gets nothing that would wait there: if the
    /// target froze, the request would start too late.
    fn has_room(&self, target: &Target, now_ms: u64, need: Need<'_>) -> bool {
        let is_old = version_bounds::is_old(target, now_ms, need.bounds);
        let reads_prompts = need.needs_weights;
        if reads_prompts && !target.may_read_another() {
            return false;
        }
        // A limit applies to all entry hosts together, and a retry time holds
        // whatever slots are free.
        if !self.is_admitted(now_ms, target)
            || !self.bears_another(now_ms, target, need.cold_rate_per_s)
        {
            return false;
        }
        let slots = f64::from(target.spec.slots);
        let spare = match (need.is_late, is_old) {
            (true, _) => -LATE_RESERVE_SHARE * slots,
            (false, true) => 0.0,
            (false, false) if target.has_own_room(now_ms) => return true,
            (false, false) => -OWNERS_RESERVE_SHARE * slots,
        };
        let competitors = self.shares.competitors(&target.spec.data_centre);
        target.has_borrowable_room(
            now_ms,
            self.competing_hosts(),
            spare,
            competitors,
        )
    }

    fn cost_for(&self, target: &Target, now_ms: u64, need: Need<'_>) -> f64 {
        let crossing = if &*target.spec.data_centre == need.data_centre {
            0.0
        } else {
            CROSSING_COST_MS
        };
        target.cost_ms(now_ms, self.competing_hosts()) + crossing
    }
}

/// Returns whether a target is in a region in which a request may be served.
fn is_resident(target: &Target, need: Need<'_>) -> bool {
    need.residency.allows(need.regions, &target.spec.data_centre)
}

/// Returns the usual time of a service's request at a full target, in
/// milliseconds.
fn run_ms(service: &Service) -> f64 {
    let engine = service.engine.as_ref();
    engine.map_or(DEFAULT_RUN_MS, EngineSpec::usual_run_ms).max(1.0)
}
