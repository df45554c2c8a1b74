//! Notices that targets send in the heads of their answers.
//!
//! Notices are kept by the start that sent them, apart from the list of
//! targets: they are not affected by an entry that lapses and returns, or by
//! another start at the same address. Entry hosts exchange notices; the latest
//! statement holds.
//!
//! * `limit`: the limit of a start, and the requests sent to it.
//! * [`quota`]: this entry host's part of the requests within a limit.
//! * `gossip`: exchange of notices between entry hosts.

mod gossip;
mod limit;
pub mod quota;

use std::collections::HashMap;

use self::{
    limit::{Limit, SentTimes},
    quota::OwnPart,
};
use super::target_end::StartId;

/// The notice in the head of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetNotice {
    /// Requests per second that the target accepts from all entry hosts
    /// together; `None` if it names no limit.
    pub limit_per_s: Option<f64>,
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// Milliseconds for which the target wants no requests from this entry
    /// host; `None` if it names no time.
    pub retry_after_ms: Option<u64>,
    /// Whether the notice could not be decoded.
    pub is_malformed: bool,
}

/// A change that a notice made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeChange {
    /// A part of the notice could not be decoded.
    Malformed,
    /// The target accepts fewer requests than before.
    Lower,
    /// The target accepts more requests than before, or any number.
    Higher,
    /// The target is leaving.
    Leaving,
    /// The target wants no requests from this entry host for this many
    /// milliseconds.
    Waits(u64),
}

/// The notices of all starts that have sent any.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    by_start: HashMap<StartId, StartNotices>,
    /// The times of requests to each start.
    sent: HashMap<StartId, SentTimes>,
    /// The offset from the process's clock to the time of day, in
    /// milliseconds.
    time_of_day_ms: i64,
}

/// The notices of one start.
#[derive(Clone, Debug, Default)]
struct StartNotices {
    limit: Limit,
    /// When it last told this entry host that it is leaving.
    leaving_ms: Option<u64>,
    /// Whether another entry host reported that it is leaving.
    is_reported_leaving: bool,
    /// Until when it wants no requests from this entry host.
    wait_until_ms: u64,
    /// Whether the notice in its last answer could not be decoded.
    is_malformed: bool,
}

/// How long the end of a limit is sent to other entry hosts, in milliseconds.
/// Each of them hears of it within that time.
const LIMIT_END_SHARED_MS: u64 = 10_000;

/// How long it is remembered that a start is leaving after it is no longer
/// listed, in milliseconds. Its entry may lapse and return with a store
/// outage.
const LEAVING_RETENTION_MS: u64 = 600_000;

impl Notices {
    /// Creates an empty set of notices.
    pub fn new() -> Notices {
        Notices::default()
    }

    /// Sets the time of day in Unix milliseconds. If the clock was set back,
    /// tokens are not delayed until it has caught up.
    pub fn set_time_of_day(&mut self, now_ms: u64, unix_ms: u64) {
        self.time_of_day_ms = unix_ms as i64 - now_ms as i64;
        let now_s = self.time_of_day_s(now_ms);
        for known in self.by_start.values_mut() {
            known.limit.record_time_of_day(now_s);
        }
    }

    /// Returns the limit of a start in requests per second; `None` if there is
    /// none.
    pub fn limit_per_s(&self, start: StartId) -> Option<f64> {
        self.by_start.get(&start)?.limit.per_s
    }

    /// Returns whether a start has told this entry host that it is leaving.
    pub fn is_leaving(&self, start: StartId) -> bool {
        let known = self.by_start.get(&start);
        known.is_some_and(|known| known.leaving_ms.is_some())
    }

    /// Returns whether another entry host reported that a start is leaving.
    pub fn is_reported_leaving(&self, start: StartId) -> bool {
        let known = self.by_start.get(&start);
        known.is_some_and(|known| known.is_reported_leaving)
    }

