//! The tracker of one spread, soft state on the entry host that owns it.
//!
//! It grants: each chunk leaves the origin once, and enters each further data
//! centre once. It does not plan transfers inside a data centre, because at
//! 1,600 hosts and 4,000 chunks that would be 6.4 million decisions a burst
//! on one process; grants are one a chunk and data centre. When the owner
//! dies, another entry host rebuilds this state from the agents' [`Join`]s,
//! which carry what each holds.
//!
//! [`Join`]: crate::message::Join

use std::collections::{BTreeMap, BTreeSet};

use super::site::{Granted, Site};
use crate::{
    ChunkSet, Name,
    message::{GrantedChunk, PeerAddress},
    rendezvous,
    settings::tree::Favour,
};

/// Holders of a chunk that are remembered, to choose a source among. The
/// rest of a data centre need not be known: inside it agents find each other.
const KNOWN_HOLDERS: usize = 8;

/// Bounds of a tracker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrackerConfig {
    /// Chunks that leave the origin at once.
    pub origin_slots: usize,
    /// Chunks that enter a data centre at once.
    pub crossing_slots: usize,
    /// Neighbours of an agent at most.
    pub max_neighbours: usize,
    /// How long joins are gathered before the first grant.
    pub gather_ms: u64,
    /// A grant that is not reported by then is given to another agent.
    pub grant_timeout_ms: u64,
    /// The origin's data centre, whose agents bring chunks in if any do.
    pub origin_data_centre: Name,
}

/// An agent in the spread.
#[derive(Debug)]
struct Member {
    data_centre: Name,
    address: String,
    have: ChunkSet,
    uploads: usize,
}

/// What a tracker tells one agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerMessage {
    /// Bring this chunk in.
    Grant(GrantedChunk),
    /// Exchange chunks with these.
    View(Vec<PeerAddress>),
}

/// Who is told what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberMessage {
    /// The agent.
    pub member: Name,
    /// What it is told.
    pub message: TrackerMessage,
}

/// The soft state of one spread.
#[derive(Debug)]
pub struct Tracker {
    config: TrackerConfig,
    chunks: Option<usize>,
    members: BTreeMap<Name, Member>,
    sites: BTreeMap<Name, Site>,
    /// Some agents that hold each chunk.
    holders: Vec<Vec<Name>>,
    /// Chunks that no agent is known to hold or was told to fetch.
    unasked: BTreeSet<usize>,
    origin_grants: usize,
    /// Chunks that the origin was asked for so far, repeats included.
    origin_asked: usize,
    favour: Favour,
    since_ms: u64,
    is_view_stale: bool,
    work: u64,
}

impl Tracker {
    /// A tracker that knows nobody yet.
    pub fn new(config: TrackerConfig, now_ms: u64) -> Tracker {
        Tracker {
            config,
            chunks: None,
            members: BTreeMap::new(),
            sites: BTreeMap::new(),
            holders: vec![],
            unasked: BTreeSet::new(),
            origin_grants: 0,
            origin_asked: 0,
            favour: Favour::OriginBytes,
            since_ms: now_ms,
            is_view_stale: false,
            work: 0,
        }
    }

    /// The manifest is known to have so many chunks.
    pub fn set_chunks(&mut self, chunks: usize) {
        self.chunks = Some(chunks);
        self.holders = vec![vec![]; chunks];
        self.unasked = (0..chunks).collect();
        for site in self.sites.values_mut() {
            site.set_chunks(chunks);
        }
        let names: Vec<Name> = self.members.keys().cloned().collect();
        for name in names {
            let member = self.members.get_mut(&name).expect("it is listed");
            let have = std::mem::take(&mut member.have);
            self.take_all(&name, &have);
        }
    }

    /// What the spread saves first. Under [`Favour::Time`] the origin's spare
    /// capacity brings chunks into further data centres too, up to a second
    /// copy in all.
    pub fn set_favour(&mut self, favour: Favour) {
        self.favour = favour;
    }

