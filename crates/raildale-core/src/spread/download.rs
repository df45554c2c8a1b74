//! One version on its way to this host.
//!
//! Chunks inside the data centre are pulled, rarest first, from neighbours
//! that said they hold them. Chunks that the data centre lacks come only by a
//! tracker's grant, so that each crosses a data centre's border once. Weighed
//! against one fixed owner a chunk and against fixed trees; DESIGN.md has the
//! figures.

use std::collections::{BTreeMap, VecDeque};

use rand::{Rng, RngExt, rngs::SmallRng, seq::IteratorRandom};

use crate::{
    ChunkSet, Digest, Manifest, Name,
    manifest::MAX_CHUNKS,
    message::{GrantedChunk, PeerAddress},
};

/// Bounds of a download.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DownloadConfig {
    /// Chunks asked for at once.
    pub window: usize,
    /// A chunk that takes longer is asked for elsewhere.
    pub chunk_timeout_ms: u64,
    /// Chunks are announced to neighbours at most so often. A fraction of a
    /// chunk's time, so that passing on does not wait, and yet few messages.
    pub announce_every_ms: u64,
    /// How long a busy peer is left alone.
    pub busy_pause_ms: u64,
    /// Bad or late chunks after which a peer is left out.
    pub ban_faults: u32,
    /// Without any progress for so long, the origin is asked directly.
    pub origin_fallback_ms: u64,
}

impl DownloadConfig {
    /// Bounds for a link of `link_bytes_per_s` and chunks of `chunk_bytes`.
    ///
    /// A chunk may wait behind a queue and share the link, so it gets twelve
    /// times its bare time before it counts as stalled.
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

    /// The same with another window.
    pub fn with_window(mut self, window: usize) -> DownloadConfig {
        self.window = window;
        self
    }
}

/// Where a chunk is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The origin of weights.
    Origin,
    /// An agent.
    Peer(Name),
}

/// What a download wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DownloadAction {
    /// Ask `source` for a chunk; the address is set for a granted peer.
    Fetch {
        /// Whom to ask.
        source: Source,
        /// Where a granted peer listens.
        address: Option<String>,
        /// The chunk.
        index: usize,
        /// Whether the tracker granted it.
        granted: bool,
    },
}

/// What became of a chunk that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// Checked, and new.
    Verified {
        /// Whether the tracker granted it and waits to hear.
        granted: bool,
    },
    /// Held already.
    Duplicate,
    /// Its digest is not the manifest's.
    Corrupt {
        /// Whether its sender is left out from now on.
        banned: bool,
    },
}

#[derive(Debug, Default)]
struct Neighbour {
    have: ChunkSet,
    is_up: bool,
    busy_until_ms: u64,
    asked: usize,
    faults: u32,
}

#[derive(Debug)]
struct Pending {
    source: Source,
    since_ms: u64,
    granted: bool,
}

/// The state of one version at this host.
#[derive(Debug)]
pub struct Download {
    digest: Digest,
    origin_path: String,
    config: DownloadConfig,
    manifest: Option<Manifest>,
    verified: ChunkSet,
    staged: ChunkSet,
    round: u64,
    holders: Vec<u16>,
    neighbours: BTreeMap<Name, Neighbour>,
    pending: BTreeMap<usize, Pending>,
    grants: VecDeque<GrantedChunk>,
    fresh: Vec<u32>,
    paused: bool,
    progress_ms: u64,
    joined_ms: u64,
    announced_ms: u64,
}

