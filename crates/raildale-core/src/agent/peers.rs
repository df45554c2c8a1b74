//! The exchange of chunks and manifests between an agent and its peers.

use super::{Agent, Effect, Scheme, log_unexpected};
use crate::{
    Digest, LogEvent, Name,
    message::{
        Body, ChunkRefused, ChunkRequest, Have, ManifestBody, ManifestRequest,
        View,
    },
    spread::{
        download::{Arrival, Download, DownloadAction, Source},
        upload::{Upload, UploadAdmission},
    },
};

impl Agent {
    pub(super) fn on_view(
        &mut self,
        view: View,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(digest) = Digest::from_slice(&view.manifest) else { return };
        let Some(download) = self.downloads.get_mut(&digest) else { return };
        let gone = download.set_neighbours(&view.neighbours);
        for peer in view.neighbours {
            effects.push(Effect::Dial {
                name: peer.name.as_str().into(),
                address: peer.address,
            });
        }
        for peer in &gone {
            self.disconnect_if_unused(peer, effects);
        }
        for name in self.connected_new_neighbours(digest) {
            self.start_exchange(digest, &name, effects);
        }
        self.request_chunks(digest, now_ms, effects);
    }

    /// Returns the neighbours that are connected because of another spread
    /// and have not been contacted in this one.
    pub(super) fn connected_new_neighbours(
        &self,
        digest: Digest,
    ) -> Vec<Name> {
        let download = &self.downloads[&digest];
        download
            .neighbours()
            .filter(|name| {
                self.peers_up.contains(*name) && !download.is_up(name)
            })
            .cloned()
            .collect()
    }

    pub(super) fn on_peer_up(
        &mut self,
        name: &Name,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.peers_up.insert(name.clone());
        let digests: Vec<Digest> = self.downloads.keys().copied().collect();
        for digest in digests {
            if self.downloads[&digest].is_neighbour(name) {
                self.start_exchange(digest, name, effects);
                self.request_chunks(digest, now_ms, effects);
            }
        }
    }

    /// Starts the exchange of chunks with a connected neighbour, which may
    /// not know of this spread yet: sends the indices of all chunks held here
    /// and asks the neighbour for its own.
    pub(super) fn start_exchange(
        &mut self,
        digest: Digest,
        name: &Name,
        effects: &mut Vec<Effect>,
    ) {
        let download = self.downloads.get_mut(&digest).expect("it is listed");
        download.peer_up(name);
        if download.manifest().is_none() {
            let request = ManifestRequest { manifest: digest.to_vec() };
            let body = Body::ManifestRequest(request);
            effects.push(Effect::ToPeer(name.clone(), body));
        }
        let mut have = full_have(download);
        have.asks = true;
        effects.push(Effect::ToPeer(name.clone(), Body::Have(have)));
    }

    pub(super) fn on_peer_down(
        &mut self,
        name: &Name,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.peers_up.remove(name);
        let digests: Vec<Digest> = self.downloads.keys().copied().collect();
        for digest in digests {
            let download = self.downloads.get_mut(&digest).expect("listed");
            let failed = download.peer_down(name);
            self.report_obtained(digest, vec![], failed, effects);
            self.request_chunks(digest, now_ms, effects);
        }
    }

    pub(super) fn on_peer_left(
        &mut self,
        name: &Name,
        effects: &mut Vec<Effect>,
    ) {
        let next = self.uploads.remove_peer(name);
        self.send_uploads(next, effects);
    }

    pub(super) fn on_peer_message(
        &mut self,
        peer: Name,
        body: Body,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        match body {
            Body::Have(have) => self.on_have(&peer, have, now_ms, effects),
            Body::ChunkRequest(request) => {
                self.on_chunk_request(peer, request, effects)
            }
            Body::ChunkRefused(refused) => {
                self.on_chunk_refused(&peer, refused, now_ms, effects)
            }
            Body::ManifestRequest(request) => {
                self.on_manifest_request(peer, request, effects)
            }
            _ => log_unexpected(&peer, effects),
        }
    }