    /// Steps of planning so far; what CI bounds in place of time.
    pub fn planning_steps(&self) -> u64 {
        self.work
    }

    /// Number of agents in the spread.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no agent is in the spread.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The members' names.
    pub fn members(&self) -> impl Iterator<Item = &Name> {
        self.members.keys()
    }

    /// An agent joins or says again what it holds.
    pub fn join(
        &mut self,
        name: &Name,
        data_centre: &Name,
        address: &str,
        bitmap: &[u8],
    ) {
        let bound = self.chunks.unwrap_or(crate::manifest::MAX_CHUNKS);
        let have = ChunkSet::from_bitmap(bitmap, bound);
        match self.members.get_mut(name) {
            Some(member) => {
                self.is_view_stale |= member.address != address;
                member.address = address.to_string();
            }
            None => self.add(name, data_centre, address),
        }
        if self.chunks.is_some() {
            self.take_all(name, &have);
        } else if let Some(member) = self.members.get_mut(name) {
            member.have = have;
        }
    }

    /// An agent is gone; what it was to bring in is granted anew.
    pub fn leave(&mut self, name: &Name) {
        let Some(member) = self.members.remove(name) else { return };
        self.release_grants_of(name);
        self.is_view_stale = true;
        let Some(site) = self.sites.get_mut(&member.data_centre) else {
            return;
        };
        site.remove_member(name);
        if self.chunks.is_none() {
            return;
        }
        for index in member.have.iter() {
            self.work += 1;
            site.remove_copy(index);
            self.holders[index].retain(|holder| holder != name);
            if self.holders[index].is_empty() {
                self.unasked.insert(index);
            }
        }
    }

    /// An agent holds granted chunks now, or could not get them.
    pub fn record_obtained(
        &mut self,
        name: &Name,
        held: &[u32],
        failed: &[u32],
    ) {
        let Some(chunks) = self.chunks else { return };
        for index in held.iter().map(|index| *index as usize) {
            if index < chunks {
                self.take(name, index);
            }
        }
        for index in failed.iter().map(|index| *index as usize) {
            self.give_back(name, index);
        }
    }

    /// Grants and views that are due.
    pub fn plan(&mut self, now_ms: u64) -> Vec<MemberMessage> {
        let mut tellings = vec![];
        let gathered = now_ms >= self.since_ms + self.config.gather_ms;
        if self.chunks.is_none() || !gathered {
            return tellings;
        }
        if std::mem::take(&mut self.is_view_stale) {
            self.tell_views(&mut tellings);
        }
        self.expire_grants(now_ms);
        self.grant_origin(now_ms, &mut tellings);
        self.grant_crossings(now_ms, &mut tellings);
        tellings
    }

    fn add(&mut self, name: &Name, data_centre: &Name, address: &str) {
        let member = Member {
            data_centre: data_centre.clone(),
            address: address.to_string(),
            have: ChunkSet::new(),
            uploads: 0,
        };
        self.members.insert(name.clone(), member);
        let chunks = self.chunks.unwrap_or(0);
        let site =
            self.sites.entry(data_centre.clone()).or_insert_with(|| {
                let mut site = Site::default();
                site.set_chunks(chunks);
                site
            });
        site.add_member(name);
        self.is_view_stale = true;
    }

    fn take_all(&mut self, name: &Name, have: &ChunkSet) {
        for index in have.iter() {
            self.take(name, index);
        }
    }

    /// A member holds a chunk.
    fn take(&mut self, name: &Name, index: usize) {
        self.work += 1;
        let Some(member) = self.members.get_mut(name) else { return };
        if !member.have.insert(index) {
            return;
        }
        let data_centre = member.data_centre.clone();
        self.unasked.remove(&index);
        if self.holders[index].len() < KNOWN_HOLDERS {
            self.holders[index].push(name.clone());
        }
        if let Some(site) = self.sites.get_mut(&data_centre) {
            site.add_copy(index);
        }
        self.end_grant(&data_centre, index);
    }

