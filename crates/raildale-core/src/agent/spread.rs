//! The versions that an agent downloads, and its communication with the
//! trackers.

use std::collections::BTreeSet;

use super::{Agent, Effect, Scheme, target::ModelState};
use crate::{
    Digest, LogEvent, Manifest,
    message::{Body, Grant, Join, LeaveSpread, Obtained},
    settings::tree::Wanted,
    spread::{
        download::{Download, DownloadConfig},
        tracker::tracker_owner,
    },
};

impl Agent {
    /// Starts, pauses and drops downloads as the settings in force demand.
    pub(super) fn follow_settings(
        &mut self,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        if !self.may_act(now_ms) {
            return;
        }
        let wanted = self.tree.wanted(&self.config.pool);
        self.models.retain(|name, _| {
            wanted.iter().any(|wanted| wanted.model == *name)
        });
        for wanted in wanted {
            self.update_model(wanted, now_ms, effects);
        }
        self.drop_unneeded(effects);
        self.choose_trackers(now_ms, effects);
        self.activate_staged(effects);
    }

    pub(super) fn update_model(
        &mut self,
        wanted: Wanted,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let serves = self.served_by_target.iter().flatten();
        let state = self
            .models
            .entry(wanted.model)
            .or_insert_with_key(|model| ModelState::adopt(model, serves));
        state.set_wanted(wanted.manifest);
        let Some(digest) = wanted.manifest else { return };
        let is_served = state.serves(digest);
        if let Some(download) = self.downloads.get_mut(&digest) {
            download.set_paused(wanted.paused);
            return;
        }
        if is_served {
            return;
        }
        let config = DownloadConfig::new(
            self.config.link_bytes_per_s,
            self.config.chunk_bytes,
        )
        .with_window(self.config.window);
        self.last_round += 1;
        let round = self.last_round;
        let path = wanted.origin_path;
        let mut download = Download::new(digest, path, config, round, now_ms);
        download.set_paused(wanted.paused);
        self.downloads.insert(digest, download);
        effects.push(Effect::Log(LogEvent::SpreadJoined, digest.to_hex()));
    }

    /// Drops the downloads that are no longer needed. A version that was
    /// replaced during its download is kept until the manifest of its
    /// successor arrives, so that identical chunks are reused.
    pub(super) fn drop_unneeded(&mut self, effects: &mut Vec<Effect>) {
        let is_awaiting_manifest =
            self.downloads.iter().any(|(digest, download)| {
                download.manifest().is_none() && self.is_needed(*digest)
            });
        if is_awaiting_manifest {
            return;
        }
        let unneeded: Vec<Digest> = self
            .downloads
            .keys()
            .filter(|digest| !self.is_needed(**digest))
            .copied()
            .collect();
        for digest in unneeded {
            self.drop_download(digest, effects);
        }
    }

    pub(super) fn is_needed(&self, digest: Digest) -> bool {
        self.models.values().any(|model| model.needs(digest))
    }

    pub(super) fn drop_download(
        &mut self,
        digest: Digest,
        effects: &mut Vec<Effect>,
    ) {
        let Some(download) = self.downloads.remove(&digest) else { return };
        if let Some(tracker) = self.trackers.remove(&digest) {
            let part =
                Body::LeaveSpread(LeaveSpread { manifest: digest.to_vec() });
            effects.push(Effect::ToEntry(tracker, part));
        }
        let kept: BTreeSet<Digest> =
            self.downloads.values().flat_map(verified_digests).collect();
        for chunk in verified_digests(&download) {
            if !kept.contains(&chunk) {
                effects.push(Effect::DropChunk(chunk));
            }
        }
        for peer in download.neighbours() {
            self.disconnect_if_unused(peer, effects);
        }
        effects.push(Effect::Log(LogEvent::SpreadDropped, digest.to_hex()));
    }

    /// Joins each spread at the entry host that owns its tracker, if the
    /// spread is new, the owner changed, or a repeated join is due.
    pub(super) fn choose_trackers(
        &mut self,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        if !self.may_act(now_ms) {
            return;
        }
        let digests: Vec<Digest> = self.downloads.keys().copied().collect();
        for digest in digests {
            let Some(owner) = tracker_owner(&digest, self.entries.keys())
            else {
                continue;
            };
            let owner = owner.clone();
            let is_same = self.trackers.get(&digest) == Some(&owner);
            let download = self.downloads.get_mut(&digest).expect("listed");
            if is_same && !download.is_join_due(now_ms) {
                continue;
            }
            download.record_join(now_ms);
            let before = self.trackers.insert(digest, owner.clone());
            if let Some(before) = before.filter(|_| !is_same) {
                let part = Body::LeaveSpread(LeaveSpread {
                    manifest: digest.to_vec(),
                });
                effects.push(Effect::ToEntry(before, part));
                let detail = owner.to_string();
                effects.push(Effect::Log(LogEvent::TrackerMoved, detail));
            }
            let join = Body::Join(join_message(&self.downloads[&digest]));
            effects.push(Effect::ToEntry(owner, join));
        }
    }

