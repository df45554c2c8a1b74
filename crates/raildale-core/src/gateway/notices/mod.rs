//! What targets say of themselves in the heads of their answers.
//!
//! It is kept by the start that said it, apart from the list of targets: an
//! entry that goes and comes back, or another start at the same address, does
//! not change what a start has said. Entry hosts tell one another; the word
//! that was said last holds.
//!
//! * `limit`: the limit that a start names, and what was sent to it.
//! * [`quota`]: which requests of a limit are this entry host's.
//! * `told`: what entry hosts tell one another.

mod limit;
pub mod quota;
mod told;

use std::collections::HashMap;

use self::{
    limit::{Limit, SentTimes},
    quota::OwnPart,
};
use super::ends::StartId;

/// What the head of one answer says of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetNotice {
    /// Requests a second that it takes from all entry hosts together; `None`
    /// if it names no limit.
    pub limit_per_s: Option<f64>,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Milliseconds for which it wants nothing from whoever it answers;
    /// `None` if it names no time.
    pub retry_after_ms: Option<u64>,
    /// Whether what it says does not decode.
    pub is_malformed: bool,
}

/// What is new by an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeNews {
    /// Something that it says does not decode.
    Malformed,
    /// The target takes fewer requests than was known.
    Lower,
    /// It takes more, or any number.
    Higher,
    /// It leaves.
    Leaving,
    /// It wants nothing from this entry host for some milliseconds.
    Waits(u64),
}

/// What is known of the starts that said anything.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    by_start: HashMap<StartId, Known>,
    /// When requests were sent to each start.
    sent: HashMap<StartId, SentTimes>,
    /// What is added to the process's clock for the time of day, in
    /// milliseconds.
    time_of_day_ms: i64,
}

/// What one start says.
#[derive(Clone, Debug, Default)]
struct Known {
    limit: Limit,
    /// When it told this entry host last that it leaves.
    leaving_ms: Option<u64>,
    /// Whether another entry host told that it leaves.
    is_told_leaving: bool,
    /// Until when it wants nothing from this entry host.
    waits_until_ms: u64,
    /// Whether its last answer did not decode.
    is_malformed: bool,
}

/// How long it is told that a start has no limit any more, in milliseconds:
/// nobody takes longer to hear it.
const ENDED_TOLD_MS: u64 = 10_000;

/// How long it is remembered that a start leaves which is listed no longer, in
/// milliseconds: its entry may lapse and be back with an outage of the store.
const LEAVING_KEPT_MS: u64 = 600_000;

impl Notices {
    /// Nothing was said yet.
    pub fn new() -> Notices {
        Notices::default()
    }

    /// Sets the time of day, in Unix milliseconds. One that was set back is
    /// not waited for.
    pub fn set_time_of_day(&mut self, now_ms: u64, unix_ms: u64) {
        self.time_of_day_ms = unix_ms as i64 - now_ms as i64;
        let now_s = self.time_of_day_s(now_ms);
        for known in self.by_start.values_mut() {
            known.limit.note_time_of_day(now_s);
        }
    }

    /// The limit that a start names, in requests a second.
    pub fn limit_per_s(&self, start: StartId) -> Option<f64> {
        self.by_start.get(&start)?.limit.per_s
    }

    /// Whether a start has told this entry host that it leaves.
    pub fn is_leaving(&self, start: StartId) -> bool {
        let known = self.by_start.get(&start);
        known.is_some_and(|known| known.leaving_ms.is_some())
    }

    /// Whether a start leaves by the word of another entry host.
    pub fn is_told_leaving(&self, start: StartId) -> bool {
        let known = self.by_start.get(&start);
        known.is_some_and(|known| known.is_told_leaving)
    }

