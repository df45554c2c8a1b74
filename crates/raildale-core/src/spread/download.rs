//! The download of one version to this host.
//!
//! Chunks that are in the data centre are pulled, rarest first, from
//! neighbours that announced them. Chunks that the data centre lacks are
//! fetched only under a tracker's grant, so that each enters a data centre
//! once. DESIGN.md compares this with one fixed owner per chunk and with
//! fixed trees.

use std::collections::{BTreeMap, VecDeque};

use rand::{Rng, RngExt, rngs::SmallRng, seq::IteratorRandom};

use crate::{
    ChunkSet, Digest, Manifest, Name,
    manifest::MAX_CHUNKS,
    message::{GrantedChunk, PeerAddress},
};

/// The limits of a download.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DownloadConfig {
    /// The maximum number of chunks requested at once. Granted chunks are
    /// requested even if it is reached.
    pub window: usize,
    /// The time after which a request for a chunk is dropped, so that the
    /// chunk can be requested elsewhere.
    pub chunk_timeout_ms: u64,
    /// The minimum interval between announcements to neighbours. A fraction
    /// of the transfer time of a chunk, which delays passing chunks on only
    /// slightly and keeps the number of messages low.
    pub announce_every_ms: u64,
    /// How long no requests are sent to a peer that was busy.
    pub busy_pause_ms: u64,
    /// The number of corrupt or late chunks after which a peer is banned.
    pub ban_faults: u32,
    /// The time without progress after which chunks are fetched from the
    /// origin without a grant.
    pub origin_fallback_ms: u64,
}

impl DownloadConfig {
    /// Creates the limits for a link of `link_bytes_per_s` and chunks of
    /// `chunk_bytes`.
    ///
    /// A chunk may wait in a queue and share the link, so its time-out is
    /// twelve times its transfer time at the full rate of the link.
    pub fn new(link_bytes_per_s: u64, chunk_bytes: u64) -> DownloadConfig {
        let chunk_ms = chunk_bytes * 1000 / link_bytes_per_s.max(1);
        DownloadConfig {
            window: 6,
            chunk_timeout_ms: (12 * chunk_ms).max(1_000),
            announce_every_ms: (chunk_ms / 4).clamp(5, 50),
            busy_pause_ms: (chunk_ms / 4).clamp(5, 1_000),
            ban_faults: 3,
            origin_fallback_ms: (40 * chunk_ms).max(4_000),
        }
    }

    /// Returns the same limits with another window.
    pub fn with_window(mut self, window: usize) -> DownloadConfig {
        self.window = window;
        self
    }
}

/// The source from which a chunk is requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The origin of weights.
    Origin,
    /// Another agent.
    Peer(Name),
}

/// An action for the agent to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DownloadAction {
    /// Request a chunk from `source`.
    Fetch {
        /// The source.
        source: Source,
        /// The address of a peer named in a grant; `None` for neighbours,
        /// which are connected already, and for the origin.
        address: Option<String>,
        /// The chunk.
        index: usize,
        /// Whether the tracker granted it.
        granted: bool,
    },
}

/// The result of checking a received chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The chunk is new and its digest matches the manifest.
    Verified {
        /// Whether the tracker granted it and expects a report.
        granted: bool,
    },
    /// The chunk was already held.
    Duplicate,
    /// The digest does not match the manifest.
    Corrupt {
        /// Whether this fault caused the sender to be banned.
        banned: bool,
    },
}

#[derive(Debug, Default)]
struct Neighbour {
    have: ChunkSet,
    is_up: bool,
    busy_until_ms: u64,
    in_flight: usize,
    faults: u32,
}

#[derive(Debug)]
struct Pending {
    source: Source,
    since_ms: u64,
    granted: bool,
}

/// The state of the download of one version.
#[derive(Debug)]
pub struct Download {
    digest: Digest,
    origin_path: String,
    config: DownloadConfig,
    manifest: Option<Manifest>,
    verified: ChunkSet,
    staged: ChunkSet,
    round: u64,
    holder_counts: Vec<u16>,
    neighbours: BTreeMap<Name, Neighbour>,
    pending: BTreeMap<usize, Pending>,
    grants: VecDeque<GrantedChunk>,
    unannounced: Vec<u32>,
    paused: bool,
    progress_ms: u64,
    joined_ms: u64,
    announced_ms: u64,
}

