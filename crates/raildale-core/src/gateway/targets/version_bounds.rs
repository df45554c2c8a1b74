//! Effects of the bounds of versions on the choice among targets.

use crate::gateway::{target::Target, versions::VersionBound};

/// How long before a version's bound nothing is sent to an older version any
/// more, in milliseconds. On a congested link, requests began up to 2.2 s
/// after they were sent.
const SEND_MARGIN_MS: u64 = 2_500;

/// How long before a version's bound a target with an older version gets
/// requests over a fast path only, in milliseconds. On a congested link,
/// requests took 1.8 s.
const NEAR_BOUND_MS: u64 = 3_500;

/// The maximum round-trip time of a fast path to a target, in milliseconds:
/// twenty times the longest between data centres.
const FAST_ROUND_TRIP_MS: u64 = 110;

/// Returns whether a newer version than the one that a target serves is named.
pub(super) fn is_old(
    target: &Target,
    now_ms: u64,
    bounds: &[VersionBound],
) -> bool {
    let serves = target.serves_version(now_ms).unwrap_or(0);
    bounds.iter().any(|bound| bound.version > serves)
}

/// Returns whether a request that is sent now will start on a version that may
/// still start work then. While a bound is pending, an older target gets
/// nothing over a slow path, since a request in transit can't be withdrawn.
pub(super) fn is_new_enough(
    target: &Target,
    now_ms: u64,
    bounds: &[VersionBound],
) -> bool {
    let Some(serves) = target.serves_version(now_ms) else { return false };
    let worst_ms = target.worst_round_trip_ms(now_ms);
    let is_slow = target.is_slow(now_ms);
    bounds.iter().filter(|bound| bound.version > serves).all(|bound| {
        let is_bound_near = bound.left_ms < NEAR_BOUND_MS;
        let is_fast = worst_ms <= FAST_ROUND_TRIP_MS;
        bound.left_ms > SEND_MARGIN_MS
            && !is_slow
            && (is_fast || !is_bound_near)
    })
}
