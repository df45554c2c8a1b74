//! Effects of targets' notices on the choice among them.

use std::collections::HashMap;

use super::{Need, Targets, run_ms};
use crate::{
    Name,
    gateway::{
        notices::quota::OwnPart, routes::Service, shares::Parts,
        target::Target,
    },
};

impl Targets {
    /// Counts a request sent to a target against the limit that the target
    /// names, and against the rate that it bears while it is cold.
    pub fn use_token(&mut self, now_ms: u64, id: &str, cold_rate_per_s: f64) {
        let alive_share = self.alive_share();
        let Some(target) = self.by_id.get_mut(id) else { return };
        let now_s = self.notices.time_of_day_s(now_ms);
        if let Some(rate) = target.cold.rate_per_s(now_ms, cold_rate_per_s) {
            let part = own_part(&self.parts, alive_share, target)();
            target.cold.record_sent(now_s, target.start, rate, part);
        }
        let part = own_part(&self.parts, alive_share, target);
        self.notices.record_sent(now_ms, target.start, part);
    }

    /// Returns whether a target that may be cold bears one more request of
    /// this entry host.
    pub(super) fn bears_another(
        &self,
        now_ms: u64,
        target: &Target,
        cold_rate_per_s: f64,
    ) -> bool {
        let rate = target.cold.rate_per_s(now_ms, cold_rate_per_s);
        rate.is_none_or(|rate| {
            let part = own_part(&self.parts, self.alive_share(), target)();
            let now_s = self.notices.time_of_day_s(now_ms);
            target.cold.admits(now_s, target.start, rate, part)
        })
    }

    /// Records for how long a target stays cold. Returns whether it has turned
    /// cold.
    pub fn record_cold(
        &mut self,
        now_ms: u64,
        id: &str,
        cold_ms: u64,
    ) -> bool {
        let target = self.by_id.get_mut(id);
        target.is_some_and(|target| target.cold.record(now_ms, cold_ms))
    }

    /// Returns whether a target's notices allow one more request of this entry
    /// host.
    pub(super) fn is_admitted(&self, now_ms: u64, target: &Target) -> bool {
        let part = own_part(&self.parts, self.alive_share(), target);
        self.notices.admits(now_ms, target.start, part)
    }

    /// Returns the share of the entry hosts that are heard; the silent ones
    /// keep their part of a limit. A host that knows no others yet uses
    /// nothing: otherwise each host that had just started would use the whole
    /// limit.
    fn alive_share(&self) -> f64 {
        if self.is_fleet_unknown {
            return 0.0;
        }
        let heard = self.shares.count().max(1) as f64;
        heard / (heard + self.silent_senders as f64)
    }

    /// Removes the notices of starts that are no longer listed.
    pub fn sweep_notices(&mut self, now_ms: u64) {
        let by_id = &self.by_id;
        let is_listed =
            |start| by_id.values().any(|target| target.start == start);
        self.notices.sweep(now_ms, is_listed);
    }

    /// Returns the number of a target's slots that can be filled within its
    /// limit.
    pub(super) fn slots_within_limit(
        &self,
        target: &Target,
        service: &Service,
    ) -> f64 {
        let slots = f64::from(target.spec.slots);
        let limit = self.notices.limit_per_s(target.start);
        limit.map_or(slots, |per_s| slots.min(per_s * run_ms(service) / 1e3))
    }

    /// Returns whether new requests may be sent to a target at all.
    ///
    /// A target that announced in an answer that it is leaving stays closed
    /// whatever the list says: the store may be cut off from the target until
    /// it has left.
    pub(super) fn is_open(&self, target: &Target, now_ms: u64) -> bool {
        target.is_open(now_ms)
            && !self.notices.is_leaving(target.start)
            && !self.evacuations.is_evacuated(&target.spec.data_centre)
    }

    /// Returns whether a service has targets and all of them are leaving.
    pub fn all_leaving(&self, service: &str) -> bool {
        let leaves = |target: &Target| {
            target.spec.is_draining || self.notices.is_leaving(target.start)
        };
        self.of_service(service).all(leaves)
            && self.of_service(service).next().is_some()
    }

    /// Returns the milliseconds until the notices of a target that fits a
    /// request allow one, whether it has room or not; 0 if one does now or
    /// none fits.
    pub fn blocked_ms(&self, now_ms: u64, need: Need<'_>) -> u64 {
        let fitting = self
            .of_service(need.service)
            .filter(|t| self.fits(t, now_ms, need));
        let mut min_ms = u64::MAX;
        for target in fitting {
            let blocked_ms = self.notices.blocked_ms(now_ms, target.start);
            if blocked_ms == 0 {
                return 0;
            }
            min_ms = min_ms.min(blocked_ms);
        }
        if min_ms == u64::MAX { 0 } else { min_ms }
    }
}

/// Returns this entry host's part of a target's limit.
fn own_part<'a>(
    parts: &'a HashMap<Name, Parts>,
    alive_share: f64,
    target: &'a Target,
) -> impl FnOnce() -> OwnPart + 'a {
    move || {
        let parts = parts.get(&target.spec.service);
        let part = parts.map_or(OwnPart::ALL, |parts| {
            parts.own_part(&target.spec.data_centre)
        });
        part.scaled(alive_share)
    }
}