impl Download {
    /// Creates a download without chunks. `round` identifies the filling of
    /// the version's slot at the target.
    pub fn new(
        digest: Digest,
        origin_path: String,
        config: DownloadConfig,
        round: u64,
        now_ms: u64,
    ) -> Download {
        Download {
            digest,
            origin_path,
            config,
            manifest: None,
            verified: ChunkSet::new(),
            staged: ChunkSet::new(),
            round,
            holder_counts: vec![],
            neighbours: BTreeMap::new(),
            pending: BTreeMap::new(),
            grants: VecDeque::new(),
            unannounced: vec![],
            paused: false,
            progress_ms: now_ms,
            joined_ms: 0,
            announced_ms: 0,
        }
    }

    /// Returns the digest of the manifest.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the path of the version at the origin.
    pub fn origin_path(&self) -> &str {
        &self.origin_path
    }

    /// Returns the manifest, or `None` until it is received.
    pub fn manifest(&self) -> Option<&Manifest> {
        self.manifest.as_ref()
    }

    /// Returns the round in which the target's slot is being filled.
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Returns the chunks held, whose digests were verified.
    pub fn verified(&self) -> &ChunkSet {
        &self.verified
    }

    /// Returns whether every chunk is held and verified.
    pub fn is_whole(&self) -> bool {
        self.manifest.as_ref().is_some_and(|m| m.len() == self.verified.len())
    }

    /// Returns whether every chunk is also staged in the target's slot.
    pub fn is_staged(&self) -> bool {
        self.is_whole() && self.staged.len() == self.verified.len()
    }

    /// Returns whether the tracker is to be sent another join: frequently
    /// while the download makes no progress, rarely otherwise. The state of a
    /// tracker is soft, and a join or a view may be lost with a connection or
    /// a process.
    pub fn is_join_due(&self, now_ms: u64) -> bool {
        let is_slow = !self.is_whole() && now_ms >= self.progress_ms + 1_000;
        let every_ms = if is_slow { 2_000 } else { 10_000 };
        now_ms >= self.joined_ms + every_ms
    }

    /// Records that a join was sent to the tracker.
    pub fn record_join(&mut self, now_ms: u64) {
        self.joined_ms = now_ms;
    }

    /// Pauses or resumes requesting chunks.
    pub fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// Sets the manifest. Returns `false`, and changes nothing, if its digest
    /// is not that of this version.
    pub fn set_manifest(&mut self, manifest: Manifest) -> bool {
        if manifest.digest() != self.digest {
            return false;
        }
        self.holder_counts = vec![0; manifest.len()];
        for neighbour in self.neighbours.values() {
            for index in neighbour.have.iter() {
                if let Some(holders) = self.holder_counts.get_mut(index) {
                    *holders += 1;
                }
            }
        }
        self.manifest = Some(manifest);
        true
    }

    /// Adds a chunk that is already held as part of another version. Ignores
    /// it if `digest` is not that of the chunk `index` in the manifest.
    pub fn add_existing(&mut self, index: usize, digest: Digest) {
        if self.expects(index, digest) && self.verified.insert(index) {
            self.unannounced.push(index as u32);
        }
    }

    /// Records that the target stored a chunk in the version's own slot.
    ///
    /// # Panics
    ///
    /// Panics if the chunk is not verified.
    pub fn set_staged(&mut self, index: usize) {
        assert!(
            self.verified.contains(index),
            "invariant verified-before-staged: chunk {index} was not checked"
        );
        self.staged.insert(index);
    }

    /// Replaces the neighbours. Returns those that were removed.
    pub fn set_neighbours(&mut self, view: &[PeerAddress]) -> Vec<Name> {
        let gone: Vec<Name> = self
            .neighbours
            .keys()
            .filter(|name| view.iter().all(|peer| *peer.name != ***name))
            .cloned()
            .collect();
        for name in &gone {
            self.peer_down(name);
            self.neighbours.remove(name);
        }
        for peer in view {
            self.neighbours.entry(peer.name.as_str().into()).or_default();
        }
        gone
    }

