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

use super::routes::{Organisation, Route, Routing, Service};

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