    /// Handles the notice in the answer to a request that was sent at
    /// `sent_ms`. Returns the changes.
    ///
    /// An answer without a limit ends a limit only if its request was sent
    /// after the limit was last stated, since answers may overtake one
    /// another. A start that is leaving stays so.
    pub fn record(
        &mut self,
        now_ms: u64,
        start: StartId,
        sent_ms: u64,
        notice: TargetNotice,
    ) -> Vec<NoticeChange> {
        let mut changes = Vec::new();
        let is_any_stated = notice != TargetNotice::default();
        if !is_any_stated && !self.by_start.contains_key(&start) {
            return changes;
        }
        let now_s = self.time_of_day_s(now_ms);
        let known = self.by_start.entry(start).or_default();
        if notice.is_malformed && !known.is_malformed {
            changes.push(NoticeChange::Malformed);
        }
        known.is_malformed = notice.is_malformed;
        if notice.is_leaving && known.leaving_ms.replace(now_ms).is_none() {
            changes.push(NoticeChange::Leaving);
        }
        if let Some(wait_ms) = notice.retry_after_ms {
            changes.extend(known.set_wait(now_ms, wait_ms));
        }
        let limit_per_s = notice.limit_per_s;
        if limit_per_s.is_some() || !notice.is_malformed {
            let stated_ms =
                if limit_per_s.is_some() { now_ms } else { sent_ms };
            changes.extend(known.limit.update(
                limit_per_s,
                stated_ms,
                now_ms,
                now_s,
            ));
        }
        changes
    }

    /// Removes the notices of starts that are no longer listed, some time
    /// after their last statement.
    pub fn sweep(&mut self, now_ms: u64, is_listed: impl Fn(StartId) -> bool) {
        self.by_start.retain(|start, known| {
            let is_leaving = known
                .leaving_ms
                .is_some_and(|ms| now_ms < ms + LEAVING_RETENTION_MS);
            let is_new = now_ms < known.limit.stated_ms + LIMIT_END_SHARED_MS;
            is_new || is_leaving || is_listed(*start)
        });
        for known in self.by_start.values_mut() {
            known.limit.sweep(now_ms);
        }
        self.sent.retain(|_, sent| sent.count(now_ms) > 0);
    }

    /// Returns whether a start accepts one more request of this entry host,
    /// whose part of the limit is `part`. A start that asked to wait may have
    /// room according to its reports and still wants no request.
    pub fn admits(
        &self,
        now_ms: u64,
        start: StartId,
        part: impl FnOnce() -> OwnPart,
    ) -> bool {
        let Some(known) = self.by_start.get(&start) else { return true };
        if now_ms < known.wait_until_ms {
            return false;
        }
        let own = self.sent_lately(now_ms, start);
        let now_s = self.time_of_day_s(now_ms);
        known.limit.admits(now_ms, now_s, start, own, part)
    }

    /// Returns the milliseconds until a start accepts requests of this entry
    /// host again: the wait that it asked for has passed, and the requests of
    /// all entry hosts are within its limit. 0 if it accepts them now.
    pub fn blocked_ms(&self, now_ms: u64, start: StartId) -> u64 {
        let Some(known) = self.by_start.get(&start) else { return 0 };
        let remaining_ms = known.wait_until_ms.saturating_sub(now_ms);
        let own = self.sent_lately(now_ms, start);
        remaining_ms.max(known.limit.excess_ms(now_ms, start, own))
    }

    /// Counts a request sent to a start.
    pub fn record_sent(
        &mut self,
        now_ms: u64,
        start: StartId,
        part: impl FnOnce() -> OwnPart,
    ) {
        self.sent.entry(start).or_default().add(now_ms);
        let now_s = self.time_of_day_s(now_ms);
        if let Some(known) = self.by_start.get_mut(&start) {
            known.limit.record_sent(now_s, start, part);
        }
    }

    /// Returns the number of requests that this entry host has recently sent
    /// to a start.
    fn sent_lately(&self, now_ms: u64, start: StartId) -> u32 {
        self.sent.get(&start).map_or(0, |sent| sent.count(now_ms))
    }

    /// Returns the time of day in seconds.
    pub(in crate::gateway) fn time_of_day_s(&self, now_ms: u64) -> f64 {
        now_ms.saturating_add_signed(self.time_of_day_ms) as f64 / 1e3
    }
}

impl StartNotices {
    /// Records that it wants no requests from this entry host for `wait_ms`.
    fn set_wait(&mut self, now_ms: u64, wait_ms: u64) -> Option<NoticeChange> {
        let is_waiting = now_ms < self.wait_until_ms;
        let until_ms = now_ms.saturating_add(wait_ms);
        self.wait_until_ms = self.wait_until_ms.max(until_ms);
        let has_changed = !is_waiting && wait_ms > 0;
        has_changed.then_some(NoticeChange::Waits(wait_ms))
    }
}
