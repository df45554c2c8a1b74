//! The connections of a port to which others connect.

use std::collections::BTreeMap;

/// Identifies a connection of a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Use {
    /// Nothing: it is kept for a later request, since the given time.
    Idle {
        /// Milliseconds of the steady clock.
        since_ms: u64,
    },
    /// A request's head is arriving.
    Head {
        /// Milliseconds of the steady clock.
        since_ms: u64,
    },
    /// A request's body is arriving.
    Body {
        /// Milliseconds of the steady clock.
        since_ms: u64,
        /// The bytes that have arrived.
        bytes: u64,
    },
    /// A request is in progress, or its answer is being written.
    Answer {
        /// Since when its caller reads nothing; `None` if it does.
        blocked_since_ms: Option<u64>,
    },
}

/// What a new connection gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admittance {
    /// A place that is free.
    Free(ConnectionId),
    /// The place of another one, which is closed.
    Instead(ConnectionId, ConnectionId),
    /// None: all others are answered. It waits until one ends.
    Wait,
}

/// The connections of a port.
///
/// If there is no place for another one, the one is closed that its caller can
/// best do without: idle ones first, then those whose requests have been
/// arriving for longest or most slowly, then those whose answers are not read.
#[derive(Clone, Debug)]
pub struct Connections {
    max: usize,
    last_id: u64,
    uses: BTreeMap<ConnectionId, Use>,
}

impl Connections {
    /// Creates a port with places for `max` connections, one at least.
    pub fn new(max: usize) -> Connections {
        Connections { max: max.max(1), last_id: 0, uses: BTreeMap::new() }
    }

    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.uses.len()
    }

    /// Decides about another connection.
    pub fn admit(&mut self, now_ms: u64) -> Admittance {
        let closed = match self.uses.len() < self.max {
            true => None,
            false => match self.most_dispensable(now_ms) {
                Some(id) => Some(id),
                None => return Admittance::Wait,
            },
        };
        if let Some(id) = closed {
            self.uses.remove(&id);
        }
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.uses.insert(id, Use::Idle { since_ms: now_ms });
        match closed {
            None => Admittance::Free(id),
            Some(closed) => Admittance::Instead(id, closed),
        }
    }

    /// Records what a connection is used for.
    pub fn set_use(&mut self, id: ConnectionId, used: Use) {
        if let Some(known) = self.uses.get_mut(&id) {
            *known = used;
        }
    }

    /// Returns the connections whose callers have read nothing of their answers
    /// for `ms` or longer.
    pub fn blocked_for(&self, now_ms: u64, ms: u64) -> Vec<ConnectionId> {
        let is_blocked = |used: &Use| match used {
            Use::Answer { blocked_since_ms: Some(since_ms) } => {
                now_ms >= since_ms + ms
            }
            _ => false,
        };
        let blocked = self.uses.iter().filter(|(_, used)| is_blocked(used));
        blocked.map(|(id, _)| *id).collect()
    }

    /// Returns what a connection is used for; `None` if it has been closed.
    pub fn used(&self, id: ConnectionId) -> Option<Use> {
        self.uses.get(&id).copied()
    }

    /// Records that a connection has ended.
    pub fn end(&mut self, id: ConnectionId) {
        self.uses.remove(&id);
    }

    /// Returns the connection that is closed first.
    fn most_dispensable(&self, now_ms: u64) -> Option<ConnectionId> {
        let ranked = self.uses.iter().filter_map(|(id, used)| {
            let (class, rank) = dispensability(now_ms, *used)?;
            Some((class, rank, *id))
        });
        ranked
            .min_by(|(a_class, a_rank, a), (b_class, b_rank, b)| {
                let by_class = a_class.cmp(b_class);
                by_class.then(a_rank.total_cmp(b_rank)).then(a.cmp(b))
            })
            .map(|(_, _, id)| id)
    }
}

/// Returns how soon a connection is closed, the lowest first: the class of its
/// use, and its rank within that; `None` if it is not closed for others.
fn dispensability(now_ms: u64, used: Use) -> Option<(u8, f64)> {
    match used {
        Use::Idle { since_ms } => Some((0, since_ms as f64)),
        Use::Head { since_ms } => Some((1, since_ms as f64)),
        Use::Body { since_ms, bytes } => {
            let age_ms = now_ms.saturating_sub(since_ms).max(1);
            Some((2, bytes as f64 / age_ms as f64))
        }
        Use::Answer { blocked_since_ms } => {
            blocked_since_ms.map(|since_ms| (3, since_ms as f64))
        }
    }
}
