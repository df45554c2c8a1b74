//! Staging of chunks at the target, activation orders, and the comparison of
//! what the target serves with them.

use super::{Agent, Effect, Fence};
use crate::{
    Digest, LogEvent, Manifest, Name,
    message::{Progress, Served},
    spread::download::Download,
};

/// The wanted and the served version of one model.
#[derive(Debug, Default)]
pub(super) struct ModelState {
    wanted: Option<Digest>,
    active: Option<Digest>,
    ordered: Option<Digest>,
    is_plain: bool,
}

impl ModelState {
    /// Creates the state with the version that an earlier incarnation of the
    /// agent activated, if any. That version was complete when it was
    /// activated, so a restart of the agent takes nothing out of service and
    /// fetches nothing again.
    pub(super) fn adopt<'a>(
        model: &Name,
        mut serves: impl Iterator<Item = &'a (Name, Digest)>,
    ) -> ModelState {
        let active = serves.find(|(name, _)| name == model);
        let active = active.map(|(_, digest)| *digest);
        ModelState { active, ..ModelState::default() }
    }

    /// Sets the version to serve; `None` for a plain service.
    pub(super) fn set_wanted(&mut self, manifest: Option<Digest>) {
        self.wanted = manifest;
        self.is_plain = manifest.is_none();
    }

    pub(super) fn serves(&self, manifest: Digest) -> bool {
        self.active == Some(manifest)
    }

    pub(super) fn is_ready(&self) -> bool {
        self.is_plain || self.active.is_some()
    }

    pub(super) fn is_plain(&self) -> bool {
        self.is_plain
    }

    pub(super) fn needs(&self, digest: Digest) -> bool {
        [self.wanted, self.active, self.ordered].contains(&Some(digest))
    }
}

impl Agent {
    pub(super) fn on_staged(
        &mut self,
        manifest: Digest,
        index: usize,
        round: u64,
        stored: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(download) = self.downloads.get_mut(&manifest) else { return };
        let Some(contents) = download.manifest() else { return };
        let digest = contents.chunks[index];
        if round != download.round() {
            return;
        }
        if !stored {
            effects.push(Effect::Stage { manifest, index, digest, round });
            return;
        }
        download.set_staged(index);
        self.activate_staged(effects);
    }

    /// Orders the target to serve each wanted version whose chunks are all
    /// staged. At most one order per model is in flight: a target that does
    /// not check fences could otherwise carry out two in either order.
    pub(super) fn activate_staged(&mut self, effects: &mut Vec<Effect>) {
        let fence = Fence {
            revision: self.revision.in_force(),
            incarnation: self.config.incarnation,
        };
        for (model, state) in &mut self.models {
            let Some(wanted) = state.wanted else { continue };
            if state.active == Some(wanted) || state.ordered.is_some() {
                continue;
            }
            let Some(download) = self.downloads.get(&wanted) else { continue };
            if !download.is_staged() {
                continue;
            }
            assert_whole(download);
            state.ordered = Some(wanted);
            self.order_events += 1;
            effects.push(Effect::Activate {
                model: model.clone(),
                manifest: wanted,
                fence,
            });
        }
    }

    pub(super) fn on_activated(
        &mut self,
        model: &Name,
        manifest: Digest,
        activated: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(state) = self.models.get_mut(model) else { return };
        state.ordered = None;
        self.order_events += 1;
        if activated {
            state.active = Some(manifest);
            let detail = format!("{model} {}", manifest.to_hex());
            effects.push(Effect::Log(LogEvent::Activated, detail));
            self.reported_ms = 0;
        } else {
            let detail = model.to_string();
            effects.push(Effect::Log(LogEvent::ActivationFailed, detail));
        }
        self.drop_unneeded(effects);
    }

    /// Compares what the target serves with what was ordered. If they differ,
    /// because the target restarted or carried out an order of an earlier
    /// incarnation of this agent, the wanted version is staged again.
    pub(super) fn on_target_serves(
        &mut self,
        serves: Vec<(Name, Digest)>,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        // If an order was given or answered since the query, the answer may
        // predate it.
        if self.order_events_at_check.take() != Some(self.order_events) {
            return;
        }
        let mut restage = vec![];
        for (model, state) in &mut self.models {
            if state.ordered.is_some() || state.is_plain {
                continue;
            }
            let actual = serves
                .iter()
                .find(|(name, _)| name == model)
                .map(|(_, digest)| *digest);
            if state.active.is_some() && state.active != actual {
                state.active = None;
                restage.extend(state.wanted);
            }
        }
        for digest in restage {
            let Some(download) = self.downloads.get_mut(&digest) else {
                continue;
            };
            self.last_round += 1;
            let round = self.last_round;
            for (index, chunk) in download.restage(round) {
                effects.push(Effect::Stage {
                    manifest: digest,
                    index,
                    digest: chunk,
                    round,
                });
            }
        }
        self.served_by_target = Some(serves);
        self.follow_settings(now_ms, effects);
    }

    pub(super) fn served(&self) -> Vec<Served> {
        self.models
            .iter()
            .filter(|(_, state)| state.is_ready())
            .map(|(model, state)| Served {
                model: model.to_string(),
                manifest: state.active.map_or(vec![], Digest::to_vec),
            })
            .collect()
    }

    pub(super) fn progress(&self) -> Vec<Progress> {
        self.downloads
            .values()
            .map(|download| Progress {
                manifest: download.digest().to_vec(),
                verified: download.verified().len() as u32,
                total: download.manifest().map_or(0, Manifest::len) as u32,
            })
            .collect()
    }
}

/// Asserts the invariant *whole-before-serve* for a download whose chunks are
/// all staged: its manifest is the ordered one, and every chunk was verified.
/// The slot belongs to this manifest alone.
fn assert_whole(download: &Download) {
    let manifest = download.manifest().expect("a staged version has one");
    assert_eq!(
        manifest.digest(),
        download.digest(),
        "invariant whole-before-serve: another version's manifest"
    );
    for index in 0..manifest.len() {
        assert!(
            download.verified().contains(index),
            "invariant whole-before-serve: chunk {index} is not checked"
        );
    }
}
