//! The limit that one start of a target names, and what all entry hosts have
//! sent to it of late.

use std::{
    collections::{HashMap, VecDeque},
    net::IpAddr,
};

use super::{
    NoticeNews,
    quota::{OwnPart, Quota},
};
use crate::gateway::ends::StartId;

/// The span over which targets count what they get, in milliseconds, as the
/// platform's users tell.
pub(super) const WINDOW_MS: u64 = 4_000;

/// Time from learning of a limit until the others' counts are known, in
/// milliseconds: a heartbeat and a bit.
const UNTOLD_MS: u64 = 500;

/// The least rate that is kept, in requests a second: a target that takes
/// none is asked now and then, since only an answer can end its limit.
const LEAST_PER_S: f64 = 0.1;

/// When this entry host sent requests to a start, within [`WINDOW_MS`].
#[derive(Clone, Debug, Default)]
pub(super) struct SentTimes(VecDeque<u64>);

impl SentTimes {
    /// Counts a request out.
    pub(super) fn add(&mut self, now_ms: u64) {
        self.0.push_back(now_ms);
        while self.0.front().is_some_and(|ms| ms + WINDOW_MS <= now_ms) {
            self.0.pop_front();
        }
    }

    /// Requests within the window.
    pub(super) fn count(&self, now_ms: u64) -> u32 {
        let is_late = |ms: &&u64| **ms + WINDOW_MS > now_ms;
        self.0.iter().rev().take_while(is_late).count() as u32
    }
}

/// Requests that another entry host has sent to a start within the window, as
/// it told.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at_ms: u64,
    count: u32,
}

/// What is known of the limit of one start.
#[derive(Clone, Debug, Default)]
pub(super) struct Limit {
    /// Requests a second; `None` if it names no limit.
    pub(super) per_s: Option<f64>,
    /// When it said so last.
    pub(super) said_ms: u64,
    /// The last token that was used, by the time of day in seconds.
    used_s: f64,
    /// Until when the others' counts are on their way.
    untold_until_ms: u64,
    /// What the other entry hosts have sent there.
    others: HashMap<IpAddr, Sent>,
}

impl Limit {
    /// Takes over a limit that was named, or ended, at `said_ms`; by the time
    /// of day it is `now_s`.
    pub(super) fn say(
        &mut self,
        per_s: Option<f64>,
        said_ms: u64,
        now_ms: u64,
        now_s: f64,
    ) -> Option<NoticeNews> {
        if said_ms < self.said_ms {
            return None;
        }
        self.said_ms = said_ms;
        let before = std::mem::replace(&mut self.per_s, per_s);
        if before.is_none() && per_s.is_some() {
            // What is on its way has used the tokens so far.
            self.used_s = now_s;
            self.untold_until_ms = now_ms + UNTOLD_MS;
        }
        let before = before.unwrap_or(f64::INFINITY);
        let now = per_s.unwrap_or(f64::INFINITY);
        match now.total_cmp(&before) {
            std::cmp::Ordering::Less => Some(NoticeNews::Lower),
            std::cmp::Ordering::Equal => None,
            std::cmp::Ordering::Greater => Some(NoticeNews::Higher),
        }
    }

    /// Takes over how many requests the entry host at `from` has sent there.
    pub(super) fn note_other(
        &mut self,
        now_ms: u64,
        from: IpAddr,
        count: u32,
    ) {
        self.others.insert(from, Sent { at_ms: now_ms, count });
    }

    /// Forgets counts that are too old.
    pub(super) fn sweep(&mut self, now_ms: u64) {
        self.others.retain(|_, sent| now_ms < sent.at_ms + WINDOW_MS);
    }

    /// The time of day was set to `now_s`; one that was set back is not waited
    /// for.
    pub(super) fn note_time_of_day(&mut self, now_s: f64) {
        self.used_s = self.used_s.min(now_s);
    }

    /// Whether the start takes one more request of this entry host, which has
    /// sent it `own` within the window and whose part is `part`.
    ///
    /// What all have sent lately counts as well as the tokens: a start that
    /// names a limit has just got more than that.
    pub(super) fn admits(
        &self,
        now_ms: u64,
        now_s: f64,
        start: StartId,
        own: u32,
        part: impl FnOnce() -> OwnPart,
    ) -> bool {
        let Some(quota) = self.quota(start, part) else { return true };
        let most = quota.most_in(WINDOW_MS as f64 / 1e3);
        // Until the others' counts have come, all may have sent as much.
        let is_in_doubt = now_ms < self.untold_until_ms;
        if is_in_doubt && f64::from(own) > most * quota.part.width {
            return false;
        }
        f64::from(self.sent_by_others(now_ms) + own) <= most
            && quota.token(now_s, self.used_s).is_some()
    }

    /// Uses a token.
    pub(super) fn note_sent(
        &mut self,
        now_s: f64,
        start: StartId,
        part: impl FnOnce() -> OwnPart,
    ) {
        let Some(quota) = self.quota(start, part) else { return };
        self.used_s = quota.token(now_s, self.used_s).unwrap_or(now_s);
    }

    /// Milliseconds until what all have sent is within the limit again, if it
    /// has come evenly; 0 if it is now.
    pub(super) fn over_ms(
        &self,
        now_ms: u64,
        start: StartId,
        own: u32,
    ) -> u64 {
        let Some(quota) = self.quota(start, || OwnPart::ALL) else { return 0 };
        let sent = f64::from(self.sent_by_others(now_ms) + own);
        let over = sent - quota.most_in(WINDOW_MS as f64 / 1e3);
        match over > 0.0 {
            true => (over / sent * WINDOW_MS as f64).ceil() as u64,
            false => 0,
        }
    }

    fn sent_by_others(&self, now_ms: u64) -> u32 {
        let told = self.others.values();
        told.filter(|sent| now_ms < sent.at_ms + WINDOW_MS)
            .map(|sent| sent.count)
            .sum()
    }

    fn quota(
        &self,
        start: StartId,
        part: impl FnOnce() -> OwnPart,
    ) -> Option<Quota> {
        let per_s = self.per_s?.max(LEAST_PER_S);
        Some(Quota { start, per_s, part: part() })
    }
}
