//! The limit that one start of a target names, and the requests that all entry
//! hosts have recently sent to it.

use std::{
    collections::{HashMap, VecDeque},
    net::IpAddr,
};

use super::{
    NoticeChange,
    quota::{OwnPart, Quota},
};
use crate::gateway::target_end::StartId;

/// The time window in which targets count their requests, in milliseconds, as
/// the platform documents it.
pub(super) const WINDOW_MS: u64 = 4_000;

/// The time after learning of a limit until the counts of the other entry
/// hosts are known, in milliseconds: a little more than a heartbeat interval.
const COUNTS_PENDING_MS: u64 = 500;

/// The minimum rate that is used, in requests per second. A target that
/// accepts none is still tried now and then, since only an answer can end its
/// limit.
const MIN_PER_S: f64 = 0.1;

/// The times at which this entry host sent requests to a start, within
/// [`WINDOW_MS`].
#[derive(Clone, Debug, Default)]
pub(super) struct SentTimes(VecDeque<u64>);

impl SentTimes {
    /// Counts a request.
    pub(super) fn add(&mut self, now_ms: u64) {
        self.0.push_back(now_ms);
        while self.0.front().is_some_and(|ms| ms + WINDOW_MS <= now_ms) {
            self.0.pop_front();
        }
    }

    /// Returns the number of requests within the window.
    pub(super) fn count(&self, now_ms: u64) -> u32 {
        let is_recent = |ms: &&u64| **ms + WINDOW_MS > now_ms;
        self.0.iter().rev().take_while(is_recent).count() as u32
    }
}

/// The number of requests that another entry host reported to have sent to a
/// start within the window.
#[derive(Clone, Copy, Debug)]
struct PeerCount {
    at_ms: u64,
    count: u32,
}

/// The limit of one start.
#[derive(Clone, Debug, Default)]
pub(super) struct Limit {
    /// The limit in requests per second; `None` if there is none.
    pub(super) per_s: Option<f64>,
    /// When the start last stated the limit or its end.
    pub(super) stated_ms: u64,
    /// The last token that was used, as a time of day in seconds.
    used_s: f64,
    /// Until when the counts of the other entry hosts may be outstanding.
    counts_pending_until_ms: u64,
    /// The requests of the other entry hosts.
    others: HashMap<IpAddr, PeerCount>,
}

impl Limit {
    /// Applies a limit, or its end, that was stated at `stated_ms`, unless a
    /// later statement is known. `now_s` is the time of day in seconds.
    /// Returns the change, if there is one.
    pub(super) fn update(
        &mut self,
        per_s: Option<f64>,
        stated_ms: u64,
        now_ms: u64,
        now_s: f64,
    ) -> Option<NoticeChange> {
        if stated_ms < self.stated_ms {
            return None;
        }
        self.stated_ms = stated_ms;
        let before = std::mem::replace(&mut self.per_s, per_s);
        if before.is_none() && per_s.is_some() {
            // Requests in flight have used the tokens so far.
            self.used_s = now_s;
            self.counts_pending_until_ms = now_ms + COUNTS_PENDING_MS;
        }
        let before = before.unwrap_or(f64::INFINITY);
        let now = per_s.unwrap_or(f64::INFINITY);
        match now.total_cmp(&before) {
            std::cmp::Ordering::Less => Some(NoticeChange::Lower),
            std::cmp::Ordering::Equal => None,
            std::cmp::Ordering::Greater => Some(NoticeChange::Higher),
        }
    }

    /// Records how many requests the entry host at `from` has sent to the
    /// start.
    pub(super) fn record_other(
        &mut self,
        now_ms: u64,
        from: IpAddr,
        count: u32,
    ) {
        self.others.insert(from, PeerCount { at_ms: now_ms, count });
    }

    /// Removes counts that are too old.
    pub(super) fn sweep(&mut self, now_ms: u64) {
        self.others.retain(|_, sent| now_ms < sent.at_ms + WINDOW_MS);
    }

    /// Handles a change of the time of day to `now_s`. If the clock was set
    /// back, tokens are not delayed until it has caught up.
    pub(super) fn record_time_of_day(&mut self, now_s: f64) {
        self.used_s = self.used_s.min(now_s);
    }

    /// Returns whether the start accepts one more request of this entry host,
    /// which has sent `own` requests within the window and owns `part` of the
    /// limit.
    ///
    /// The recent requests of all entry hosts count in addition to the tokens:
    /// a start that names a limit has just received more than that.
    pub(super) fn admits(
        &self,
        now_ms: u64,
        now_s: f64,
        start: StartId,
        own: u32,
        part: impl FnOnce() -> OwnPart,
    ) -> bool {
        let Some(quota) = self.quota(start, part) else { return true };
        let max_requests = quota.max_in(WINDOW_MS as f64 / 1e3);
        // Until the counts of the others are known, each may have sent as
        // much.
        let are_counts_pending = now_ms < self.counts_pending_until_ms;
        if are_counts_pending
            && f64::from(own) > max_requests * quota.part.width
        {
            return false;
        }
        f64::from(self.sent_by_others(now_ms) + own) <= max_requests
            && quota.token(now_s, self.used_s).is_some()
    }

    /// Uses a token for a request.
    pub(super) fn record_sent(
        &mut self,
        now_s: f64,
        start: StartId,
        part: impl FnOnce() -> OwnPart,
    ) {
        let Some(quota) = self.quota(start, part) else { return };
        self.used_s = quota.token(now_s, self.used_s).unwrap_or(now_s);
    }

    /// Returns the milliseconds until the requests of all entry hosts are
    /// within the limit again, assuming that they were sent at an even rate; 0
    /// if they are now.
    pub(super) fn excess_ms(
        &self,
        now_ms: u64,
        start: StartId,
        own: u32,
    ) -> u64 {
        let Some(quota) = self.quota(start, || OwnPart::ALL) else { return 0 };
        let sent = f64::from(self.sent_by_others(now_ms) + own);
        let over = sent - quota.max_in(WINDOW_MS as f64 / 1e3);
        match over > 0.0 {
            true => (over / sent * WINDOW_MS as f64).ceil() as u64,
            false => 0,
        }
    }

    fn sent_by_others(&self, now_ms: u64) -> u32 {
        let counts = self.others.values();
        counts
            .filter(|sent| now_ms < sent.at_ms + WINDOW_MS)
            .map(|sent| sent.count)
            .sum()
    }

    fn quota(
        &self,
        start: StartId,
        part: impl FnOnce() -> OwnPart,
    ) -> Option<Quota> {
        let per_s = self.per_s?.max(MIN_PER_S);
        Some(Quota { start, per_s, part: part() })
    }
}
