//! Selects the source of each chunk.
//!
//! Agents in the own data centre that hold the whole version are preferred.
//! Otherwise each chunk has one owner per data centre that fetches it from
//! outside, and one of these owners fetches it from the origin. All agents
//! derive the owners from the list of live agents without any communication. A
//! tracker that assigns transfers would cost a round trip per chunk, which at
//! 48 chunks in two seconds is a tenth of the time. The lists of different
//! agents may differ temporarily; transfers that time out are retried at
//! another source.
//!
//! In a large data centre the owner of a chunk could not send it to all agents
//! in time, so chunks are forwarded along a tree ([`super::tree`]).

use std::net::IpAddr;

use super::{reducer::Item, tree::Trees};
use crate::Name;

/// Another agent, as reported by the entry hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its address.
    pub ip: IpAddr,
    /// The data centre in which it runs.
    pub data_centre: Name,
    /// The newest version of which it holds every chunk; 0 if none.
    pub whole_version: u64,
    /// The version that its target serves; 0 if none.
    pub serves_version: u64,
    /// Whether its connection is slow or it is silent. Other agents do not
    /// wait for chunks that it fetches.
    pub is_slow: bool,
}

/// The source of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Another agent.
    Peer(IpAddr),
    /// The origin.
    Origin,
}

/// One in this many attempts goes directly to the origin. A smaller number
/// exhausts the origin's connections when the whole fleet starts empty, as
/// each agent then requests everything from the origin.
const DIRECT_ATTEMPT_INTERVAL: u32 = 8;

/// The maximum number of agents of a large fleet whose retries may go directly
/// to the origin at a time. This number saturates the origin's link.
const MAX_DIRECT_AGENTS: usize = 8;

/// The maximum number of agents that fetch chunks from the origin. Half as
/// many saturate its link; the others send while one opens a connection.
const MAX_ORIGIN_OWNERS: usize = 8;

/// The number of attempts at one source before the next one is selected.
pub const ATTEMPTS_PER_SOURCE: u32 = 2;

/// The maximum number of agents that a request passes before it goes to the
/// origin: the owner in the data centre and the owner for the origin.
const MAX_HOPS: u32 = 2;

/// The same limit where chunks are forwarded along a tree. The depth of the
/// tree is added: ten for a thousand agents.
const MAX_TREE_HOPS: u32 = 12;

/// The live agents, as seen by one of them.
#[derive(Debug)]
pub struct Sources {
    own_ip: IpAddr,
    data_centre: Name,
    peers: Vec<Peer>,
    /// All agents, ordered so that neighbours are in different data centres.
    order: Vec<IpAddr>,
    /// Agents that fetch chunks from the origin.
    origin_owners: Vec<IpAddr>,
    /// The distribution trees of the own data centre, if it is large.
    trees: Option<Trees>,
}

/// The minimum number of agents for which slow agents are counted before any
/// is treated as slow.
const LARGE_FLEET_AGENTS: usize = 48;

/// Clears the slow flags of a large fleet if more than a third of its agents
/// are slow. After a loss of all state every link is full of chunks, so
/// slowness says nothing about a single agent. If all were treated as slow, no
/// agent would own any chunk, and each of 204 agents would request everything
/// from the origin.
fn clear_widespread_slowness(peers: &mut [Peer]) {
    let slow = peers.iter().filter(|peer| peer.is_slow).count();
    if peers.len() >= LARGE_FLEET_AGENTS && slow * 3 > peers.len() {
        peers.iter_mut().for_each(|peer| peer.is_slow = false);
    }
}

impl Sources {
    /// Creates the state of an agent that knows no others.
    pub fn new(own_ip: IpAddr, data_centre: Name) -> Sources {
        Sources {
            own_ip,
            data_centre,
            peers: Vec::new(),
            order: Vec::new(),
            origin_owners: Vec::new(),
            trees: None,
        }
    }

    /// Returns whether a list of live agents has been received.
    pub fn has_peers(&self) -> bool {
        !self.peers.is_empty()
    }

