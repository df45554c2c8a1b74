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
    /// work. `sent_version` is the version that the target was believed to
    /// serve when the request was sent.
    pub fn is_too_old(
        &self,
        now_ms: u64,
        request: &Admission,
        target: &str,
        sent_version: Option<u64>,
    ) -> bool {
        let Some(model) = &request.model else { return false };
        let min_version =
            self.versions.min_version(now_ms, model, WITHDRAW_MARGIN_MS);
        let version = self.latest_version(now_ms, target, sent_version);
        version.is_some_and(|version| version < min_version)
    }

    /// Returns the version on which a request starts at a target to which it
    /// was sent at `sent_version`; `None` if it starts on none. A start of a
    /// target never goes back to an older version, so that what it served
    /// holds while nothing newer is known.
    fn latest_version(
        &self,
        now_ms: u64,
        target: &str,
        sent_version: Option<u64>,
    ) -> Option<u64> {
        let known = self.targets.get(target);
        if let Some(report) = known.and_then(|known| known.report(now_ms)) {
            let version = report.serves_version;
            return (version > 0).then_some(version);
        }
        let listed = known.and_then(|known| known.spec.serves_version);
        listed.max(sent_version)
    }
}
