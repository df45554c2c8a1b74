//! A tracker's view of one data centre: the chunks in it and those granted to
//! it.

use std::collections::{BTreeMap, BTreeSet};

use crate::Name;

/// A grant of a chunk to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Granted {
    /// The agent that fetches the chunk.
    pub(super) member: Name,
    /// The agent to fetch it from; `None` for the origin.
    pub(super) source: Option<Name>,
    /// The time at which the grant was issued.
    pub(super) since_ms: u64,
}

/// The position of an agent in the order in which agents receive grants: by
/// the number of open grants, then by turn.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    grants: usize,
    turn: u64,
    member: Name,
}

/// The state of one data centre.
#[derive(Debug, Default)]
pub(super) struct Site {
    /// The number of agents in the data centre known to hold each chunk.
    copies: Vec<u32>,
    /// Chunks that no agent here is known to hold and that are not granted.
    missing: BTreeSet<usize>,
    granted: BTreeMap<usize, Granted>,
    positions: BTreeMap<Name, QueuePosition>,
    order: BTreeSet<QueuePosition>,
    next_turn: u64,
}

impl Site {
    pub(super) fn set_chunks(&mut self, chunks: usize) {
        self.copies = vec![0; chunks];
        self.missing = (0..chunks).collect();
    }

    pub(super) fn add_member(&mut self, member: &Name) {
        let position = QueuePosition {
            grants: 0,
            turn: self.next_turn,
            member: member.clone(),
        };
        self.next_turn += 1;
        self.order.insert(position.clone());
        self.positions.insert(member.clone(), position);
    }

    pub(super) fn remove_member(&mut self, member: &Name) {
        if let Some(position) = self.positions.remove(member) {
            self.order.remove(&position);
        }
    }

    pub(super) fn members(&self) -> impl Iterator<Item = &Name> {
        self.positions.keys()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Records that one more agent here holds the chunk `index`.
    pub(super) fn add_copy(&mut self, index: usize) {
        self.copies[index] += 1;
        self.missing.remove(&index);
    }

    /// Records that an agent that held the chunk `index` left. Its neighbours
    /// may have unreported copies; treating the chunk as missing costs
    /// additional transfers at most.
    pub(super) fn remove_copy(&mut self, index: usize) {
        self.copies[index] -= 1;
        if self.copies[index] == 0 && !self.granted.contains_key(&index) {
            self.missing.insert(index);
        }
    }

    pub(super) fn granted(&self) -> &BTreeMap<usize, Granted> {
        &self.granted
    }

    /// Returns the chunks that are neither held here nor granted, in
    /// ascending order.
    pub(super) fn missing(&self) -> impl Iterator<Item = usize> + '_ {
        self.missing.iter().copied()
    }

    /// Returns the agent that receives the next grant; `None` if there are no
    /// agents here.
    pub(super) fn next_member(&self) -> Option<&Name> {
        self.order.first().map(|position| &position.member)
    }

    pub(super) fn grant(&mut self, index: usize, granted: Granted) {
        self.missing.remove(&index);
        self.requeue(&granted.member, |grants| grants + 1);
        self.granted.insert(index, granted);
    }

    /// Removes and returns the grant of a chunk, whether it was fulfilled or
    /// not. Returns `None` if the chunk is not granted.
    pub(super) fn end_grant(&mut self, index: usize) -> Option<Granted> {
        let granted = self.granted.remove(&index)?;
        self.requeue(&granted.member, |grants| grants.saturating_sub(1));
        if self.copies[index] == 0 {
            self.missing.insert(index);
        }
        Some(granted)
    }

    /// Updates an agent's number of grants and moves it behind all others
    /// with the same number.
    fn requeue(&mut self, member: &Name, grants: impl Fn(usize) -> usize) {
        let Some(position) = self.positions.get_mut(member) else { return };
        self.order.remove(position);
        position.grants = grants(position.grants);
        position.turn = self.next_turn;
        self.next_turn += 1;
        self.order.insert(position.clone());
    }
}
