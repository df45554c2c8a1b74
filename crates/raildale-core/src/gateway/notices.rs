//! What targets say of themselves in the heads of their answers.
//!
//! It is kept by the start that said it, apart from the list of targets: an
//! entry that goes and comes back, or another start at the same address, does
//! not change what a start has said. Entry hosts tell one another; the word
//! that was said last holds.

use std::{
    collections::{HashMap, VecDeque},
    net::IpAddr,
};

use super::{
    ends::StartId,
    quota::{OwnPart, Quota},
};
use crate::fleet_message::ToldNotice;

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
    /// When requests were sent to each start, within [`WINDOW_MS`].
    sent_ms: HashMap<StartId, VecDeque<u64>>,
    /// What is added to the process's clock for the time of day, in
    /// milliseconds.
    time_of_day_ms: i64,
}

/// What one start says.
#[derive(Clone, Debug, Default)]
struct Known {
    limit_per_s: Option<f64>,
    /// When it said so last.
    said_ms: u64,
    /// When it told this entry host last that it leaves.
    leaving_ms: Option<u64>,
    /// Whether another entry host told that it leaves.
    is_told_leaving: bool,
    /// Until when it wants nothing from this entry host.
    waits_until_ms: u64,
    /// Whether its last answer did not decode.
    is_malformed: bool,
    /// The last token of its limit that was used, by the time of day in
    /// seconds.
    used_s: f64,
    /// Until when the others' counts are on their way.
    untold_until_ms: u64,
    /// What the other entry hosts have sent there.
    others: HashMap<IpAddr, Sent>,
}

/// Requests that another entry host has sent to a start within [`WINDOW_MS`],
/// as it told.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at_ms: u64,
    count: u32,
}

/// The span over which targets count what they get, in milliseconds, as the
/// platform's users tell.
const WINDOW_MS: u64 = 4_000;

/// Time from learning of a limit until the others' counts are known, in
/// milliseconds: a heartbeat and a bit.
const UNTOLD_MS: u64 = 500;

/// The least rate that is kept, in requests a second: a target that takes
/// none is asked now and then, since only an answer can end its limit.
const LEAST_PER_S: f64 = 0.1;

/// How long it is told that a start has no limit any more, in milliseconds:
/// nobody takes longer to hear it.
const ENDED_TOLD_MS: u64 = 10_000;

/// How long it is told that a start leaves, in milliseconds: most are gone by
/// then, and whoever it answers hears it anew.
const LEAVING_TOLD_MS: u64 = 30_000;

/// How long it is remembered that a start leaves which is listed no longer, in
/// milliseconds: its entry may lapse and be back with an outage of the store.
const LEAVING_KEPT_MS: u64 = 600_000;