    pub(super) fn on_have(
        &mut self,
        peer: &Name,
        have: Have,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(digest) = Digest::from_slice(&have.manifest) else { return };
        if let Some(download) = self.downloads.get_mut(&digest) {
            download.record_held_chunks(peer, &have.bitmap, &have.indices);
            if have.asks {
                let body = Body::Have(full_have(download));
                effects.push(Effect::ReplyToPeer(peer.clone(), body));
            }
            self.request_chunks(digest, now_ms, effects);
        }
    }

    pub(super) fn on_manifest_request(
        &mut self,
        peer: Name,
        request: ManifestRequest,
        effects: &mut Vec<Effect>,
    ) {
        let manifest = Digest::from_slice(&request.manifest)
            .and_then(|digest| self.downloads.get(&digest))
            .and_then(|download| download.manifest());
        if let Some(manifest) = manifest {
            let body = Body::Manifest(ManifestBody {
                manifest: request.manifest,
                encoded: manifest.encode(),
            });
            effects.push(Effect::ReplyToPeer(peer, body));
        }
    }

    pub(super) fn on_chunk_request(
        &mut self,
        peer: Name,
        request: ChunkRequest,
        effects: &mut Vec<Effect>,
    ) {
        let Some(digest) = Digest::from_slice(&request.manifest) else {
            return;
        };
        let index = request.index as usize;
        let holds = self
            .downloads
            .get(&digest)
            .is_some_and(|download| download.verified().contains(index));
        let upload = Upload {
            peer: peer.clone(),
            manifest: digest,
            index,
            held: request.held,
            granted: request.granted,
        };
        let admitted = holds.then(|| self.uploads.admit(upload.clone()));
        match admitted {
            Some(UploadAdmission::Now) => self.send_uploads([upload], effects),
            Some(UploadAdmission::Waiting) => {}
            Some(UploadAdmission::Busy) | None => {
                let refused = ChunkRefused {
                    manifest: request.manifest,
                    index: request.index,
                    busy: holds,
                };
                let body = Body::ChunkRefused(refused);
                effects.push(Effect::ReplyToPeer(peer, body));
            }
        }
    }

    pub(super) fn on_chunk_refused(
        &mut self,
        peer: &Name,
        refused: ChunkRefused,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(digest) = Digest::from_slice(&refused.manifest) else {
            return;
        };
        let Some(download) = self.downloads.get_mut(&digest) else { return };
        let index = refused.index as usize;
        let give_back = download.on_refused(peer, index, refused.busy, now_ms);
        if give_back {
            let failed = vec![index];
            self.report_obtained(digest, vec![], failed, effects);
        }
        self.request_chunks(digest, now_ms, effects);
    }

    pub(super) fn on_chunk_arrived(
        &mut self,
        manifest: Digest,
        index: usize,
        source: &Source,
        digest: Option<Digest>,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(download) = self.downloads.get_mut(&manifest) else {
            effects.extend(digest.map(Effect::Discard));
            return;
        };
        let Some(digest) = digest else {
            self.on_fetch_failed(manifest, index, source, effects);
            return;
        };
        match download.on_chunk(source, index, digest, now_ms) {
            Arrival::Verified { granted } => {
                effects.push(Effect::KeepChunk(digest));
                let round = download.round();
                let stage = Effect::Stage { manifest, index, digest, round };
                effects.push(stage);
                if granted {
                    let held = vec![index];
                    self.report_obtained(manifest, held, vec![], effects);
                }
                self.announce(manifest, now_ms, effects);
                self.log_if_whole(manifest, effects);
            }
            Arrival::Duplicate => effects.push(Effect::Discard(digest)),
            Arrival::Corrupt { banned } => {
                let detail = format!("{source:?} chunk {index}");
                effects.push(Effect::Log(LogEvent::ChunkCorrupt, detail));
                effects.push(Effect::Discard(digest));
                if banned {
                    let detail = format!("{source:?}");
                    effects.push(Effect::Log(LogEvent::PeerBanned, detail));
                }
                self.return_if_granted(manifest, index, effects);
            }
        }
        self.request_chunks(manifest, now_ms, effects);
    }