    /// Replaces the list of live agents. A missing own entry is added and
    /// marked as slow, so that it owns no chunk: the other agents do not know
    /// of this one.
    pub fn set_peers(&mut self, mut peers: Vec<Peer>) {
        clear_widespread_slowness(&mut peers);
        if peers.iter().all(|peer| peer.ip != self.own_ip) {
            peers.push(Peer {
                ip: self.own_ip,
                data_centre: self.data_centre.clone(),
                whole_version: 0,
                serves_version: 0,
                is_slow: true,
            });
        }
        peers.sort_by_key(|peer| peer.ip);
        peers.dedup_by_key(|peer| peer.ip);
        self.peers = peers;
        self.order = self.interleaved_by_data_centre();
        let is_eligible =
            |ip: &&IpAddr| !self.is_unavailable(Source::Peer(**ip));
        let eligible = self.order.iter().filter(is_eligible);
        self.origin_owners =
            eligible.take(MAX_ORIGIN_OWNERS).copied().collect();
        self.update_trees();
    }

    /// Recomputes which agents forward chunks in the own data centre: those
    /// that are not slow and do not fetch from the origin.
    fn update_trees(&mut self) {
        let local_agents = self.agents_in(&self.data_centre);
        let inner: Vec<IpAddr> = local_agents
            .filter(|peer| !peer.is_slow)
            .map(|peer| peer.ip)
            .filter(|ip| !self.origin_owners.contains(ip))
            .collect();
        let is_same =
            self.trees.as_ref().is_some_and(|trees| trees.inner() == inner);
        if !is_same {
            self.trees = Trees::new(self.own_ip, inner);
        }
    }

    /// Returns the position of this agent among all agents, and their number.
    /// Neighbours in the order are in different data centres, so that no data
    /// centre changes over all its targets at once.
    pub fn rank(&self) -> (usize, usize) {
        let rank = self.order.iter().position(|ip| *ip == self.own_ip);
        (rank.unwrap_or(0), self.order.len().max(1))
    }

    /// Returns the number of agents that share the origin's connections: all
    /// agents, or with trees the owners and as many agents selected for direct
    /// retries.
    pub fn origin_clients(&self) -> usize {
        match self.trees {
            Some(_) => MAX_ORIGIN_OWNERS + MAX_DIRECT_AGENTS,
            None => self.order.len().max(1),
        }
    }