    /// Returns the names of the neighbours.
    pub fn neighbours(&self) -> impl Iterator<Item = &Name> {
        self.neighbours.keys()
    }

    /// Returns whether `peer` is a neighbour in this spread.
    pub fn is_neighbour(&self, peer: &str) -> bool {
        self.neighbours.contains_key(peer)
    }

    /// Returns whether `peer` is a neighbour marked as connected in this
    /// spread.
    pub fn is_up(&self, peer: &str) -> bool {
        self.neighbours.get(peer).is_some_and(|neighbour| neighbour.is_up)
    }

    /// Records that a neighbour is connected.
    pub fn peer_up(&mut self, peer: &str) {
        if let Some(neighbour) = self.neighbours.get_mut(peer) {
            neighbour.is_up = true;
        }
    }

    /// Handles the loss of the connection to a peer. Chunks requested from it
    /// can be requested elsewhere. Returns those that were granted, which are
    /// to be returned to the tracker.
    pub fn peer_down(&mut self, peer: &str) -> Vec<usize> {
        let lost: Vec<usize> = self.pending_at(peer).collect();
        let returned = lost
            .iter()
            .filter(|index| self.pending[index].granted)
            .copied()
            .collect();
        for index in lost {
            self.remove_pending(index);
        }
        if let Some(neighbour) = self.neighbours.get_mut(peer) {
            neighbour.is_up = false;
            for index in neighbour.have.iter() {
                if let Some(holders) = self.holder_counts.get_mut(index) {
                    *holders -= 1;
                }
            }
            neighbour.have = ChunkSet::new();
        }
        returned
    }

    /// Records chunks that a neighbour holds. Those recorded before the
    /// manifest is received are counted when it is set.
    pub fn record_held_chunks(
        &mut self,
        peer: &str,
        bitmap: &[u8],
        indices: &[u32],
    ) {
        let Some(neighbour) = self.neighbours.get_mut(peer) else { return };
        let len = self.manifest.as_ref().map_or(MAX_CHUNKS, Manifest::len);
        let held_set = ChunkSet::from_bitmap(bitmap, len);
        let indices_held = indices.iter().map(|index| *index as usize);
        for index in
            held_set.iter().chain(indices_held).filter(|index| *index < len)
        {
            let is_new = neighbour.have.insert(index);
            if let Some(holders) =
                self.holder_counts.get_mut(index).filter(|_| is_new)
            {
                *holders += 1;
            }
        }
    }

    /// Adds chunks that the tracker granted to this host.
    pub fn add_grants(&mut self, chunks: Vec<GrantedChunk>) {
        self.grants.extend(chunks);
    }

    /// Handles a peer's refusal to send a chunk. Returns whether the chunk
    /// was granted and is to be returned to the tracker.
    pub fn on_refused(
        &mut self,
        peer: &str,
        index: usize,
        busy: bool,
        now_ms: u64,
    ) -> bool {
        let is_pending_there = matches!(
            self.pending.get(&index),
            Some(Pending { source: Source::Peer(name), .. }) if **name == *peer
        );
        if !is_pending_there {
            return false;
        }
        let granted = self.pending[&index].granted;
        self.remove_pending(index);
        if let Some(neighbour) = self.neighbours.get_mut(peer)
            && busy
        {
            neighbour.busy_until_ms = now_ms + self.config.busy_pause_ms;
        }
        granted
    }

    /// Handles a received chunk; `digest` is that of its bytes.
    pub fn on_chunk(
        &mut self,
        source: &Source,
        index: usize,
        digest: Digest,
        now_ms: u64,
    ) -> Arrival {
        let granted =
            self.pending.get(&index).is_some_and(|pending| pending.granted);
        if !self.expects(index, digest) {
            let banned = self.record_fault(source, now_ms);
            return Arrival::Corrupt { banned };
        }
        self.remove_pending(index);
        if !self.verified.insert(index) {
            return Arrival::Duplicate;
        }
        if granted || *source != Source::Origin {
            self.progress_ms = now_ms;
        }
        self.unannounced.push(index as u32);
        Arrival::Verified { granted }
    }

