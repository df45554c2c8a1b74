//! The tracker of one spread, which is soft state on the entry host that owns
//! it.
//!
//! It issues grants such that each chunk leaves the origin once and enters
//! each further data centre once. It does not plan transfers inside a data
//! centre, because at 1,600 hosts and 4,000 chunks that would be 6.4 million
//! decisions per burst in one process; there is only one grant per chunk and
//! data centre. When the owner dies, another entry host rebuilds this state
//! from the agents' [`Join`]s, which carry the chunks that each holds.
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

/// The maximum number of holders recorded per chunk, from which a source is
/// chosen. The others need not be known, because agents inside a data centre
/// exchange chunks without the tracker.
const MAX_KNOWN_HOLDERS: usize = 8;

/// The limits of a tracker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrackerConfig {
    /// The maximum number of open grants for the origin.
    pub origin_slots: usize,
    /// The maximum number of open grants per data centre for chunks that
    /// other data centres hold.
    pub crossing_slots: usize,
    /// The approximate maximum number of neighbours of an agent.
    pub max_neighbours: usize,
    /// How long joins are collected before the first grant.
    pub gather_ms: u64,
    /// The time after which a grant that was not reported as fulfilled ends,
    /// so that the chunk can be granted again.
    pub grant_timeout_ms: u64,
    /// The origin's data centre. Its agents fetch chunks from the origin if
    /// there are any in the spread.
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

/// The content of a message from a tracker to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerMessage {
    /// Fetch this chunk into the data centre.
    Grant(GrantedChunk),
    /// Exchange chunks with these neighbours.
    View(Vec<PeerAddress>),
}

/// A message from a tracker to a member of its spread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberMessage {
    /// The agent to which it is addressed.
    pub member: Name,
    /// The content.
    pub message: TrackerMessage,
}

/// The state of one spread.
#[derive(Debug)]
pub struct Tracker {
    config: TrackerConfig,
    chunks: Option<usize>,
    members: BTreeMap<Name, Member>,
    sites: BTreeMap<Name, Site>,
    /// For each chunk, up to [`MAX_KNOWN_HOLDERS`] agents that hold it.
    holders: Vec<Vec<Name>>,
    /// Chunks that no agent is known to hold or has a grant for.
    ungranted: BTreeSet<usize>,
    origin_grants: usize,
    /// The number of grants for the origin issued so far, including repeated
    /// ones.
    origin_requests: usize,
    favour: Favour,
    started_ms: u64,
    is_view_stale: bool,
    planning_steps: u64,
}

impl Tracker {
    /// Creates a tracker without members.
    pub fn new(config: TrackerConfig, now_ms: u64) -> Tracker {
        Tracker {
            config,
            chunks: None,
            members: BTreeMap::new(),
            sites: BTreeMap::new(),
            holders: vec![],
            ungranted: BTreeSet::new(),
            origin_grants: 0,
            origin_requests: 0,
            favour: Favour::OriginBytes,
            started_ms: now_ms,
            is_view_stale: false,
            planning_steps: 0,
        }
    }

    /// Sets the number of chunks, once the manifest is known. No grants are
    /// issued before.
    pub fn set_chunks(&mut self, chunks: usize) {
        self.chunks = Some(chunks);
        self.holders = vec![vec![]; chunks];
        self.ungranted = (0..chunks).collect();
        for site in self.sites.values_mut() {
            site.set_chunks(chunks);
        }
        let names: Vec<Name> = self.members.keys().cloned().collect();
        for name in names {
            let member = self.members.get_mut(&name).expect("it is listed");
            let have = std::mem::take(&mut member.have);
            self.record_all_held(&name, &have);
        }
    }

    /// Sets what the spread is optimised for. Under [`Favour::Time`] spare
    /// capacity of the origin also serves further data centres, until the
    /// origin has been asked for twice the number of chunks in total.
    pub fn set_favour(&mut self, favour: Favour) {
        self.favour = favour;
    }

    /// Returns the number of planning steps so far, which CI bounds instead of
    /// the elapsed time.
    pub fn planning_steps(&self) -> u64 {
        self.planning_steps
    }

    /// Returns the number of agents in the spread.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the spread has no agents.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the names of the agents in the spread, sorted.
    pub fn members(&self) -> impl Iterator<Item = &Name> {
        self.members.keys()
    }

