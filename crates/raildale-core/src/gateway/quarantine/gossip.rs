//! Exchange of suspects between entry hosts, with each heartbeat.

use super::{CLEARED_RETENTION_MS, GUARDED_LOSSES, Quarantine, Suspect};
use crate::{
    fleet_message::{LossEntry, SuspectEntry},
    gateway::{fingerprint::Fingerprint, target_end::StartId},
};

/// The maximum number of suspects in one heartbeat: 1.5 KB with three losses
/// each.
const MAX_SUSPECTS_PER_HEARTBEAT: usize = 24;

/// The maximum number of them that have no losses since a target answered
/// them, if others have any.
const MAX_CLEARED_PER_HEARTBEAT: usize = 8;

/// The maximum number of losses of one suspect that are sent or stored: the
/// latest ones.
pub(super) const MAX_SENT_LOSSES: usize = 16;

impl Quarantine {
    /// Returns the suspects to send to other entry hosts: those with the most
    /// losses, and those that were answered last. They include suspects
    /// received from others, so that the information outlasts the hosts that
    /// observed the losses.
    pub fn outgoing(&self, now_ms: u64) -> Vec<SuspectEntry> {
        let lost = sorted(
            self.suspects
                .iter()
                .filter_map(|(f, s)| Some((loss_rank(*f, s)?, (f, s)))),
        );
        let cleared =
            sorted(self.suspects.iter().filter_map(|(f, s)| {
                Some((cleared_rank(now_ms, s)?, (f, s)))
            }));
        let reserved = cleared.len().min(MAX_CLEARED_PER_HEARTBEAT);
        let lost =
            lost.into_iter().take(MAX_SUSPECTS_PER_HEARTBEAT - reserved);
        lost.chain(cleared)
            .take(MAX_SUSPECTS_PER_HEARTBEAT)
            .map(|(f, s)| to_message(now_ms, *f, s))
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
        let known = self.suspect_mut(fingerprint);
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

/// Returns the values of ranked pairs, those of the highest rank first.
fn sorted<R: Ord, T>(ranked: impl Iterator<Item = (R, T)>) -> Vec<T> {
    let mut ranked: Vec<(R, T)> = ranked.collect();
    ranked.sort_by(|(one, _), (other, _)| other.cmp(one));
    ranked.into_iter().map(|(_, value)| value).collect()
}

/// The number of losses of a suspect, whether it is a part that was not
/// answered lately, and the time of the last loss.
type LossRank = (usize, bool, u64);

/// Returns the priority of sending a suspect to other entry hosts for its
/// losses; `None` if it has none but in cuts. A part that was not answered
/// lately is sent for these too, as many requests with it may run at one moment.
fn loss_rank(fingerprint: Fingerprint, suspect: &Suspect) -> Option<LossRank> {
    let losses = suspect.losses();
    let is_unanswered_part =
        fingerprint.is_part() && !suspect.was_answered_lately();
    let counted = match is_unanswered_part && losses.len() >= GUARDED_LOSSES {
        true => losses.len(),
        false => losses.iter().filter(|loss| !loss.is_cut).count(),
    };
    let rank = (counted, is_unanswered_part, suspect.last_ms());
    (counted > 0).then_some(rank)
}

/// Returns the priority of sending a suspect without such losses to other
/// entry hosts because an answer cleared it; `None` if none did recently.
fn cleared_rank(now_ms: u64, suspect: &Suspect) -> Option<u64> {
    let is_lost = suspect.losses().iter().any(|loss| !loss.is_cut);
    let cleared_ms = suspect.cleared_ms().filter(|_| !is_lost)?;
    (now_ms < cleared_ms + CLEARED_RETENTION_MS).then_some(cleared_ms)
}

fn to_message(
    now_ms: u64,
    fingerprint: Fingerprint,
    suspect: &Suspect,
) -> SuspectEntry {
    let losses = suspect.latest_losses(MAX_SENT_LOSSES);
    let losses = losses.into_iter().map(|loss| LossEntry {
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
