//! Exchange of suspects between entry hosts, with each heartbeat.

use super::{CLEARED_RETENTION_MS, Quarantine, Suspect};
use crate::{
    fleet_message::{LossEntry, SuspectEntry},
    gateway::{fingerprint::Fingerprint, target_end::StartId},
};

/// The maximum number of suspects in one heartbeat: 1.5 KB with three losses
/// each.
const MAX_SUSPECTS_PER_HEARTBEAT: usize = 24;

impl Quarantine {
    /// Returns the suspects to send to other entry hosts, those with the most
    /// losses first. They include suspects received from others, so that the
    /// information outlasts the hosts that observed the losses.
    pub fn outgoing(&self, now_ms: u64) -> Vec<SuspectEntry> {
        let mut ranked: Vec<(Rank, &Fingerprint, &Suspect)> = self
            .suspects
            .iter()
            .filter_map(|(f, s)| Some((rank(now_ms, s)?, f, s)))
            .collect();
        ranked.sort_unstable_by_key(|one| std::cmp::Reverse(one.0));
        ranked
            .into_iter()
            .take(MAX_SUSPECTS_PER_HEARTBEAT)
            .map(|(_, f, s)| to_message(now_ms, *f, s))
            .collect()
    }

    /// Merges suspects received from another entry host.
    pub fn merge_remote(&mut self, now_ms: u64, received: Vec<SuspectEntry>) {
        let mut has_changed = false;
        for suspect in received {
            has_changed |= self.merge(now_ms, suspect);
        }
        self.enforce_limit(now_ms);
        if has_changed {
            self.update_culprits();
        }
    }

    /// Merges one received suspect; returns whether anything was new.
    fn merge(&mut self, now_ms: u64, received: SuspectEntry) -> bool {
        let fingerprint =
            Fingerprint { caller: received.caller, request: received.request };
        let known = self.suspects.entry(fingerprint).or_default();
        let was_cleared = received
            .cleared_age_ms
            .is_some_and(|age_ms| known.clear(now_ms.saturating_sub(age_ms)));
        let mut has_changed = was_cleared;
        for loss in received.losses {
            let start = StartId(loss.start);
            let at_ms = now_ms.saturating_sub(loss.age_ms);
            has_changed |= known.add_loss(start, at_ms, loss.is_cut);
        }
        has_changed
    }
}

/// The number of losses of a suspect, and the time of the last one.
type Rank = (usize, u64);

/// Returns the priority of sending a suspect to other entry hosts; `None` if
/// it need not be sent because all its losses were in cuts and no answer
/// cleared it recently.
fn rank(now_ms: u64, suspect: &Suspect) -> Option<Rank> {
    let counted = suspect.losses().iter().filter(|loss| !loss.is_cut).count();
    let is_cleared = suspect
        .cleared_ms()
        .is_some_and(|ms| now_ms < ms + CLEARED_RETENTION_MS);
    let rank = (counted, suspect.last_ms());
    (counted > 0 || is_cleared).then_some(rank)
}

fn to_message(
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