    /// Adds an agent, or updates its address and the chunks that it holds.
    /// `bitmap` has one bit per chunk, lowest bit first, set for those held.
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
            self.record_all_held(name, &have);
        } else if let Some(member) = self.members.get_mut(name) {
            member.have = have;
        }
    }

    /// Removes an agent and ends the grants to it and from it, so that their
    /// chunks can be granted again.
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
            self.planning_steps += 1;
            site.remove_copy(index);
            self.holders[index].retain(|holder| holder != name);
            if self.holders[index].is_empty() {
                self.ungranted.insert(index);
            }
        }
    }

    /// Records the granted chunks that an agent obtained, and ends the grants
    /// of those that it failed to fetch.
    pub fn record_obtained(
        &mut self,
        name: &Name,
        held: &[u32],
        failed: &[u32],
    ) {
        let Some(chunks) = self.chunks else { return };
        for index in held.iter().map(|index| *index as usize) {
            if index < chunks {
                self.record_held(name, index);
            }
        }
        for index in failed.iter().map(|index| *index as usize) {
            self.return_grant(name, index);
        }
    }

    /// Returns the grants and views that are due. Returns none until the
    /// number of chunks is known and the gathering time is over.
    pub fn plan(&mut self, now_ms: u64) -> Vec<MemberMessage> {
        let mut messages = vec![];
        let has_gathered = now_ms >= self.started_ms + self.config.gather_ms;
        if self.chunks.is_none() || !has_gathered {
            return messages;
        }
        if std::mem::take(&mut self.is_view_stale) {
            self.send_views(&mut messages);
        }
        self.expire_grants(now_ms);
        self.grant_origin(now_ms, &mut messages);
        self.grant_crossings(now_ms, &mut messages);
        messages
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

    fn record_all_held(&mut self, name: &Name, have: &ChunkSet) {
        for index in have.iter() {
            self.record_held(name, index);
        }
    }

    /// Records that a member holds a chunk, and ends the grant of the chunk
    /// in its data centre.
    fn record_held(&mut self, name: &Name, index: usize) {
        self.planning_steps += 1;
        let Some(member) = self.members.get_mut(name) else { return };
        if !member.have.insert(index) {
            return;
        }
        let data_centre = member.data_centre.clone();
        self.ungranted.remove(&index);
        if self.holders[index].len() < MAX_KNOWN_HOLDERS {
            self.holders[index].push(name.clone());
        }
        if let Some(site) = self.sites.get_mut(&data_centre) {
            site.add_copy(index);
        }
        self.end_grant(&data_centre, index);
    }

    fn return_grant(&mut self, name: &Name, index: usize) {
        let Some(member) = self.members.get(name) else { return };
        let data_centre = member.data_centre.clone();
        let is_owner = self
            .sites
            .get(&data_centre)
            .and_then(|site| site.granted().get(&index))
            .is_some_and(|granted| granted.member == *name);
        if is_owner {
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
                    self.ungranted.insert(index);
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

    fn end_grants_where(&mut self, has_ended: impl Fn(&Granted) -> bool) {
        let mut ended = vec![];
        for (data_centre, site) in &self.sites {
            for (index, granted) in site.granted() {
                self.planning_steps += 1;
                if has_ended(granted) {
                    ended.push((data_centre.clone(), *index));
                }
            }
        }
        for (data_centre, index) in ended {
            self.end_grant(&data_centre, index);
        }
    }

    fn grant_origin(
        &mut self,
        now_ms: u64,
        messages: &mut Vec<MemberMessage>,
    ) {
        while self.origin_grants < self.config.origin_slots {
            self.planning_steps += 1;
            let Some(index) = self.ungranted.first().copied() else { return };
            let Some(data_centre) = self.origin_entry_site() else { return };
            self.ungranted.remove(&index);
            self.issue_grant(&data_centre, index, None, now_ms, messages);
        }
    }

    fn grant_crossings(
        &mut self,
        now_ms: u64,
        messages: &mut Vec<MemberMessage>,
    ) {
        let sites: Vec<Name> = self.sites.keys().cloned().collect();
        for data_centre in sites {
            for (index, source) in self.crossings_into(&data_centre) {
                let source =
                    (!self.may_use_spare_origin_slots()).then_some(source);
                self.issue_grant(
                    &data_centre,
                    index,
                    source,
                    now_ms,
                    messages,
                );
            }
        }
    }

    /// Returns whether a chunk that other data centres hold may be granted
    /// from the origin instead, because the origin has spare capacity.
    fn may_use_spare_origin_slots(&self) -> bool {
        self.favour == Favour::Time
            && self.ungranted.is_empty()
            && self.origin_grants < self.config.origin_slots
            && self.origin_requests < 2 * self.holders.len()
    }

    /// Returns the chunks that a data centre is missing and others hold, with
    /// the least busy known holder of each, up to the number of free slots.
    fn crossings_into(&mut self, data_centre: &Name) -> Vec<(usize, Name)> {
        let site = &self.sites[data_centre];
        let slots = self.config.crossing_slots;
        let free_slots = slots.saturating_sub(site.granted().len());
        if site.is_empty() || free_slots == 0 {
            return vec![];
        }
        let mut chosen: Vec<(usize, Name)> = vec![];
        for index in site.missing() {
            self.planning_steps += 1 + self.holders[index].len() as u64;
            let source = self.holders[index]
                .iter()
                .filter_map(|name| Some((name, self.members.get(name)?)))
                .filter(|(_, member)| member.data_centre != *data_centre)
                .min_by_key(|(_, member)| member.uploads)
                .map(|(name, _)| name.clone());
            match source {
                Some(source) => chosen.push((index, source)),
                // Chunks are granted from the origin in order, so almost
                // none of the later ones are held anywhere yet.
                None if self.ungranted.contains(&index) => break,
                None => {}
            }
            if chosen.len() == free_slots {
                break;
            }
        }
        chosen
    }

    fn issue_grant(
        &mut self,
        data_centre: &Name,
        index: usize,
        source: Option<Name>,
        now_ms: u64,
        messages: &mut Vec<MemberMessage>,
    ) {
        self.planning_steps += 1;
        let Some(site) = self.sites.get_mut(data_centre) else { return };
        let Some(member) = site.next_member().cloned() else { return };
        if source.is_none() {
            self.origin_grants += 1;
            self.origin_requests += 1;
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
        messages.push(MemberMessage {
            member,
            message: TrackerMessage::Grant(chunk),
        });
    }

    /// Returns the data centre that fetches chunks from the origin: the
    /// origin's own if it has agents in the spread, else that of the first
    /// member by name. Returns `None` if there are no members.
    fn origin_entry_site(&self) -> Option<Name> {
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

    fn send_views(&mut self, messages: &mut Vec<MemberMessage>) {
        let sites: Vec<Name> = self.sites.keys().cloned().collect();
        for data_centre in sites {
            let site_members: Vec<Name> =
                self.sites[&data_centre].members().cloned().collect();
            for (position, name) in site_members.iter().enumerate() {
                let names = neighbours(
                    &site_members,
                    position,
                    self.config.max_neighbours,
                );
                self.planning_steps += names.len() as u64;
                let view = names
                    .into_iter()
                    .filter_map(|name| self.address(name))
                    .collect();
                messages.push(MemberMessage {
                    member: name.clone(),
                    message: TrackerMessage::View(view),
                });
            }
        }
    }
}

/// Returns the neighbours of `site_members[position]`: all others if they are
/// few, else those at power-of-two distances on the ring in both directions,
/// and then those at the smallest odd distances. The relation is symmetric,
/// and any two agents are a few hops apart.
fn neighbours(
    site_members: &[Name],
    position: usize,
    max_count: usize,
) -> Vec<&Name> {
    let count = site_members.len();
    if count <= max_count + 1 {
        let others = site_members.iter().enumerate();
        return others
            .filter(|(other, _)| *other != position)
            .map(|(_, name)| name)
            .collect();
    }
    let mut distances: Vec<usize> =
        std::iter::successors(Some(1), |d| Some(d * 2))
            .take_while(|distance| *distance * 2 <= count)
            .collect();
    let mut extra = 3;
    while distances.len() * 2 < max_count && extra * 2 <= count {
        if !distances.contains(&extra) {
            distances.push(extra);
        }
        extra += 2;
    }
    let mut names: Vec<&Name> = distances
        .iter()
        .flat_map(|d| [(position + d) % count, (position + count - d) % count])
        .map(|other| &site_members[other])
        .collect();
    names.sort_unstable();
    names.dedup();
    names
}

/// Returns the entry host among `live` that owns the tracker of `manifest`,
/// or `None` if `live` is empty.
pub fn tracker_owner<'a>(
    manifest: &crate::Digest,
    live: impl Iterator<Item = &'a Name>,
) -> Option<&'a Name> {
    rendezvous::owner(manifest.as_bytes(), live)
}