    /// Handles a fetch that failed or returned corrupt bytes. Returns whether
    /// the chunk was granted and is to be returned to the tracker.
    pub fn on_fetch_failed(&mut self, index: usize) -> bool {
        let granted =
            self.pending.get(&index).is_some_and(|pending| pending.granted);
        self.remove_pending(index);
        granted
    }

    /// Removes and returns the chunks verified since the last announcement.
    /// Returns none if the next announcement is not due yet.
    pub fn take_unannounced(&mut self, now_ms: u64) -> Vec<u32> {
        if now_ms < self.announced_ms + self.config.announce_every_ms {
            return vec![];
        }
        self.announced_ms = now_ms;
        std::mem::take(&mut self.unannounced)
    }

    /// Drops requests that have timed out. Returns the source and the chunk
    /// of each, and whether it was granted and is to be returned to the
    /// tracker.
    pub fn expire_requests(
        &mut self,
        now_ms: u64,
    ) -> Vec<(Source, usize, bool)> {
        let limit_ms = self.config.chunk_timeout_ms;
        let late: Vec<usize> = self
            .pending
            .iter()
            .filter(|(_, pending)| now_ms >= pending.since_ms + limit_ms)
            .map(|(index, _)| *index)
            .collect();
        let mut expired = vec![];
        for index in late {
            let source = self.pending[&index].source.clone();
            let granted = self.pending[&index].granted;
            self.record_fault(&source, now_ms);
            self.remove_pending(index);
            expired.push((source, index, granted));
        }
        expired
    }

    /// Requests granted chunks, and then fills the window with the rarest
    /// chunks that free neighbours hold.
    pub fn fill_window(
        &mut self,
        rng: &mut SmallRng,
        now_ms: u64,
    ) -> Vec<DownloadAction> {
        let mut wants = vec![];
        if self.manifest.is_none() || self.paused || self.is_whole() {
            return wants;
        }
        // A whole data centre waits for a granted chunk, so it is requested
        // even if the window is full.
        wants.extend(std::iter::from_fn(|| self.next_grant(now_ms)));
        while self.pending.len() < self.config.window {
            let Some(want) = self.next_rarest(rng, now_ms) else { break };
            wants.push(want);
        }
        wants
    }

    /// Returns chunks to fetch from the origin without a grant, if neither
    /// peers nor grants have made progress for `origin_fallback_ms`. The
    /// arrival of such chunks does not count as progress, so that an isolated
    /// host continues to fetch as many as its window allows.
    pub fn fetch_from_origin_if_stalled(
        &mut self,
        rng: &mut SmallRng,
        now_ms: u64,
    ) -> Vec<usize> {
        let is_stuck = !self.paused
            && !self.is_whole()
            && now_ms >= self.progress_ms + self.config.origin_fallback_ms;
        if !is_stuck {
            return vec![];
        }
        let free_slots = self.config.window.saturating_sub(self.pending.len());
        // Chosen at random, so that hosts that are cut off together fetch
        // different chunks and exchange them.
        let chosen: Vec<usize> = self.missing().sample(rng, free_slots);
        for index in &chosen {
            self.record_request(*index, Source::Origin, false, now_ms);
        }
        chosen
    }

    /// Returns chunks to fetch from the origin until the window is full, for
    /// the baseline that uses no peers.
    pub fn fill_window_from_origin(&mut self, now_ms: u64) -> Vec<usize> {
        if self.paused {
            return vec![];
        }
        let free_slots = self.config.window.saturating_sub(self.pending.len());
        let next: Vec<usize> = self.missing().take(free_slots).collect();
        for index in &next {
            self.record_request(*index, Source::Origin, false, now_ms);
        }
        next
    }

    /// Starts a new round: marks all chunks as not staged. Returns those to
    /// stage, with their digests.
    pub fn restage(&mut self, round: u64) -> Vec<(usize, Digest)> {
        self.round = round;
        self.staged = ChunkSet::new();
        let Some(manifest) = &self.manifest else { return vec![] };
        self.verified
            .iter()
            .map(|index| (index, manifest.chunks[index]))
            .collect()
    }

