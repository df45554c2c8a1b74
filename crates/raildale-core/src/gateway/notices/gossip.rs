//! Exchange of notices between entry hosts, with each heartbeat.

use std::{cmp::Reverse, net::IpAddr};

use super::{LIMIT_END_SHARED_MS, NoticeChange, Notices, StartNotices};
use crate::{fleet_message::NoticeEntry, gateway::target_end::StartId};

/// How long it is sent to other entry hosts that a start is leaving, in
/// milliseconds. Most starts have ended by then, and an entry host that still
/// gets an answer learns it from that.
const LEAVING_SHARED_MS: u64 = 30_000;

/// The maximum number of starts in one heartbeat: 1.4 KB.
const MAX_NOTICES_PER_HEARTBEAT: usize = 64;

impl Notices {
    /// Returns the notices to send to other entry hosts, the latest first.
    /// They include limits received from others, so that a limit outlasts the
    /// hosts that heard it. That a start is leaving is sent only by the hosts
    /// that it told.
    pub fn outgoing(&self, now_ms: u64) -> Vec<NoticeEntry> {
        let mut outgoing_notices: Vec<(&StartId, &StartNotices)> = self
            .by_start
            .iter()
            .filter(|(_, k)| is_outgoing(now_ms, k))
            .collect();
        outgoing_notices.sort_unstable_by_key(|(start, known)| {
            (Reverse(known.limit.stated_ms), **start)
        });
        let to_message =
            |(start, known): (&StartId, &StartNotices)| NoticeEntry {
                start: start.0,
                limit_per_s: known.limit.per_s,
                age_ms: now_ms.saturating_sub(known.limit.stated_ms),
                sent_lately: self.sent_lately(now_ms, *start),
                is_leaving: known.leaving_ms.is_some(),
            };
        outgoing_notices
            .into_iter()
            .take(MAX_NOTICES_PER_HEARTBEAT)
            .map(to_message)
            .collect()
    }

    /// Merges a notice received from the entry host at `from`; returns the
    /// changes.
    ///
    /// A limit that is known already is not made younger by a report: the
    /// message takes time, and two hosts that reported to each other would
    /// never let it age.
    pub fn merge_remote(
        &mut self,
        now_ms: u64,
        from: IpAddr,
        received: &NoticeEntry,
    ) -> Vec<NoticeChange> {
        let mut changes = Vec::new();
        let start = StartId(received.start);
        let is_rate = |rate: &f64| rate.is_finite() && *rate >= 0.0;
        let limit_per_s = received.limit_per_s.filter(is_rate);
        let is_known = self.limit_per_s(start) == limit_per_s;
        if is_known && limit_per_s.is_none() && !received.is_leaving {
            return changes;
        }
        let now_s = self.time_of_day_s(now_ms);
        let known = self.by_start.entry(start).or_default();
        if received.is_leaving && !known.is_reported_leaving {
            known.is_reported_leaving = true;
            changes.push(NoticeChange::Leaving);
        }
        known.limit.record_other(now_ms, from, received.sent_lately);
        if !is_known {
            let stated_ms = now_ms.saturating_sub(received.age_ms);
            changes.extend(known.limit.update(
                limit_per_s,
                stated_ms,
                now_ms,
                now_s,
            ));
        }
        changes
    }
}

/// Returns whether other entry hosts are to be told of a start's notices.
fn is_outgoing(now_ms: u64, known: &StartNotices) -> bool {
    let limit = &known.limit;
    let has_ended =
        limit.stated_ms > 0 && now_ms < limit.stated_ms + LIMIT_END_SHARED_MS;
    let is_leaving =
        known.leaving_ms.is_some_and(|ms| now_ms < ms + LEAVING_SHARED_MS);
    limit.per_s.is_some() || has_ended || is_leaving
}
