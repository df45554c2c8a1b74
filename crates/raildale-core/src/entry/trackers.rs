//! The spreads that this entry host tracks.

use super::{Effect, Entry, log_misplaced_frame};
use crate::{
    Digest, LogEvent, Manifest, Name,
    message::{Body, Grant, Join, LeaveSpread, ManifestBody, Obtained, View},
    settings::tree::Favour,
    spread::tracker::{Tracker, TrackerMessage},
};

/// How long to wait before a manifest is requested from the origin again.
const MANIFEST_RETRY_MS: u64 = 1_000;

/// A spread, its manifest once it is read, and the agents that wait for it.
#[derive(Debug)]
pub(super) struct Spread {
    tracker: Tracker,
    origin_path: String,
    manifest: Option<Vec<u8>>,
    manifest_requested_ms: u64,
    manifest_waiters: Vec<Name>,
}

impl Entry {
    pub(super) fn on_join(
        &mut self,
        agent: Name,
        join: Join,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(digest) = Digest::from_slice(&join.manifest) else {
            return log_misplaced_frame(&agent, effects);
        };
        let Some(identity) = self.agents.get(&agent) else { return };
        let data_centre: Name = identity.data_centre.as_str().into();
        let favour = self.favour_of(digest);
        let config = &self.config.tracker;
        let spread = self.spreads.entry(digest).or_insert_with(|| {
            let tracker = Tracker::new(config.clone(), now_ms);
            Spread {
                tracker,
                origin_path: join.origin_path,
                manifest: None,
                manifest_requested_ms: 0,
                manifest_waiters: vec![],
            }
        });
        spread.tracker.set_favour(favour);
        let address = &identity.address;
        spread.tracker.join(&agent, &data_centre, address, &join.have);
        if join.wants_manifest {
            spread.manifest_waiters.push(agent);
        }
        spread.send_manifest_to_waiters(digest, effects);
        self.send_plan(digest, now_ms, effects);
    }

    /// Returns the `favour` rule of the models that want the version with
    /// this manifest digest: [`Favour::Time`] if all of them set it,
    /// [`Favour::OriginBytes`] otherwise.
    fn favour_of(&self, digest: Digest) -> Favour {
        let hex = digest.to_hex();
        let mut favours = vec![];
        for (organisation, entry) in &self.tree.organisations {
            for (name, model) in &entry.models {
                let wants = model
                    .version
                    .as_ref()
                    .and_then(|version| model.versions.get(version))
                    .is_some_and(|version| version.manifest == hex);
                if wants {
                    let path = format!("{organisation}/{name}");
                    favours.extend(self.tree.effective(&path));
                }
            }
        }
        let wants_time = !favours.is_empty()
            && favours.iter().all(|rules| rules.favour.value == Favour::Time);
        if wants_time { Favour::Time } else { Favour::OriginBytes }
    }

    pub(super) fn on_leave_spread(
        &mut self,
        agent: &Name,
        part: LeaveSpread,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(digest) = Digest::from_slice(&part.manifest) else { return };
        self.leave_spread(digest, agent, now_ms, effects);
    }

    pub(super) fn leave_spreads(
        &mut self,
        agent: &Name,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let digests: Vec<Digest> = self.spreads.keys().copied().collect();
        for digest in digests {
            self.leave_spread(digest, agent, now_ms, effects);
        }
    }

    fn leave_spread(
        &mut self,
        digest: Digest,
        agent: &Name,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(spread) = self.spreads.get_mut(&digest) else { return };
        spread.tracker.leave(agent);
        spread.manifest_waiters.retain(|name| name != agent);
        if spread.tracker.is_empty() {
            self.spreads.remove(&digest);
        } else {
            self.send_plan(digest, now_ms, effects);
        }
    }

    pub(super) fn on_obtained(
        &mut self,
        agent: &Name,
        obtained: Obtained,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(digest) = Digest::from_slice(&obtained.manifest) else {
            return log_misplaced_frame(agent, effects);
        };
        if let Some(spread) = self.spreads.get_mut(&digest) {
            let Obtained { held, failed, .. } = obtained;
            spread.tracker.record_obtained(agent, &held, &failed);
            self.send_plan(digest, now_ms, effects);
        }
    }

    pub(super) fn on_manifest_read(
        &mut self,
        digest: Digest,
        manifest: Option<Manifest>,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(spread) = self.spreads.get_mut(&digest) else { return };
        let Some(manifest) = manifest else {
            let detail = digest.to_hex();
            effects.push(Effect::Log(LogEvent::OriginFailed, detail));
            return;
        };
        if manifest.digest() != digest {
            let detail = digest.to_hex();
            effects.push(Effect::Log(LogEvent::ManifestMismatch, detail));
            return;
        }
        spread.tracker.set_chunks(manifest.len());
        spread.manifest = Some(manifest.encode());
        spread.send_manifest_to_waiters(digest, effects);
        self.send_plan(digest, now_ms, effects);
    }

    pub(super) fn tick_trackers(
        &mut self,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let digests: Vec<Digest> = self.spreads.keys().copied().collect();
        for digest in digests {
            let spread = self.spreads.get_mut(&digest).expect("listed");
            spread.request_manifest(digest, now_ms, effects);
            self.send_plan(digest, now_ms, effects);
        }
    }

    fn send_plan(
        &mut self,
        digest: Digest,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(spread) = self.spreads.get_mut(&digest) else { return };
        for message in spread.tracker.plan(now_ms) {
            let manifest = digest.to_vec();
            let body = match message.message {
                TrackerMessage::Grant(chunk) => {
                    Body::Grant(Grant { manifest, chunks: vec![chunk] })
                }
                TrackerMessage::View(neighbours) => {
                    Body::View(View { manifest, neighbours })
                }
            };
            effects.push(Effect::ToAgent(message.member, body));
        }
    }
}

impl Spread {
    fn request_manifest(
        &mut self,
        digest: Digest,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let is_due = self.manifest.is_none()
            && now_ms >= self.manifest_requested_ms + MANIFEST_RETRY_MS;
        if is_due {
            self.manifest_requested_ms = now_ms;
            let origin_path = self.origin_path.clone();
            effects.push(Effect::ReadManifest { digest, origin_path });
        }
    }

    fn send_manifest_to_waiters(
        &mut self,
        digest: Digest,
        effects: &mut Vec<Effect>,
    ) {
        let Some(encoded) = &self.manifest else { return };
        for agent in self.manifest_waiters.drain(..) {
            let body = Body::Manifest(ManifestBody {
                manifest: digest.to_vec(),
                encoded: encoded.clone(),
            });
            effects.push(Effect::ToAgent(agent, body));
        }
    }
}