    fn next_grant(&mut self, now_ms: u64) -> Option<DownloadAction> {
        loop {
            let chunk = self.grants.pop_front()?;
            let index = chunk.index as usize;
            let len = self.manifest.as_ref()?.len();
            if index >= len
                || self.verified.contains(index)
                || self.pending.contains_key(&index)
            {
                continue;
            }
            let (source, address) = match chunk.source {
                None => (Source::Origin, None),
                Some(peer) => (
                    Source::Peer(peer.name.as_str().into()),
                    Some(peer.address),
                ),
            };
            self.record_request(index, source.clone(), true, now_ms);
            return Some(DownloadAction::Fetch {
                source,
                address,
                index,
                granted: true,
            });
        }
    }

    fn next_rarest(
        &mut self,
        rng: &mut SmallRng,
        now_ms: u64,
    ) -> Option<DownloadAction> {
        let free = self.free_neighbours(now_ms);
        let mut best: Option<(u16, u32, usize)> = None;
        for index in self.missing() {
            let rarity = self.holder_counts[index];
            if rarity == 0 || best.is_some_and(|(least, _, _)| rarity > least)
            {
                continue;
            }
            if !free.iter().any(|name| self.has(name, index)) {
                continue;
            }
            let candidate = (rarity, rng.next_u32(), index);
            if best.is_none_or(|best| candidate < best) {
                best = Some(candidate);
            }
        }
        let (_, _, index) = best?;
        let holders: Vec<&Name> =
            free.iter().filter(|name| self.has(name, index)).collect();
        let least = holders
            .iter()
            .map(|name| self.neighbours[*name].in_flight)
            .min()?;
        let least_busy: Vec<&Name> = holders
            .into_iter()
            .filter(|name| self.neighbours[*name].in_flight == least)
            .collect();
        let peer = least_busy[rng.random_range(0..least_busy.len())].clone();
        let source = Source::Peer(peer);
        self.record_request(index, source.clone(), false, now_ms);
        Some(DownloadAction::Fetch {
            source,
            address: None,
            index,
            granted: false,
        })
    }

    fn free_neighbours(&self, now_ms: u64) -> Vec<Name> {
        self.neighbours
            .iter()
            .filter(|(_, neighbour)| {
                neighbour.is_up
                    && neighbour.in_flight < 2
                    && neighbour.busy_until_ms <= now_ms
                    && neighbour.faults < self.config.ban_faults
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn missing(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.holder_counts.len()).filter(|index| {
            !self.verified.contains(*index)
                && !self.pending.contains_key(index)
        })
    }

    fn has(&self, name: &str, index: usize) -> bool {
        self.neighbours[name].have.contains(index)
    }

    fn expects(&self, index: usize, digest: Digest) -> bool {
        self.manifest
            .as_ref()
            .and_then(|manifest| manifest.chunks.get(index))
            .is_some_and(|expected| *expected == digest)
    }

    fn pending_at(&self, peer: &str) -> impl Iterator<Item = usize> + '_ {
        let peer: Name = peer.into();
        self.pending
            .iter()
            .filter(move |(_, pending)| {
                pending.source == Source::Peer(peer.clone())
            })
            .map(|(index, _)| *index)
    }

    fn record_request(
        &mut self,
        index: usize,
        source: Source,
        granted: bool,
        now_ms: u64,
    ) {
        if let Source::Peer(name) = &source
            && let Some(neighbour) = self.neighbours.get_mut(name)
        {
            neighbour.in_flight += 1;
        }
        let pending = Pending { source, since_ms: now_ms, granted };
        self.pending.insert(index, pending);
    }

    fn remove_pending(&mut self, index: usize) {
        let Some(pending) = self.pending.remove(&index) else { return };
        if let Source::Peer(name) = &pending.source
            && let Some(neighbour) = self.neighbours.get_mut(name)
        {
            neighbour.in_flight = neighbour.in_flight.saturating_sub(1);
        }
    }

    fn record_fault(&mut self, source: &Source, now_ms: u64) -> bool {
        let Source::Peer(name) = source else { return false };
        let Some(neighbour) = self.neighbours.get_mut(name) else {
            return false;
        };
        neighbour.faults += 1;
        neighbour.busy_until_ms = now_ms + self.config.chunk_timeout_ms;
        neighbour.faults == self.config.ban_faults
    }
}