    pub(super) fn on_manifest_arrived(
        &mut self,
        manifest: Manifest,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let digest = manifest.digest();
        let is_new = self
            .downloads
            .get(&digest)
            .is_some_and(|download| download.manifest().is_none());
        if !is_new {
            return;
        }
        let available: BTreeSet<Digest> =
            self.downloads.values().flat_map(verified_digests).collect();
        let Some(download) = self.downloads.get_mut(&digest) else { return };
        let chunks = manifest.chunks.clone();
        download.set_manifest(manifest);
        let mut kept = vec![];
        for (index, chunk) in chunks.into_iter().enumerate() {
            if available.contains(&chunk) {
                download.add_existing(index, chunk);
                kept.push(index);
                effects.push(Effect::Stage {
                    manifest: digest,
                    index,
                    digest: chunk,
                    round: download.round(),
                });
            }
        }
        self.report_obtained(digest, kept, vec![], effects);
        self.drop_unneeded(effects);
        self.request_chunks(digest, now_ms, effects);
    }

    pub(super) fn on_grant(
        &mut self,
        grant: Grant,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(digest) = Digest::from_slice(&grant.manifest) else { return };
        if let Some(download) = self.downloads.get_mut(&digest) {
            download.add_grants(grant.chunks);
            self.request_chunks(digest, now_ms, effects);
        }
    }

    pub(super) fn report_obtained(
        &self,
        manifest: Digest,
        held: Vec<usize>,
        failed: Vec<usize>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(tracker) = self.trackers.get(&manifest) else { return };
        if held.is_empty() && failed.is_empty() {
            return;
        }
        let obtained = Obtained {
            manifest: manifest.to_vec(),
            held: held.into_iter().map(|index| index as u32).collect(),
            failed: failed.into_iter().map(|index| index as u32).collect(),
        };
        let body = Body::Obtained(obtained);
        effects.push(Effect::ToEntry(tracker.clone(), body));
    }

    pub(super) fn spread_tick(
        &mut self,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let digests: Vec<Digest> = self.downloads.keys().copied().collect();
        for digest in digests {
            self.expire_requests(digest, now_ms, effects);
            self.announce(digest, now_ms, effects);
            match self.config.scheme {
                Scheme::Swarm => self.request_chunks(digest, now_ms, effects),
                Scheme::Origin => {
                    self.request_chunks_from_origin(digest, now_ms, effects)
                }
            }
            self.fall_back_to_origin(digest, now_ms, effects);
        }
    }

    pub(super) fn expire_requests(
        &mut self,
        digest: Digest,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let download = self.downloads.get_mut(&digest).expect("listed");
        let expired = download.expire_requests(now_ms);
        for (source, index, granted) in expired {
            let detail = format!("{source:?} chunk {index}");
            effects.push(Effect::Log(LogEvent::ChunkLate, detail));
            if granted {
                self.report_obtained(digest, vec![], vec![index], effects);
            }
        }
    }

    pub(super) fn request_chunks_from_origin(
        &mut self,
        digest: Digest,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let download = self.downloads.get_mut(&digest).expect("listed");
        for index in download.fill_window_from_origin(now_ms) {
            effects.push(Effect::FetchOrigin {
                manifest: digest,
                origin_path: download.origin_path().to_string(),
                index,
            });
        }
    }

    pub(super) fn fall_back_to_origin(
        &mut self,
        digest: Digest,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let download = self.downloads.get_mut(&digest).expect("listed");
        for index in
            download.fetch_from_origin_if_stalled(&mut self.rng, now_ms)
        {
            let detail = format!("chunk {index}");
            effects.push(Effect::Log(LogEvent::OriginDirect, detail));
            effects.push(Effect::FetchOrigin {
                manifest: digest,
                origin_path: download.origin_path().to_string(),
                index,
            });
        }
    }
}

fn verified_digests(download: &Download) -> impl Iterator<Item = Digest> + '_ {
    let chunks = download.manifest().map_or(&[][..], |m| &m.chunks);
    download.verified().iter().map(|index| chunks[index])
}

fn join_message(download: &Download) -> Join {
    Join {
        manifest: download.digest().to_vec(),
        origin_path: download.origin_path().to_string(),
        have: download.verified().to_bitmap(),
        wants_manifest: download.manifest().is_none(),
    }
}