    fn give_back(&mut self, name: &Name, index: usize) {
        let Some(member) = self.members.get(name) else { return };
        let data_centre = member.data_centre.clone();
        let is_its = self
            .sites
            .get(&data_centre)
            .and_then(|site| site.granted().get(&index))
            .is_some_and(|granted| granted.member == *name);
        if is_its {
            self.end_grant(&data_centre, index);
        }
    }

    fn end_grant(&mut self, data_centre: &Name, index: usize) {
        let site = self.sites.get_mut(data_centre);
        let Some(granted) = site.and_then(|site| site.end_grant(index)) else {
            return;
        };
        match &granted.source {
            None => {
                self.origin_grants -= 1;
                if self.holders[index].is_empty() {
                    self.unasked.insert(index);
                }
            }
            Some(source) => {
                if let Some(member) = self.members.get_mut(source) {
                    member.uploads = member.uploads.saturating_sub(1);
                }
            }
        }
    }

    fn release_grants_of(&mut self, name: &Name) {
        self.end_grants_where(|granted| {
            granted.member == *name || granted.source.as_ref() == Some(name)
        });
    }

    fn expire_grants(&mut self, now_ms: u64) {
        let limit_ms = self.config.grant_timeout_ms;
        self.end_grants_where(|granted| now_ms >= granted.since_ms + limit_ms);
    }

    fn end_grants_where(&mut self, is_over: impl Fn(&Granted) -> bool) {
        let mut over = vec![];
        for (data_centre, site) in &self.sites {
            for (index, granted) in site.granted() {
                self.work += 1;
                if is_over(granted) {
                    over.push((data_centre.clone(), *index));
                }
            }
        }
        for (data_centre, index) in over {
            self.end_grant(&data_centre, index);
        }
    }

    fn grant_origin(
        &mut self,
        now_ms: u64,
        tellings: &mut Vec<MemberMessage>,
    ) {
        while self.origin_grants < self.config.origin_slots {
            self.work += 1;
            let Some(index) = self.unasked.first().copied() else { return };
            let Some(data_centre) = self.landing_site() else { return };
            self.unasked.remove(&index);
            self.give(&data_centre, index, None, now_ms, tellings);
        }
    }

    fn grant_crossings(
        &mut self,
        now_ms: u64,
        tellings: &mut Vec<MemberMessage>,
    ) {
        let sites: Vec<Name> = self.sites.keys().cloned().collect();
        for data_centre in sites {
            for (index, source) in self.crossings_into(&data_centre) {
                let source = (!self.may_spend_origin()).then_some(source);
                self.give(&data_centre, index, source, now_ms, tellings);
            }
        }
    }

    /// Whether the origin has capacity to spare that this spread may use.
    fn may_spend_origin(&self) -> bool {
        self.favour == Favour::Time
            && self.unasked.is_empty()
            && self.origin_grants < self.config.origin_slots
            && self.origin_asked < 2 * self.holders.len()
    }

    /// Chunks that a data centre lacks and others have, with the least busy
    /// known holder of each, as many as there are slots for.
    fn crossings_into(&mut self, data_centre: &Name) -> Vec<(usize, Name)> {
        let site = &self.sites[data_centre];
        let slots = self.config.crossing_slots;
        let room = slots.saturating_sub(site.granted().len());
        if site.is_empty() || room == 0 {
            return vec![];
        }
        let mut chosen: Vec<(usize, Name)> = vec![];
        for index in site.lacking() {
            self.work += 1 + self.holders[index].len() as u64;
            let source = self.holders[index]
                .iter()
                .filter_map(|name| Some((name, self.members.get(name)?)))
                .filter(|(_, member)| member.data_centre != *data_centre)
                .min_by_key(|(_, member)| member.uploads)
                .map(|(name, _)| name.clone());
            match source {
                Some(source) => chosen.push((index, source)),
                // Chunks leave the origin in order: those after it are not
                // there yet either, but for a few.
                None if self.unasked.contains(&index) => break,
                None => {}
            }
            if chosen.len() == room {
                break;
            }
        }
        chosen
    }

