//! Distribution trees inside a large data centre.
//!
//! Each chunk has its own tree, which every agent derives from the chunk's
//! number and the agents' addresses. The agent that fetches the chunk into the
//! data centre is the root, and each agent requests the chunk from its parent.
//! With 41 agents the root alone would need 2 s of its link for the copies of
//! one chunk, and while all agents request the same ten chunks the links of
//! the other 31 would be idle. The agents in a tree are ordered by a hash of
//! agent and chunk. An agent requests chunks only from agents before it in
//! this order, so that no two wait for each other even if their lists of
//! agents differ.

use std::{cell::RefCell, collections::HashMap, net::IpAddr};

/// Up to this number of agents, the owner of a chunk sends it to all of them
/// directly: it is the number of concurrent requests of one agent.
const MAX_STAR_AGENTS: usize = 10;

/// The number of children of a tree node. With two, half of the agents send
/// twice the volume that they receive, and each chunk's tree has a different
/// half.
const FAN_OUT: usize = 2;

/// The trees of a data centre, one for each chunk, as seen by one agent.
#[derive(Debug)]
pub struct Trees {
    own_ip: IpAddr,
    /// Agents that forward chunks, in address order.
    inner: Vec<IpAddr>,
    /// The ancestors of this agent by chunk, nearest first.
    ancestors: RefCell<HashMap<usize, Vec<IpAddr>>>,
}

impl Trees {
    /// Creates the trees over `inner`. Returns `None` if there are too few
    /// agents to need trees.
    pub fn new(own_ip: IpAddr, inner: Vec<IpAddr>) -> Option<Trees> {
        let ancestors = RefCell::default();
        (inner.len() > MAX_STAR_AGENTS).then_some(Trees {
            own_ip,
            inner,
            ancestors,
        })
    }

    /// Returns the agents that forward chunks.
    pub fn inner(&self) -> &[IpAddr] {
        &self.inner
    }

    /// Returns the ancestor `step` levels above the parent, which has step 0.
    /// Wraps around to the parent after the root; `None` if this agent is the
    /// root.
    pub fn ancestor(&self, key: usize, step: usize) -> Option<IpAddr> {
        let mut ancestors = self.ancestors.borrow_mut();
        let known =
            ancestors.entry(key).or_insert_with(|| self.ancestors_of(key));
        let place = step.checked_rem(known.len())?;
        Some(known[place])
    }

    /// Returns a pseudo-random number derived from this agent and `key`.
    pub fn pseudo_random(&self, key: usize) -> usize {
        rank_hash(self.own_ip, key) as usize
    }

    fn ancestors_of(&self, key: usize) -> Vec<IpAddr> {
        let mut sorted: Vec<(u64, IpAddr)> =
            self.inner.iter().map(|ip| (rank_hash(*ip, key), *ip)).collect();
        sorted.sort_unstable();
        let own = sorted.iter().position(|(_, ip)| *ip == self.own_ip);
        let mut ancestors = Vec::new();
        // An agent that does not forward chunks is the child of a
        // pseudo-random inner node.
        let mut place = own.unwrap_or_else(|| {
            let drawn = self.pseudo_random(key) % sorted.len();
            ancestors.push(sorted[drawn].1);
            drawn
        });
        while place > 0 {
            place = (place - 1) / FAN_OUT;
            ancestors.push(sorted[place].1);
        }
        ancestors
    }
}

/// Returns the sort key of an agent in the tree of a chunk: the SplitMix64
/// finaliser over both.
fn rank_hash(ip: IpAddr, key: usize) -> u64 {
    let address = match ip {
        IpAddr::V4(ip) => u64::from(u32::from(ip)),
        IpAddr::V6(ip) => u128::from(ip) as u64,
    };
    let mut mixed = address ^ (key as u64 + 1).wrapping_mul(GOLDEN_GAMMA);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The increment of SplitMix64; it decorrelates neighbouring chunks.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
