//! Organisations' limits, shared among entry hosts without a store.
//!
//! See [`crate::request::admission`] for the scheme and its bound.

use std::collections::BTreeMap;

use super::{Effect, Entry};
use crate::{
    Code, Name,
    message::{Body, ShareLease, ShareRequest},
    rendezvous,
    request::admission::Bucket,
};

/// The part of a limit, in thousandths, that is split evenly among the entry
/// hosts and needs no lease.
const EVEN_PERMILLE: u64 = 250;

/// The part of a limit, in thousandths, that its owner leases.
const LEASED_PERMILLE: u64 = 1000 - EVEN_PERMILLE;

/// How long a leased share may be used.
const SHARE_TTL_MS: u64 = 2_000;

/// One organisation's limits and their use at this entry host.
#[derive(Debug)]
pub(super) struct Limits {
    bucket: Bucket,
    in_progress: u64,
    demand: u64,
    share_permille: u64,
    share_until_ms: u64,
    retries_milli: u64,
}

/// The shares that this entry host leases as the owner of limits.
#[derive(Debug, Default)]
pub(super) struct Shares {
    owned: BTreeMap<Name, OwnedLimit>,
}

#[derive(Debug)]
struct OwnedLimit {
    since_ms: u64,
    leases: BTreeMap<Name, Lease>,
}

#[derive(Debug)]
struct Lease {
    permille: u64,
    demand: u64,
    until_ms: u64,
}

impl Limits {
    fn new(rate_milli: u64, now_ms: u64) -> Limits {
        Limits {
            bucket: Bucket::new(rate_milli, now_ms),
            in_progress: 0,
            demand: 0,
            share_permille: 0,
            share_until_ms: 0,
            retries_milli: 0,
        }
    }
}

impl Entry {
    /// Admits a request against the organisation's limits. Returns the code
    /// and the retry delay in milliseconds if a limit is reached.
    pub(super) fn admit(
        &mut self,
        organisation: &Name,
        now_ms: u64,
    ) -> Result<(), (Code, u64)> {
        let Some(rules) = self.tree.organisation_rules(organisation) else {
            return Err((Code::NotFound, 0));
        };
        let permille = self.share_permille(organisation, now_ms);
        let rate_milli = rules.requests_per_s.value * permille;
        let limits = self
            .limits
            .entry(organisation.clone())
            .or_insert_with(|| Limits::new(rate_milli, now_ms));
        limits.demand += 1;
        limits.bucket.set_rate(rate_milli, now_ms);
        let max_in_progress =
            (rules.concurrency.value * permille).div_ceil(1000);
        if limits.in_progress >= max_in_progress {
            return Err((Code::ConcurrencyLimit, 100));
        }
        if !limits.bucket.take(now_ms) {
            return Err((Code::RequestLimit, limits.bucket.wait_ms()));
        }
        limits.in_progress += 1;
        let earned = rules.retry_percent.value * 10;
        limits.retries_milli = (limits.retries_milli + earned).min(10_000);
        Ok(())
    }

    /// Releases the place of an admitted request that is complete.
    pub(super) fn release(&mut self, organisation: &Name) {
        if let Some(limits) = self.limits.get_mut(organisation) {
            limits.in_progress = limits.in_progress.saturating_sub(1);
        }
    }

    /// Takes one retry from the organisation's budget. Returns whether there
    /// was one.
    pub(super) fn spend_retry(&mut self, organisation: &Name) -> bool {
        let Some(limits) = self.limits.get_mut(organisation) else {
            return false;
        };
        let has_one = limits.retries_milli >= 1000;
        if has_one {
            limits.retries_milli -= 1000;
        }
        has_one
    }

    /// Returns the part of the organisation's limits, in thousandths, that
    /// this process may use.
    fn share_permille(&self, organisation: &Name, now_ms: u64) -> u64 {
        let count = self.live_entries().len().max(1) as u64;
        if count == 1 {
            return 1000;
        }
        let even = EVEN_PERMILLE / count;
        let leased = self
            .limits
            .get(organisation)
            .filter(|limits| now_ms < limits.share_until_ms)
            .map_or(0, |limits| limits.share_permille);
        even + leased
    }

