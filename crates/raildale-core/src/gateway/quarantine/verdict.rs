//! Which suspects are culprits, judged by their losses.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use super::suspect::{Loss, Suspect, count_moments};
use crate::gateway::fingerprint::Fingerprint;

/// The minimum number of losses of a culprit. Two may be chance: a broken
/// request is sent to another target at once, which may end by the same cause.
const CULPRIT_LOSSES: usize = 3;

/// The minimum number of distinct moments of a culprit's losses.
const CULPRIT_MOMENTS: usize = 2;

/// The number of distinct moments, cuts included, that makes a culprit
/// whatever else ended at them. Few requests run at each of four cuts and are
/// never answered, while ten culprits on twenty targets end nearly all of them
/// each time they are back.
const CUT_MOMENTS: usize = 4;

/// The number of losses from which a culprit may be certain, and is then not
/// tried again soon. Trials lose two more of a culprit's targets; most sound
/// requests with three losses by chance are answered at the first trial.
pub const CERTAIN_LOSSES: usize = 5;

/// How well a suspect explains its losses; the greatest explains them best.
///
/// A suspect with more losses since its last answer comes before one with
/// fewer: sound parts of a prompt are answered again and again. Of the others,
/// one that was not answered lately comes first, then a request before a part of
/// its prompt, because other requests have the part too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Strength {
    losses: usize,
    is_unanswered: bool,
    is_request: bool,
    answered_ms: Reverse<u64>,
}

impl Strength {
    /// Returns the strength of a suspect.
    pub fn of(fingerprint: Fingerprint, suspect: &Suspect) -> Strength {
        Strength {
            losses: suspect.losses().len(),
            is_unanswered: !suspect.was_answered_lately(),
            is_request: !fingerprint.is_part(),
            answered_ms: Reverse(suspect.cleared_ms().unwrap_or(0)),
        }
    }
}

/// All suspects by their fingerprints.
pub type Suspects = BTreeMap<Fingerprint, Suspect>;

/// Returns the losses of a suspect that no stronger culprit explains: one that
/// was at the same starts.
pub fn unexplained(
    suspects: &Suspects,
    culprits: &BTreeSet<Fingerprint>,
    fingerprint: Fingerprint,
    suspect: &Suspect,
) -> Vec<Loss> {
    let own = Strength::of(fingerprint, suspect);
    let stronger: Vec<&Suspect> = culprits
        .iter()
        .filter_map(|culprit| Some((*culprit, suspects.get(culprit)?)))
        .filter(|(culprit, other)| Strength::of(*culprit, other) > own)
        .map(|(_, other)| other)
        .collect();
    let is_explained =
        |loss: &&Loss| stronger.iter().any(|other| other.has_lost(loss.start));
    let losses = suspect.losses().iter();
    losses.filter(|loss| !is_explained(loss)).copied().collect()
}

/// Returns the culprits among the suspects. The strongest are found first, and
/// explain the losses of weaker ones.
pub fn culprits(suspects: &Suspects) -> BTreeSet<Fingerprint> {
    let mut candidates: Vec<(Strength, Fingerprint, &Suspect)> = suspects
        .iter()
        .filter(|(_, suspect)| suspect.losses().len() >= CULPRIT_LOSSES)
        .map(|(f, suspect)| (Strength::of(*f, suspect), *f, suspect))
        .collect();
    candidates.sort_unstable_by_key(|(strength, ..)| Reverse(*strength));
    let mut culprits = BTreeSet::new();
    for (strength, fingerprint, suspect) in candidates {
        let losses = unexplained(suspects, &culprits, fingerprint, suspect);
        if is_culprit(strength, &losses) {
            culprits.insert(fingerprint);
        }
    }
    culprits
}

/// Returns whether unexplained losses make a culprit.
///
/// A part counts the losses of many requests. If it was answered lately, it
/// needs more losses than a request, because it may lose some by chance before
/// its next answer. If it was not, [`CERTAIN_LOSSES`] make it a culprit even at
/// one moment.
fn is_culprit(strength: Strength, losses: &[Loss]) -> bool {
    let outside: Vec<Loss> =
        losses.iter().filter(|loss| !loss.is_cut).copied().collect();
    let is_often = count_moments(losses) >= CUT_MOMENTS;
    let is_certain = losses.len() >= CERTAIN_LOSSES;
    match (strength.is_request, strength.is_unanswered) {
        (false, false) => is_often && is_certain,
        (false, true) if is_certain => true,
        _ => is_often || is_alone(&outside),
    }
}

/// Returns whether losses outside of cuts make a culprit.
fn is_alone(outside: &[Loss]) -> bool {
    outside.len() >= CULPRIT_LOSSES
        && count_moments(outside) >= CULPRIT_MOMENTS
}

/// How certain it is that a culprit crashes its targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    /// It has lost many targets.
    Certain,
    /// Its losses may be due to chance, or a part's losses to one failure of
    /// power or network.
    Uncertain,
    /// Another part explains its losses as well.
    OneOfSeveral,
}

/// Returns how certain a culprit is by its unexplained losses. A sound part
/// would take sound requests along, so more is asked of a part.
pub fn certainty(
    suspects: &Suspects,
    culprits: &BTreeSet<Fingerprint>,
    fingerprint: Fingerprint,
    losses: &[Loss],
) -> Certainty {
    let is_outside = losses.iter().any(|loss| !loss.is_cut);
    let is_separate = is_outside && count_moments(losses) >= CULPRIT_MOMENTS;
    let is_request = !fingerprint.is_part();
    if !is_request && has_rival(suspects, culprits, fingerprint) {
        return Certainty::OneOfSeveral;
    }
    match losses.len() >= CERTAIN_LOSSES && (is_request || is_separate) {
        true => Certainty::Certain,
        false => Certainty::Uncertain,
    }
}

/// Returns whether another culprit explains a culprit's losses as well.
fn has_rival(
    suspects: &Suspects,
    culprits: &BTreeSet<Fingerprint>,
    fingerprint: Fingerprint,
) -> bool {
    let Some(own) = suspects.get(&fingerprint) else { return false };
    let strength = Strength::of(fingerprint, own);
    let others = culprits.iter().filter(|other| **other != fingerprint);
    others.filter_map(|other| Some((*other, suspects.get(other)?))).any(
        |(other, suspect)| {
            Strength::of(other, suspect) == strength
                && own.losses().iter().all(|l| suspect.has_lost(l.start))
        },
    )
}
