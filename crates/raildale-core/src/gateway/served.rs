//! Which version a target is believed to serve, and for how long work may start
//! on it.

use super::{admission::Gateway, request::Admission};

/// The version that a target is believed to serve, and the bound on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServedVersion {
    /// Its number.
    pub version: u64,
    /// Milliseconds until nothing may start on it any more; `None` while no
    /// newer version is known.
    pub bound_left_ms: Option<u64>,
}

/// A request that has not begun at a target with an older version is withdrawn
/// this many milliseconds before that version's bound.
const WITHDRAW_MARGIN_MS: u64 = 700;

impl Gateway {
    /// Returns which version of a model a target is believed to serve; `None`
    /// if it is not known or the model has no weights.
    pub fn served_version(
        &self,
        now_ms: u64,
        model: Option<&str>,
        target: &str,
    ) -> Option<ServedVersion> {
        let target = self.targets.get(target)?;
        let version = target.serves_version(now_ms)?;
        let bounds = model.map(|model| self.versions.bounds(now_ms, model));
        let bounds = bounds.unwrap_or_default();
        let newer = bounds.iter().filter(|bound| bound.version > version);
        let bound_left_ms = newer.map(|bound| bound.left_ms).min();
        Some(ServedVersion { version, bound_left_ms })
    }

    /// Returns whether a request that has not begun at a target must be
    /// withdrawn because the version there is about to become too old to start
    /// work.
    pub fn is_too_old(
        &self,
        now_ms: u64,
        request: &Admission,
        target: &str,
    ) -> bool {
        let Some(model) = &request.model else { return false };
        let min_version =
            self.versions.min_version(now_ms, model, WITHDRAW_MARGIN_MS);
        let serves = self
            .targets
            .get(target)
            .and_then(|known| known.serves_version(now_ms));
        serves.is_some_and(|version| version < min_version)
    }
}
