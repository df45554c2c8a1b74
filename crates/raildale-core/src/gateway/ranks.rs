//! The order of requests by rank while targets have no room for all.
//!
//! The operator gives routes and organisations a priority. An organisation's
//! goes first, and the route's decides among its requests. Ranks only exist
//! for a service whose streams have different priorities; the requests of all
//! other services are equal.
//!
//! The more urgent wait in front. So that nobody starves however many urgent
//! requests there are, every [`UNRANKED_TURN`]th request that is sent while
//! others wait is taken by the time of its goal alone.
//!
//! The order alone decides little where an entry host has few requests: hardly
//! any two of them meet in its queue. So the less urgent also leave some slots
//! free for the more urgent, as in trunk reservation. Up to which utilisation
//! of all targets a rank is sent depends on how much of the demand is more
//! urgent. All entry hosts know the same utilisation, so that they agree on
//! who is sent however few requests each of them has.

use std::collections::BTreeMap;

use super::{
    decaying_sum::DecayingSum,
    routes::{Organisation, Route, Routing, Service},
};

/// The rank of a request; lower ones are more urgent.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
pub struct Rank {
    /// The priority of the organisation, or of the route if it has none.
    pub organisation: u8,
    /// The priority of the route.
    pub route: u8,
}

impl Rank {
    /// Returns the rank of a request of a service.
    pub fn of(
        routing: &Routing,
        service: &Service,
        route: &Route,
        organisation: Option<&Organisation>,
    ) -> Rank {
        if !routing.is_ranked(&service.name) {
            return Rank::default();
        }
        let own = organisation.and_then(|o| o.priority);
        Rank {
            organisation: own.unwrap_or(route.priority),
            route: route.priority,
        }
    }
}

/// One request in this many is taken without regard to ranks. With an eighth
/// of what is sent, a rank with half of all requests is still served at a
/// quarter of the mean rate.
const UNRANKED_TURN: u32 = 8;

/// Counts the requests that are taken from a queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turns {
    sent: u32,
}

impl Turns {
    /// Returns whether the next request is taken without regard to ranks.
    pub fn is_unranked(&self) -> bool {
        self.sent % UNRANKED_TURN == UNRANKED_TURN - 1
    }

    /// Counts a request that was sent; `has_waiting` tells whether others
    /// wait, as only then ranks decide.
    pub fn record_sent(&mut self, has_waiting: bool) {
        if has_waiting {
            self.sent = self.sent.wrapping_add(1);
        }
    }
}

/// Half-life of a request's weight in the demand by rank, in milliseconds. It
/// changes slowly, and an entry host may get only one request a second.
const RANK_DEMAND_HALF_LIFE_MS: f64 = 10_000.0;

/// The share of all slots that the least urgent rank leaves free if nearly all
/// of the demand is more urgent.
const URGENT_RESERVE_SHARE: f64 = 0.25;

/// The recent requests of a service by rank.
#[derive(Clone, Debug, Default)]
pub struct RankDemand {
    by_rank: BTreeMap<Rank, DecayingSum>,
}

impl RankDemand {
    /// Counts a request.
    pub fn record(&mut self, now_ms: u64, rank: Rank) {
        self.by_rank
            .entry(rank)
            .or_insert_with(|| DecayingSum::new(RANK_DEMAND_HALF_LIFE_MS))
            .add(now_ms, 1.0);
    }

    /// Returns the utilisation of the targets up to which requests of a rank
    /// are sent, from 0 to 1; `None` if no other requests are more urgent.
    pub fn max_utilisation(&self, now_ms: u64, rank: Rank) -> Option<f64> {
        let rate = |demand: &DecayingSum| demand.rate_per_s(now_ms);
        let all: f64 = self.by_rank.values().map(rate).sum();
        let more_urgent: f64 =
            self.by_rank.range(..rank).map(|(_, demand)| rate(demand)).sum();
        (more_urgent > 0.0)
            .then(|| 1.0 - URGENT_RESERVE_SHARE * more_urgent / all)
    }
}