    /// All agents, ordered so that neighbours are in different data centres.
    fn interleaved_by_data_centre(&self) -> Vec<IpAddr> {
        let mut order: Vec<(usize, &Name, IpAddr)> = self
            .peers
            .iter()
            .map(|peer| {
                let place = self
                    .agents_in(&peer.data_centre)
                    .position(|other| other.ip == peer.ip)
                    .unwrap_or(0);
                (place, &peer.data_centre, peer.ip)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(.., ip)| ip).collect()
    }

    /// Returns whether a source is slow or missing from the list of agents.
    pub fn is_unavailable(&self, source: Source) -> bool {
        match source {
            Source::Origin => false,
            Source::Peer(ip) => {
                let peer = self.peers.iter().find(|peer| peer.ip == ip);
                peer.is_none_or(|peer| peer.is_slow)
            }
        }
    }

    /// Returns whether a source is known to hold the whole version and can
    /// answer immediately.
    pub fn holds(&self, source: Source, version: u64) -> bool {
        match source {
            Source::Origin => false,
            Source::Peer(ip) => self
                .peers
                .iter()
                .any(|p| p.ip == ip && p.whole_version == version),
        }
    }

    /// Selects the source of an item after `failures` failed attempts, for
    /// a request that has passed `hops` agents.
    pub fn pick(
        &self,
        version: u64,
        item: Item,
        failures: u32,
        hops: u32,
    ) -> Source {
        let key = match item {
            Item::Manifest => version as usize,
            Item::Chunk(index) => index as usize,
        };
        // A source that did not answer in time probably has the item soon
        // after, so it is tried again before another one is selected.
        let is_direct = failures % DIRECT_ATTEMPT_INTERVAL
            == DIRECT_ATTEMPT_INTERVAL - 1
            && self.may_go_to_origin(key, failures);
        let failures = failures / ATTEMPTS_PER_SOURCE;
        let max_hops = match self.trees {
            Some(_) => MAX_TREE_HOPS,
            None => MAX_HOPS,
        };
        if hops >= max_hops || is_direct {
            return Source::Origin;
        }
        let rotation = key + self.own_index() + failures as usize;
        let local_agents = self.agents_in(&self.data_centre);
        if let Some(peer) = self.holder(local_agents, version, rotation) {
            return Source::Peer(peer);
        }
        // The last agent to which the others turn must not request the item
        // from one of them, not even after failed attempts: each would wait
        // for the other. Otherwise, when the origin became unreachable, 4
        // chunks of 64 stayed missing for that reason alone.
        if self.origin_owner(key) == Some(self.own_ip) {
            return self.pick_remote(version, key, 0);
        }
        if let Some(trees) = &self.trees {
            // Failed attempts go up the tree and then start at the parent
            // again. Trying all owners in turn could request from agents that
            // wait for this one.
            return match trees.ancestor(key, failures as usize) {
                Some(ip) => Source::Peer(ip),
                None => self.pick_remote(version, key, 0),
            };
        }
        let local_owner =
            self.owner(&self.data_centre, key + failures as usize);
        match local_owner {
            Some(owner) if owner != self.own_ip && hops == 0 => {
                Source::Peer(owner)
            }
            _ => self.pick_remote(version, key, failures),
        }
    }

    /// Returns whether a retry may go directly to the origin. In a large data
    /// centre only pseudo-randomly selected agents may, about
    /// [`MAX_DIRECT_AGENTS`] of all. If 204 agents sent one of eight attempts
    /// each to an unreachable origin, on its return it would send 34 copies
    /// and serve nobody in time.
    fn may_go_to_origin(&self, key: usize, failures: u32) -> bool {
        let Some(trees) = &self.trees else { return true };
        let drawn =
            trees.pseudo_random(key + failures as usize) % self.order.len();
        drawn < MAX_DIRECT_AGENTS
    }

    /// Returns whether this agent fetches an item from the origin, because it
    /// is the item's owner and no agent holds the version yet.
    pub fn is_origin_owner(&self, version: u64, item: Item) -> bool {
        self.pick(version, item, 0, 0) == Source::Origin
    }

    /// Selects a source outside the own data centre.
    fn pick_remote(&self, version: u64, key: usize, failures: u32) -> Source {
        let rotation = key + failures as usize;
        if let Some(peer) = self.holder(self.peers.iter(), version, rotation) {
            return Source::Peer(peer);
        }
        match self.origin_owner(rotation) {
            Some(owner) if owner != self.own_ip => Source::Peer(owner),
            _ => Source::Origin,
        }
    }

    /// Selects, by `rotation`, an agent among those that hold a version and
    /// are not slow.
    fn holder<'a>(
        &self,
        peers: impl Iterator<Item = &'a Peer>,
        version: u64,
        rotation: usize,
    ) -> Option<IpAddr> {
        let holders: Vec<IpAddr> = peers
            .filter(|peer| {
                peer.whole_version == version
                    && peer.ip != self.own_ip
                    && !peer.is_slow
            })
            .map(|peer| peer.ip)
            .collect();
        let place = rotation.checked_rem(holders.len())?;
        Some(holders[place])
    }

    /// Returns the agent of a data centre that owns an item there.
    fn owner(&self, data_centre: &Name, key: usize) -> Option<IpAddr> {
        let eligible =
            || self.agents_in(data_centre).filter(|peer| !peer.is_slow);
        let count = eligible().count();
        let place = key.checked_rem(count)?;
        eligible().nth(place).map(|peer| peer.ip)
    }

    /// Returns the agent that fetches an item from the origin: one of a few,
    /// interleaved across data centres.
    ///
    /// Agents that fetch at the same time share the origin's link, so with
    /// many of them every chunk arrives late and all at once. Each of 45
    /// agents waited 1.2 s for its first chunk, about as long as other agents
    /// wait for it before they ask the origin themselves.
    fn origin_owner(&self, key: usize) -> Option<IpAddr> {
        let owners = &self.origin_owners;
        let place = key.checked_rem(owners.len())?;
        Some(owners[place])
    }

    fn own_index(&self) -> usize {
        self.peers.iter().position(|peer| peer.ip == self.own_ip).unwrap_or(0)
    }

    /// Iterates over the agents of a data centre.
    fn agents_in<'a>(
        &'a self,
        data_centre: &'a Name,
    ) -> impl Iterator<Item = &'a Peer> {
        self.peers.iter().filter(move |p| p.data_centre == *data_centre)
    }
}