    /// Handles a failed fetch. The next attempt waits for a tick, so that an
    /// unreachable origin is not queried in a tight loop.
    pub(super) fn on_fetch_failed(
        &mut self,
        manifest: Digest,
        index: usize,
        source: &Source,
        effects: &mut Vec<Effect>,
    ) {
        if *source == Source::Origin {
            let detail = format!("chunk {index}");
            effects.push(Effect::Log(LogEvent::OriginFailed, detail));
        }
        self.return_if_granted(manifest, index, effects);
    }

    pub(super) fn return_if_granted(
        &mut self,
        manifest: Digest,
        index: usize,
        effects: &mut Vec<Effect>,
    ) {
        let download = self.downloads.get_mut(&manifest);
        if download.is_some_and(|download| download.on_fetch_failed(index)) {
            self.report_obtained(manifest, vec![], vec![index], effects);
        }
    }

    pub(super) fn log_if_whole(
        &self,
        manifest: Digest,
        effects: &mut Vec<Effect>,
    ) {
        if self.downloads[&manifest].is_whole() {
            let detail = manifest.to_hex();
            effects.push(Effect::Log(LogEvent::SpreadWhole, detail));
        }
    }

    /// Requests chunks until the window is full.
    pub(super) fn request_chunks(
        &mut self,
        digest: Digest,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        if self.config.scheme == Scheme::Origin {
            return;
        }
        let Some(download) = self.downloads.get_mut(&digest) else { return };
        let held = download.verified().len() as u32;
        for want in download.fill_window(&mut self.rng, now_ms) {
            let DownloadAction::Fetch { source, address, index, granted } =
                want;
            match source {
                Source::Origin => effects.push(Effect::FetchOrigin {
                    manifest: digest,
                    origin_path: download.origin_path().to_string(),
                    index,
                }),
                Source::Peer(name) => {
                    if let Some(address) = address {
                        let name = name.clone();
                        effects.push(Effect::Dial { name, address });
                    }
                    let body = Body::ChunkRequest(ChunkRequest {
                        manifest: digest.to_vec(),
                        index: index as u32,
                        held,
                        granted,
                    });
                    effects.push(Effect::ToPeer(name, body));
                }
            }
        }
    }

    pub(super) fn send_uploads(
        &mut self,
        uploads: impl IntoIterator<Item = Upload>,
        effects: &mut Vec<Effect>,
    ) {
        for upload in uploads {
            self.send_upload(upload, effects);
        }
    }

    pub(super) fn send_upload(
        &mut self,
        upload: Upload,
        effects: &mut Vec<Effect>,
    ) {
        let Upload { peer, manifest, index, .. } = upload;
        let checked = self
            .downloads
            .get(&manifest)
            .filter(|download| download.verified().contains(index))
            .and_then(|download| download.manifest())
            .map(|contents| contents.chunks[index]);
        match checked {
            Some(digest) => effects.push(Effect::SendChunk {
                peer,
                manifest,
                index,
                digest,
            }),
            // The version was dropped while the request waited.
            None => {
                let next = self.uploads.finish(&peer, manifest, index);
                let refused = ChunkRefused {
                    manifest: manifest.to_vec(),
                    index: index as u32,
                    busy: false,
                };
                let body = Body::ChunkRefused(refused);
                effects.push(Effect::ReplyToPeer(peer, body));
                self.send_uploads(next, effects);
            }
        }
    }

    pub(super) fn announce(
        &mut self,
        digest: Digest,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let download = self.downloads.get_mut(&digest).expect("listed");
        let indices = download.take_unannounced(now_ms);
        if indices.is_empty() {
            return;
        }
        let have = Have {
            manifest: digest.to_vec(),
            bitmap: vec![],
            indices,
            asks: false,
        };
        for peer in download.neighbours() {
            let body = Body::Have(have.clone());
            effects.push(Effect::ToPeer(peer.clone(), body));
        }
    }

    pub(super) fn disconnect_if_unused(
        &self,
        peer: &Name,
        effects: &mut Vec<Effect>,
    ) {
        let is_used = self
            .downloads
            .values()
            .any(|download| download.is_neighbour(peer));
        if !is_used {
            effects.push(Effect::Disconnect(peer.clone()));
        }
    }
}

fn full_have(download: &Download) -> Have {
    Have {
        manifest: download.digest().to_vec(),
        bitmap: download.verified().to_bitmap(),
        indices: vec![],
        asks: false,
    }
}
