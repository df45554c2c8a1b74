//! What entry hosts tell one another of suspects, with each heartbeat.

use super::{CLEARED_KEPT_MS, Quarantine, Suspect};
use crate::{
    fleet_message::{LossEntry, SuspectEntry},
    gateway::{ends::StartId, fingerprint::Fingerprint},
};

/// Suspects in one heartbeat at most: 1.5 KB with three losses each.
const TOLD_MOST: usize = 24;

impl Quarantine {
    /// What others are to know, the weightiest first: all that is known here,
    /// from whomever, so that it outlasts those who saw it.
    pub fn told(&self, now_ms: u64) -> Vec<SuspectEntry> {
        let mut ranked: Vec<(Rank, &Fingerprint, &Suspect)> = self
            .suspects
            .iter()
            .filter_map(|(f, s)| Some((rank(now_ms, s)?, f, s)))
            .collect();
        ranked.sort_unstable_by_key(|one| std::cmp::Reverse(one.0));
        ranked
            .into_iter()
            .take(TOLD_MOST)
            .map(|(_, f, s)| tell(now_ms, *f, s))
            .collect()
    }

    /// Takes in what another entry host tells.
    pub fn take_told(&mut self, now_ms: u64, told: Vec<SuspectEntry>) {
        let mut is_news = false;
        for suspect in told {
            is_news |= self.merge(now_ms, suspect);
        }
        self.make_room(now_ms);
        if is_news {
            self.settle();
        }
    }

    /// Merges what is told of one suspect; says whether any of it is news.
    fn merge(&mut self, now_ms: u64, told: SuspectEntry) -> bool {
        let fingerprint =
            Fingerprint { caller: told.caller, request: told.request };
        let known = self.suspects.entry(fingerprint).or_default();
        let cleared = told
            .cleared_age_ms
            .is_some_and(|age_ms| known.clear(now_ms.saturating_sub(age_ms)));
        let mut is_news = cleared;
        for loss in told.losses {
            let start = StartId(loss.start);
            let at_ms = now_ms.saturating_sub(loss.age_ms);
            is_news |= known.lose(start, at_ms, loss.is_cut);
        }
        is_news
    }
}

/// How many losses a suspect has, and when it lost the last.
type Rank = (usize, u64);

/// How much others need to know of a suspect; `None` if they need not: it has
/// lost targets in cuts alone, and none has answered it just now.
fn rank(now_ms: u64, suspect: &Suspect) -> Option<Rank> {
    let counted = suspect.losses().iter().filter(|loss| !loss.is_cut).count();
    let is_cleared =
        suspect.cleared_ms().is_some_and(|ms| now_ms < ms + CLEARED_KEPT_MS);
    let rank = (counted, suspect.last_ms());
    (counted > 0 || is_cleared).then_some(rank)
}

fn tell(
    now_ms: u64,
    fingerprint: Fingerprint,
    suspect: &Suspect,
) -> SuspectEntry {
    let losses = suspect.losses().iter().map(|loss| LossEntry {
        start: loss.start.0,
        age_ms: now_ms.saturating_sub(loss.at_ms),
        is_cut: loss.is_cut,
    });
    SuspectEntry {
        caller: fingerprint.caller,
        request: fingerprint.request,
        losses: losses.collect(),
        cleared_age_ms: suspect
            .cleared_ms()
            .map(|ms| now_ms.saturating_sub(ms)),
    }
}