    fn give(
        &mut self,
        data_centre: &Name,
        index: usize,
        source: Option<Name>,
        now_ms: u64,
        tellings: &mut Vec<MemberMessage>,
    ) {
        self.work += 1;
        let Some(site) = self.sites.get_mut(data_centre) else { return };
        let Some(member) = site.next_member().cloned() else { return };
        if source.is_none() {
            self.origin_grants += 1;
            self.origin_asked += 1;
        }
        let granted = Granted {
            member: member.clone(),
            source: source.clone(),
            since_ms: now_ms,
        };
        site.grant(index, granted);
        let peer = source.as_ref().and_then(|name| self.address(name));
        let holder = source.and_then(|name| self.members.get_mut(&name));
        if let Some(holder) = holder {
            holder.uploads += 1;
        }
        let chunk = GrantedChunk { index: index as u32, source: peer };
        tellings.push(MemberMessage {
            member,
            message: TrackerMessage::Grant(chunk),
        });
    }

    /// Where chunks from the origin land: in its own data centre, if any
    /// agent of the spread is there.
    fn landing_site(&self) -> Option<Name> {
        let home = &self.config.origin_data_centre;
        let has_home =
            self.sites.get(home).is_some_and(|site| !site.is_empty());
        if has_home {
            return Some(home.clone());
        }
        let first = self.members.values().next()?;
        Some(first.data_centre.clone())
    }

    fn address(&self, name: &Name) -> Option<PeerAddress> {
        let address = self.members.get(name)?.address.clone();
        Some(PeerAddress { name: name.to_string(), address })
    }

    fn tell_views(&mut self, tellings: &mut Vec<MemberMessage>) {
        let sites: Vec<Name> = self.sites.keys().cloned().collect();
        for data_centre in sites {
            let here: Vec<Name> =
                self.sites[&data_centre].members().cloned().collect();
            for (place, name) in here.iter().enumerate() {
                let names =
                    neighbours(&here, place, self.config.max_neighbours);
                self.work += names.len() as u64;
                let view = names
                    .into_iter()
                    .filter_map(|name| self.address(name))
                    .collect();
                tellings.push(MemberMessage {
                    member: name.clone(),
                    message: TrackerMessage::View(view),
                });
            }
        }
    }
}

/// The neighbours of `here[place]`: everybody if they are few, else those at
/// power-of-two distances round the ring, both ways, and then the nearest.
/// The relation is symmetric, and any two agents are a few steps apart.
fn neighbours(here: &[Name], place: usize, most: usize) -> Vec<&Name> {
    let count = here.len();
    if count <= most + 1 {
        let others = here.iter().enumerate();
        return others
            .filter(|(other, _)| *other != place)
            .map(|(_, name)| name)
            .collect();
    }
    let mut distances: Vec<usize> =
        std::iter::successors(Some(1), |d| Some(d * 2))
            .take_while(|distance| *distance * 2 <= count)
            .collect();
    let mut extra = 3;
    while distances.len() * 2 < most && extra * 2 <= count {
        if !distances.contains(&extra) {
            distances.push(extra);
        }
        extra += 2;
    }
    let mut names: Vec<&Name> = distances
        .iter()
        .flat_map(|d| [(place + d) % count, (place + count - d) % count])
        .map(|other| &here[other])
        .collect();
    names.sort_unstable();
    names.dedup();
    names
}

/// The entry host that owns the tracker of `manifest` among `live` ones.
pub fn tracker_owner<'a>(
    manifest: &crate::Digest,
    live: impl Iterator<Item = &'a Name>,
) -> Option<&'a Name> {
    rendezvous::owner(manifest.as_bytes(), live)
}
