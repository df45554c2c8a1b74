//! Identity of a target's start, and the end of a start.

use super::{fingerprint::first_eight, target::TargetSpec};
use crate::Name;

/// Identifies one start of a target, which may start again under its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StartId(pub u64);

impl StartId {
    /// Returns the id of the start that a list entry describes.
    pub fn of(spec: &TargetSpec) -> StartId {
        let born_ms = spec.born_ms.unwrap_or(0);
        let mut hasher = blake3::Hasher::new();
        hasher.update(&born_ms.to_le_bytes());
        hasher.update(spec.id.as_bytes());
        StartId(first_eight(&hasher.finalize()))
    }
}

/// The evidence that a start has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndSign {
    /// The agent beside the target gets no answer from it.
    Unanswered,
    /// Another start has its address.
    Replaced,
}

/// A start that has ended or no longer answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEnd {
    /// The target's name.
    pub target: Name,
    /// Its service.
    pub service: Name,
    /// The start that ended.
    pub start: StartId,
    /// When the end was observed, on the process's clock; `None` if the
    /// evidence does not tell.
    pub at_ms: Option<u64>,
    /// The evidence for the end.
    pub sign: EndSign,
    /// The number of requests that this process had in flight there.
    pub in_flight: u32,
}