    /// Takes in what the answer to a request that was sent at `sent_ms` says;
    /// returns what is new by it.
    ///
    /// An answer without a limit ends one only if its request was sent after
    /// the limit was last named: heads overtake one another. A start that
    /// leaves does so for good.
    pub fn note(
        &mut self,
        now_ms: u64,
        start: StartId,
        sent_ms: u64,
        notice: TargetNotice,
    ) -> Vec<NoticeNews> {
        let mut news = Vec::new();
        let says_any = notice != TargetNotice::default();
        if !says_any && !self.by_start.contains_key(&start) {
            return news;
        }
        let now_s = self.time_of_day_s(now_ms);
        let known = self.by_start.entry(start).or_default();
        if notice.is_malformed && !known.is_malformed {
            news.push(NoticeNews::Malformed);
        }
        known.is_malformed = notice.is_malformed;
        if notice.is_leaving && known.leaving_ms.replace(now_ms).is_none() {
            news.push(NoticeNews::Leaving);
        }
        if let Some(wait_ms) = notice.retry_after_ms {
            news.extend(known.wait(now_ms, wait_ms));
        }
        let limit_per_s = notice.limit_per_s;
        if limit_per_s.is_some() || !notice.is_malformed {
            let said_ms = if limit_per_s.is_some() { now_ms } else { sent_ms };
            news.extend(known.limit.say(limit_per_s, said_ms, now_ms, now_s));
        }
        news
    }

    /// Forgets starts that are listed no longer, a while after their last
    /// word.
    pub fn sweep(&mut self, now_ms: u64, is_listed: impl Fn(StartId) -> bool) {
        self.by_start.retain(|start, known| {
            let is_leaving = known
                .leaving_ms
                .is_some_and(|ms| now_ms < ms + LEAVING_KEPT_MS);
            let is_new = now_ms < known.limit.said_ms + ENDED_TOLD_MS;
            is_new || is_leaving || is_listed(*start)
        });
        for known in self.by_start.values_mut() {
            known.limit.sweep(now_ms);
        }
        self.sent.retain(|_, sent| sent.count(now_ms) > 0);
    }

    /// Whether a start takes one more request of this entry host, whose part
    /// of its limit is `part`. One that turned a request away may have room by
    /// its reports and wants nothing yet.
    pub fn admits(
        &self,
        now_ms: u64,
        start: StartId,
        part: impl FnOnce() -> OwnPart,
    ) -> bool {
        let Some(known) = self.by_start.get(&start) else { return true };
        if now_ms < known.waits_until_ms {
            return false;
        }
        let own = self.sent_lately(now_ms, start);
        let now_s = self.time_of_day_s(now_ms);
        known.limit.admits(now_ms, now_s, start, own, part)
    }

    /// Milliseconds until a start takes requests of this entry host again: the
    /// time that it named is over, and what all have sent to it is within its
    /// limit. 0 if it takes them now.
    pub fn blocked_ms(&self, now_ms: u64, start: StartId) -> u64 {
        let Some(known) = self.by_start.get(&start) else { return 0 };
        let waits_ms = known.waits_until_ms.saturating_sub(now_ms);
        let own = self.sent_lately(now_ms, start);
        waits_ms.max(known.limit.over_ms(now_ms, start, own))
    }

    /// Counts a request out to a start.
    pub fn note_sent(
        &mut self,
        now_ms: u64,
        start: StartId,
        part: impl FnOnce() -> OwnPart,
    ) {
        self.sent.entry(start).or_default().add(now_ms);
        let now_s = self.time_of_day_s(now_ms);
        if let Some(known) = self.by_start.get_mut(&start) {
            known.limit.note_sent(now_s, start, part);
        }
    }

    /// Requests that this entry host has sent to a start of late.
    fn sent_lately(&self, now_ms: u64, start: StartId) -> u32 {
        self.sent.get(&start).map_or(0, |sent| sent.count(now_ms))
    }

    fn time_of_day_s(&self, now_ms: u64) -> f64 {
        now_ms.saturating_add_signed(self.time_of_day_ms) as f64 / 1e3
    }
}

impl Known {
    /// Takes over that it wants nothing from this entry host for a while.
    fn wait(&mut self, now_ms: u64, wait_ms: u64) -> Option<NoticeNews> {
        let is_waiting = now_ms < self.waits_until_ms;
        let until_ms = now_ms.saturating_add(wait_ms);
        self.waits_until_ms = self.waits_until_ms.max(until_ms);
        let is_news = !is_waiting && wait_ms > 0;
        is_news.then_some(NoticeNews::Waits(wait_ms))
    }
}
