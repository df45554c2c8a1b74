//! What targets say of themselves, where one is chosen.

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
    /// Counts a request out to a target against the limit that it names.
    pub fn use_token(&mut self, now_ms: u64, id: &str) {
        let Some(target) = self.by_id.get(id) else { return };
        let part = own_part(&self.parts, self.heard_share(), target);
        self.notices.note_sent(now_ms, target.start, part);
    }

    /// Whether a target takes one more request of this entry host, by what it
    /// says of itself.
    pub(super) fn is_admitted(&self, now_ms: u64, target: &Target) -> bool {
        let part = own_part(&self.parts, self.heard_share(), target);
        self.notices.admits(now_ms, target.start, part)
    }

    /// The share of the entry hosts that are heard: what the others may send
    /// is left to them. One that knows nobody yet would take all that there
    /// is, as would each that has just started.
    fn heard_share(&self) -> f64 {
        if self.is_fleet_unknown {
            return 0.0;
        }
        let heard = self.shares.count().max(1) as f64;
        heard / (heard + self.silent_senders as f64)
    }

    /// Forgets what starts said that are listed no longer.
    pub fn sweep_notices(&mut self, now_ms: u64) {
        let by_id = &self.by_id;
        let is_listed =
            |start| by_id.values().any(|target| target.start == start);
        self.notices.sweep(now_ms, is_listed);
    }

    /// Slots of a target that its limit lets be filled.
    pub(super) fn slots_within_limit(
        &self,
        target: &Target,
        service: &Service,
    ) -> f64 {
        let slots = f64::from(target.spec.slots);
        let limit = self.notices.limit_per_s(target.start);
        limit.map_or(slots, |per_s| slots.min(per_s * run_ms(service) / 1e3))
    }

    /// Whether new requests may go to a target at all.
    ///
    /// One that has said in an answer that it leaves is bound by that, whatever
    /// the list says: the store may be cut off from it for as long as it stays.
    pub(super) fn is_open(&self, target: &Target, now_ms: u64) -> bool {
        target.is_open(now_ms) && !self.notices.is_leaving(target.start)
    }

    /// Whether every target of a service that is known leaves.
    pub fn all_leave(&self, service: &str) -> bool {
        let leaves = |target: &Target| {
            target.spec.is_draining || self.notices.is_leaving(target.start)
        };
        self.of(service).all(leaves) && self.of(service).next().is_some()
    }

    /// Milliseconds until a target that could take a request, if it had room,
    /// takes any by what it says of itself; 0 if one does now, or none could.
    pub fn blocked_ms(&self, now_ms: u64, need: Need<'_>) -> u64 {
        let fitting =
            self.of(need.service).filter(|t| self.fits(t, now_ms, need));
        let mut least_ms = u64::MAX;
        for target in fitting {
            let blocked_ms = self.notices.blocked_ms(now_ms, target.start);
            if blocked_ms == 0 {
                return 0;
            }
            least_ms = least_ms.min(blocked_ms);
        }
        if least_ms == u64::MAX { 0 } else { least_ms }
    }
}

/// The part of a target's limit that is this entry host's own.
fn own_part<'a>(
    parts: &'a HashMap<Name, Parts>,
    heard_share: f64,
    target: &'a Target,
) -> impl FnOnce() -> OwnPart + 'a {
    move || {
        let parts = parts.get(&target.spec.service);
        let part = parts.map_or(OwnPart::ALL, |parts| {
            parts.own_part(&target.spec.data_centre)
        });
        part.scaled(heard_share)
    }
}