impl Download {
    /// Starts from nothing; `round` is that of its slot at the target.
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
            holders: vec![],
            neighbours: BTreeMap::new(),
            pending: BTreeMap::new(),
            grants: VecDeque::new(),
            fresh: vec![],
            paused: false,
            progress_ms: now_ms,
            joined_ms: 0,
            announced_ms: 0,
        }
    }

    /// The manifest's digest.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Where the origin keeps the version.
    pub fn origin_path(&self) -> &str {
        &self.origin_path
    }

    /// The manifest, once it is here.
    pub fn manifest(&self) -> Option<&Manifest> {
        self.manifest.as_ref()
    }

    /// The round in which the target's slot is being filled.
    pub fn round(&self) -> u64 {
        self.round
    }

    /// The chunks whose digests checked.
    pub fn verified(&self) -> &ChunkSet {
        &self.verified
    }

    /// Whether every chunk's digest has checked.
    pub fn is_whole(&self) -> bool {
        self.manifest.as_ref().is_some_and(|m| m.len() == self.verified.len())
    }

    /// Whether every chunk also stands in the target's staging slot.
    pub fn is_staged(&self) -> bool {
        self.is_whole() && self.staged.len() == self.verified.len()
    }

    /// Whether the tracker is to hear again what is held: soon while nothing
    /// moves, seldom otherwise. A tracker's state is soft, and a join or a
    /// view may be lost with a connection or a process.
    pub fn is_join_due(&self, now_ms: u64) -> bool {
        let is_slow = !self.is_whole() && now_ms >= self.progress_ms + 1_000;
        let every_ms = if is_slow { 2_000 } else { 10_000 };
        now_ms >= self.joined_ms + every_ms
    }

    /// The tracker is told what is held.
    pub fn record_join(&mut self, now_ms: u64) {
        self.joined_ms = now_ms;
    }

    /// Stops or goes on asking for chunks.
    pub fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// Takes a manifest in; `false` if it is not the one wanted.
    pub fn set_manifest(&mut self, manifest: Manifest) -> bool {
        if manifest.digest() != self.digest {
            return false;
        }
        self.holders = vec![0; manifest.len()];
        for neighbour in self.neighbours.values() {
            for index in neighbour.have.iter() {
                if let Some(holders) = self.holders.get_mut(index) {
                    *holders += 1;
                }
            }
        }
        self.manifest = Some(manifest);
        true
    }

    /// A chunk is here already from another version with the same bytes.
    pub fn add_existing(&mut self, index: usize, digest: Digest) {
        if self.expects(index, digest) && self.verified.insert(index) {
            self.fresh.push(index as u32);
        }
    }

    /// The target took a chunk into the version's own slot.
    pub fn set_staged(&mut self, index: usize) {
        assert!(
            self.verified.contains(index),
            "invariant verified-before-staged: chunk {index} was not checked"
        );
        self.staged.insert(index);
    }

    /// Replaces the neighbours; returns those that are gone.
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

    /// The neighbours' names.
    pub fn neighbours(&self) -> impl Iterator<Item = &Name> {
        self.neighbours.keys()
    }

    /// Whether `peer` is a neighbour in this spread.
    pub fn is_neighbour(&self, peer: &str) -> bool {
        self.neighbours.contains_key(peer)
    }

    /// Whether the connection to a neighbour is up.
    pub fn is_up(&self, peer: &str) -> bool {
        self.neighbours.get(peer).is_some_and(|neighbour| neighbour.is_up)
    }

    /// A connection to a neighbour is up.
    pub fn peer_up(&mut self, peer: &str) {
        if let Some(neighbour) = self.neighbours.get_mut(peer) {
            neighbour.is_up = true;
        }
    }

    /// A connection is down: what was asked there is asked elsewhere, and
    /// granted chunks go back to the tracker.
    pub fn peer_down(&mut self, peer: &str) -> Vec<usize> {
        let lost: Vec<usize> = self.asked_of(peer).collect();
        let give_back = lost
            .iter()
            .filter(|index| self.pending[index].granted)
            .copied()
            .collect();
        for index in lost {
            self.forget_pending(index);
        }
        if let Some(neighbour) = self.neighbours.get_mut(peer) {
            neighbour.is_up = false;
            for index in neighbour.have.iter() {
                if let Some(holders) = self.holders.get_mut(index) {
                    *holders -= 1;
                }
            }
            neighbour.have = ChunkSet::new();
        }
        give_back
    }

    /// A neighbour says what it holds. It may say so before the manifest is
    /// here; what it holds is kept and counted then.
    pub fn record_held_chunks(
        &mut self,
        peer: &str,
        bitmap: &[u8],
        indices: &[u32],
    ) {
        let Some(neighbour) = self.neighbours.get_mut(peer) else { return };
        let len = self.manifest.as_ref().map_or(MAX_CHUNKS, Manifest::len);
        let more = ChunkSet::from_bitmap(bitmap, len);
        let single = indices.iter().map(|index| *index as usize);
        for index in more.iter().chain(single).filter(|index| *index < len) {
            let is_new = neighbour.have.insert(index);
            if let Some(holders) =
                self.holders.get_mut(index).filter(|_| is_new)
            {
                *holders += 1;
            }
        }
    }

    /// The tracker lets this host bring chunks in.
    pub fn add_grants(&mut self, chunks: Vec<GrantedChunk>) {
        self.grants.extend(chunks);
    }

    /// A peer will not send a chunk; returns whether it goes back to the
    /// tracker.
    pub fn on_refused(
        &mut self,
        peer: &str,
        index: usize,
        busy: bool,
        now_ms: u64,
    ) -> bool {
        let asked_there = matches!(
            self.pending.get(&index),
            Some(Pending { source: Source::Peer(name), .. }) if **name == *peer
        );
        if !asked_there {
            return false;
        }
        let granted = self.pending[&index].granted;
        self.forget_pending(index);
        if let Some(neighbour) = self.neighbours.get_mut(peer)
            && busy
        {
            neighbour.busy_until_ms = now_ms + self.config.busy_pause_ms;
        }
        granted
    }

    /// A chunk arrived, with the digest that its bytes have.
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
            let banned = self.blame(source, now_ms);
            return Arrival::Corrupt { banned };
        }
        self.forget_pending(index);
        if !self.verified.insert(index) {
            return Arrival::Duplicate;
        }
        if granted || *source != Source::Origin {
            self.progress_ms = now_ms;
        }
        self.fresh.push(index as u32);
        Arrival::Verified { granted }
    }

    /// A fetch failed or brought bad bytes; returns whether the chunk goes
    /// back to the tracker.
    pub fn on_fetch_failed(&mut self, index: usize) -> bool {
        let granted =
            self.pending.get(&index).is_some_and(|pending| pending.granted);
        self.forget_pending(index);
        granted
    }

    /// Takes the chunks verified since the last call, if it is time to
    /// announce them.
    pub fn take_unannounced(&mut self, now_ms: u64) -> Vec<u32> {
        if now_ms < self.announced_ms + self.config.announce_every_ms {
            return vec![];
        }
        self.announced_ms = now_ms;
        std::mem::take(&mut self.fresh)
    }

    /// Drops requests that made no progress in time; returns whom they were
    /// asked of and whether the tracker has to hear.
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
            self.blame(&source, now_ms);
            self.forget_pending(index);
            expired.push((source, index, granted));
        }
        expired
    }

    /// Fills the window: grants first, then the rarest chunk that some free
    /// neighbour holds.
    pub fn fill_window(
        &mut self,
        rng: &mut SmallRng,
        now_ms: u64,
    ) -> Vec<DownloadAction> {
        let mut wants = vec![];
        if self.manifest.is_none() || self.paused || self.is_whole() {
            return wants;
        }
        // A grant is what a whole data centre waits for: it does not wait
        // for a place in the window.
        wants.extend(std::iter::from_fn(|| self.next_grant(now_ms)));
        while self.pending.len() < self.config.window {
            let Some(want) = self.next_rarest(rng, now_ms) else { break };
            wants.push(want);
        }
        wants
    }

    /// Chunks to take from the origin without a grant, when peers and the
    /// tracker have moved nothing for long. Their arrival does not count as
    /// a move, so that a host on its own goes on at its window's pace.
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
        let room = self.config.window.saturating_sub(self.pending.len());
        // At random, so that hosts cut off together bring in different
        // chunks and pass them on to one another.
        let chosen: Vec<usize> = self.missing().sample(rng, room);
        for index in &chosen {
            self.ask(*index, Source::Origin, false, now_ms);
        }
        chosen
    }

    /// Fills the window from the origin alone: the baseline.
    pub fn fill_window_from_origin(&mut self, now_ms: u64) -> Vec<usize> {
        if self.paused {
            return vec![];
        }
        let room = self.config.window.saturating_sub(self.pending.len());
        let next: Vec<usize> = self.missing().take(room).collect();
        for index in &next {
            self.ask(*index, Source::Origin, false, now_ms);
        }
        next
    }

    /// Forgets what the target took; returns the chunks to hand it again.
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
            self.ask(index, source.clone(), true, now_ms);
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
            let rarity = self.holders[index];
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
        let least =
            holders.iter().map(|name| self.neighbours[*name].asked).min()?;
        let idle: Vec<&Name> = holders
            .into_iter()
            .filter(|name| self.neighbours[*name].asked == least)
            .collect();
        let peer = idle[rng.random_range(0..idle.len())].clone();
        let source = Source::Peer(peer);
        self.ask(index, source.clone(), false, now_ms);
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
                    && neighbour.asked < 2
                    && neighbour.busy_until_ms <= now_ms
                    && neighbour.faults < self.config.ban_faults
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn missing(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.holders.len()).filter(|index| {
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

    fn asked_of(&self, peer: &str) -> impl Iterator<Item = usize> + '_ {
        let peer: Name = peer.into();
        self.pending
            .iter()
            .filter(move |(_, pending)| {
                pending.source == Source::Peer(peer.clone())
            })
            .map(|(index, _)| *index)
    }

    fn ask(
        &mut self,
        index: usize,
        source: Source,
        granted: bool,
        now_ms: u64,
    ) {
        if let Source::Peer(name) = &source
            && let Some(neighbour) = self.neighbours.get_mut(name)
        {
            neighbour.asked += 1;
        }
        let pending = Pending { source, since_ms: now_ms, granted };
        self.pending.insert(index, pending);
    }

    fn forget_pending(&mut self, index: usize) {
        let Some(pending) = self.pending.remove(&index) else { return };
        if let Source::Peer(name) = &pending.source
            && let Some(neighbour) = self.neighbours.get_mut(name)
        {
            neighbour.asked = neighbour.asked.saturating_sub(1);
        }
    }

    fn blame(&mut self, source: &Source, now_ms: u64) -> bool {
        let Source::Peer(name) = source else { return false };
        let Some(neighbour) = self.neighbours.get_mut(name) else {
            return false;
        };
        neighbour.faults += 1;
        neighbour.busy_until_ms = now_ms + self.config.chunk_timeout_ms;
        neighbour.faults == self.config.ban_faults
    }
}