/// Starts in one heartbeat at most: 1.4 KB.
const TOLD_MOST: usize = 64;

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
            known.used_s = known.used_s.min(now_s);
        }
    }

    /// The limit that a start names, in requests a second.
    pub fn limit_per_s(&self, start: StartId) -> Option<f64> {
        self.by_start.get(&start)?.limit_per_s
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
            news.extend(known.say(limit_per_s, said_ms, now_ms, now_s));
        }
        news
    }

    /// What others are to know, the latest first: all that is known here, from
    /// whomever, so that it outlasts those who heard it.
    pub fn told(&self, now_ms: u64) -> Vec<ToldNotice> {
        let is_due = |known: &Known| {
            let has_ended =
                known.said_ms > 0 && now_ms < known.said_ms + ENDED_TOLD_MS;
            let is_leaving = known
                .leaving_ms
                .is_some_and(|ms| now_ms < ms + LEAVING_TOLD_MS);
            known.limit_per_s.is_some() || has_ended || is_leaving
        };
        let mut due: Vec<(&StartId, &Known)> =
            self.by_start.iter().filter(|(_, k)| is_due(k)).collect();
        due.sort_unstable_by_key(|(start, k)| {
            (std::cmp::Reverse(k.said_ms), **start)
        });
        let tell = |(start, known): (&StartId, &Known)| ToldNotice {
            start: start.0,
            limit_per_s: known.limit_per_s,
            age_ms: now_ms.saturating_sub(known.said_ms),
            sent_lately: self.sent_lately(now_ms, *start),
            is_leaving: known.leaving_ms.is_some(),
        };
        due.into_iter().take(TOLD_MOST).map(tell).collect()
    }

    /// Takes in what the entry host at `from` tells; returns what is new by
    /// it.
    ///
    /// What is known already does not become younger by being told: the way
    /// here takes time, and two that tell each other would never let it age.
    pub fn take_told(
        &mut self,
        now_ms: u64,
        from: IpAddr,
        told: &ToldNotice,
    ) -> Vec<NoticeNews> {
        let mut news = Vec::new();
        let start = StartId(told.start);
        let limit_per_s = told.limit_per_s.filter(|rate| rate.is_finite());
        let is_known = self.limit_per_s(start) == limit_per_s;
        if is_known && limit_per_s.is_none() && !told.is_leaving {
            return news;
        }
        let now_s = self.time_of_day_s(now_ms);
        let known = self.by_start.entry(start).or_default();
        if told.is_leaving && !known.is_told_leaving {
            known.is_told_leaving = true;
            news.push(NoticeNews::Leaving);
        }
        let sent = Sent { at_ms: now_ms, count: told.sent_lately };
        known.others.insert(from, sent);
        if !is_known {
            let said_ms = now_ms.saturating_sub(told.age_ms);
            news.extend(known.say(limit_per_s, said_ms, now_ms, now_s));
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
            let is_new = now_ms < known.said_ms + ENDED_TOLD_MS;
            is_new || is_leaving || is_listed(*start)
        });
        for known in self.by_start.values_mut() {
            known.others.retain(|_, sent| now_ms < sent.at_ms + WINDOW_MS);
        }
        self.sent_ms.retain(|_, times| {
            times.back().is_some_and(|ms| now_ms < ms + WINDOW_MS)
        });
    }

    /// Whether a start takes one more request of this entry host, whose part
    /// of its limit is `part`.
    ///
    /// What all have sent lately counts as well as the tokens: a start that
    /// names a limit has just got more than that. One that turned a request
    /// away may have room by its reports and wants nothing yet.
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
        let Some(quota) = known.quota(start, part) else { return true };
        let most = quota.most_in(WINDOW_MS as f64 / 1e3);
        let own = self.sent_lately(now_ms, start);
        // Until the others' counts have come, all may have sent as much.
        let is_in_doubt = now_ms < known.untold_until_ms;
        if is_in_doubt && f64::from(own) > most * quota.part.width {
            return false;
        }
        f64::from(known.sent_by_others(now_ms) + own) <= most
            && quota.token(self.time_of_day_s(now_ms), known.used_s).is_some()
    }

    /// Milliseconds until a start takes requests of this entry host again: the
    /// time that it named is over, and what all have sent to it is within its
    /// limit, if it has come evenly. 0 if it takes them now.
    pub fn blocked_ms(&self, now_ms: u64, start: StartId) -> u64 {
        let Some(known) = self.by_start.get(&start) else { return 0 };
        let waits_ms = known.waits_until_ms.saturating_sub(now_ms);
        waits_ms.max(self.over_limit_ms(now_ms, start, known))
    }

    fn over_limit_ms(
        &self,
        now_ms: u64,
        start: StartId,
        known: &Known,
    ) -> u64 {
        let Some(quota) = known.quota(start, || OwnPart::ALL) else {
            return 0;
        };
        let own = self.sent_lately(now_ms, start);
        let sent = f64::from(known.sent_by_others(now_ms) + own);
        let over = sent - quota.most_in(WINDOW_MS as f64 / 1e3);
        match over > 0.0 {
            true => (over / sent * WINDOW_MS as f64).ceil() as u64,
            false => 0,
        }
    }

    /// Counts a request out to a start.
    pub fn note_sent(
        &mut self,
        now_ms: u64,
        start: StartId,
        part: impl FnOnce() -> OwnPart,
    ) {
        let times = self.sent_ms.entry(start).or_default();
        times.push_back(now_ms);
        while times.front().is_some_and(|ms| ms + WINDOW_MS <= now_ms) {
            times.pop_front();
        }
        let now_s = self.time_of_day_s(now_ms);
        let Some(known) = self.by_start.get_mut(&start) else { return };
        let Some(quota) = known.quota(start, part) else { return };
        known.used_s = quota.token(now_s, known.used_s).unwrap_or(now_s);
    }

    /// Requests that this entry host has sent to a start within the window.
    fn sent_lately(&self, now_ms: u64, start: StartId) -> u32 {
        let Some(times) = self.sent_ms.get(&start) else { return 0 };
        let is_late = |ms: &&u64| **ms + WINDOW_MS > now_ms;
        times.iter().rev().take_while(is_late).count() as u32
    }

    fn time_of_day_s(&self, now_ms: u64) -> f64 {
        now_ms.saturating_add_signed(self.time_of_day_ms) as f64 / 1e3
    }
}

impl Known {
    /// Takes over a limit that was named, or ended, at `said_ms`; by the time
    /// of day it is `now_s`.
    fn say(
        &mut self,
        limit_per_s: Option<f64>,
        said_ms: u64,
        now_ms: u64,
        now_s: f64,
    ) -> Option<NoticeNews> {
        if said_ms < self.said_ms {
            return None;
        }
        self.said_ms = said_ms;
        let before = std::mem::replace(&mut self.limit_per_s, limit_per_s);
        if before.is_none() {
            // What is on its way has used the tokens so far.
            self.used_s = now_s;
            self.untold_until_ms = now_ms + UNTOLD_MS;
        }
        match (before, limit_per_s) {
            (None, Some(_)) => Some(NoticeNews::Lower),
            (Some(_), None) => Some(NoticeNews::Higher),
            (Some(before), Some(now)) if now < before => {
                Some(NoticeNews::Lower)
            }
            (Some(before), Some(now)) if now > before => {
                Some(NoticeNews::Higher)
            }
            _ => None,
        }
    }

    /// Takes over that it wants nothing from this entry host for a while.
    fn wait(&mut self, now_ms: u64, wait_ms: u64) -> Option<NoticeNews> {
        let is_waiting = now_ms < self.waits_until_ms;
        let until_ms = now_ms.saturating_add(wait_ms);
        self.waits_until_ms = self.waits_until_ms.max(until_ms);
        let is_news = !is_waiting && wait_ms > 0;
        is_news.then_some(NoticeNews::Waits(wait_ms))
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
        let per_s = self.limit_per_s?.max(LEAST_PER_S);
        Some(Quota { start, per_s, part: part() })
    }
}