    /// Removes the limits of organisations that are no longer in the settings
    /// and have no request in progress.
    pub(super) fn drop_unused_limits(&mut self) {
        let tree = &self.tree;
        self.limits.retain(|name, limits| {
            tree.organisations.contains_key(&**name) || limits.in_progress > 0
        });
    }

    pub(super) fn request_shares(
        &mut self,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let live = self.live_entries();
        let mut own = vec![];
        for (organisation, limits) in &mut self.limits {
            let demand = std::mem::take(&mut limits.demand);
            let is_idle = demand == 0 && limits.in_progress == 0;
            let key = organisation.as_bytes();
            let owner = rendezvous::owner(key, live.iter());
            let Some(owner) = owner.filter(|_| !is_idle) else { continue };
            let request = ShareRequest {
                organisation: organisation.to_string(),
                demand_per_s: demand + limits.in_progress,
            };
            if *owner == self.config.name {
                own.push(request);
            } else {
                let body = Body::ShareRequest(request);
                effects.push(Effect::ToEntry(owner.clone(), body));
            }
        }
        for request in own {
            let name = self.config.name.clone();
            if let Some(lease) = self.grant_lease(name, &request, now_ms) {
                self.on_share_lease(&lease, now_ms);
            }
        }
    }

    pub(super) fn on_share_request(
        &mut self,
        entry: Name,
        request: ShareRequest,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(lease) = self.grant_lease(entry.clone(), &request, now_ms)
        {
            let body = Body::ShareLease(lease);
            effects.push(Effect::ToEntry(entry, body));
        }
    }

    pub(super) fn on_share_lease(&mut self, lease: &ShareLease, now_ms: u64) {
        let organisation: Name = lease.organisation.as_str().into();
        let Some(limits) = self.limits.get_mut(&organisation) else { return };
        limits.share_permille = lease.share_permille.into();
        limits.share_until_ms = now_ms + lease.ttl_ms;
    }

    /// Leases a share in proportion to demand; `None` if this entry host does
    /// not own the limit, or has owned it for less than a lease's duration and
    /// is not the only one. Unexpired leases of others are never shortened, so
    /// the sum stays within the leased part.
    fn grant_lease(
        &mut self,
        entry: Name,
        request: &ShareRequest,
        now_ms: u64,
    ) -> Option<ShareLease> {
        let live = self.live_entries();
        let key = request.organisation.as_bytes();
        if rendezvous::owner(key, live.iter()) != Some(&self.config.name) {
            self.shares.owned.remove(request.organisation.as_str());
            return None;
        }
        let organisation: Name = request.organisation.as_str().into();
        let is_alone_since_start = live.len() == 1;
        let owned =
            self.shares.owned.entry(organisation).or_insert_with(|| {
                OwnedLimit { since_ms: now_ms, leases: BTreeMap::new() }
            });
        let settled =
            is_alone_since_start || now_ms >= owned.since_ms + SHARE_TTL_MS;
        if !settled {
            return None;
        }
        let permille = owned.grant(entry, request.demand_per_s, now_ms);
        Some(ShareLease {
            organisation: request.organisation.clone(),
            share_permille: permille as u32,
            ttl_ms: SHARE_TTL_MS,
        })
    }
}

impl OwnedLimit {
    fn grant(&mut self, entry: Name, demand: u64, now_ms: u64) -> u64 {
        self.leases.retain(|_, lease| now_ms < lease.until_ms);
        self.leases.remove(&entry);
        let others: u64 = self.leases.values().map(|l| l.permille).sum();
        let all: u64 =
            self.leases.values().map(|l| l.demand).sum::<u64>() + demand;
        let fair = LEASED_PERMILLE * demand / all.max(1);
        let free = LEASED_PERMILLE - others;
        let permille = fair.min(free);
        // The lease starts earlier at the owner than at the holder, which
        // counts from receipt; the margin covers the message's transit time.
        let until_ms = now_ms + SHARE_TTL_MS + SHARE_TTL_MS / 4;
        self.leases.insert(entry, Lease { permille, demand, until_ms });
        let sum: u64 = self.leases.values().map(|l| l.permille).sum();
        assert!(
            sum <= LEASED_PERMILLE,
            "invariant limit-shares: {sum} permille leased"
        );
        permille
    }
}
