//! A simulated target that loads the staged chunks when it carries out an
//! order.

use bytes::Bytes;
use raildale_core::swarm::{
    LoadMethod, OrderGuard, OrderOutcome, TargetStart, TargetState,
};

use super::{CHUNKS, chunk};

/// A chunk that became corrupt less than this many milliseconds before an
/// order cannot have been noticed by the agent.
const RECENT_CORRUPTION_MS: u64 = 3_000;

/// A staged chunk.
#[derive(Clone, Debug)]
struct Staged {
    /// The staged bytes.
    data: Bytes,
    /// When it became corrupt.
    corrupt_since_ms: Option<u64>,
}

/// An order in transit.
#[derive(Clone, Debug)]
pub struct Order {
    /// The version to load.
    pub version: u64,
    /// How running requests are treated.
    pub method: LoadMethod,
    /// The condition under which the target accepts it.
    pub guard: OrderGuard,
}

/// A simulated target.
#[derive(Debug)]
pub struct Target {
    /// The state that it reports.
    pub state: TargetState,
    /// The versions that it loaded, oldest first.
    pub loaded: Vec<(u64, LoadMethod)>,
    /// The number of orders carried out with staged chunks of another version
    /// or with chunks that had been corrupt for long.
    pub invalid_loads: u32,
    start: u32,
    /// The number in its start id, which restarts with the same id share.
    id_number: u32,
    staged: Vec<Option<Staged>>,
}

impl Target {
    /// Creates a target that serves a version, whose chunks are staged; 0 for
    /// none.
    pub fn new(serves_version: u64) -> Target {
        Target::with_chunks(serves_version, CHUNKS)
    }

    /// Does the same for versions of `chunk_count` chunks.
    pub fn with_chunks(serves_version: u64, chunk_count: u32) -> Target {
        let staged_chunk = |index| match serves_version {
            0 => None,
            version => Some(Staged::new(chunk(version, index))),
        };
        Target {
            state: TargetState {
                notice: Default::default(),
                is_up: true,
                serves_version,
                running: 4,
                queued: 0,
                pace: 1.0,
                orders: 0,
                born_ms: Some(1),
            },
            loaded: Vec::new(),
            invalid_loads: 0,
            start: 1,
            id_number: 1,
            staged: (0..chunk_count).map(staged_chunk).collect(),
        }
    }

    /// Returns the current start.
    pub fn start(&self) -> TargetStart {
        TargetStart::Named(self.start_id().as_str().into())
    }

    fn start_id(&self) -> String {
        format!("start {}", self.id_number)
    }

    /// Restarts without a loaded version. Staged chunks are kept.
    pub fn restart(&mut self) {
        self.start += 1;
        self.id_number = self.start;
        self.state.serves_version = 0;
        self.state.running = 0;
        self.state.orders = 0;
        self.state.born_ms = Some(u64::from(self.start));
    }

    /// Restarts with the same id. Staged chunks are lost.
    pub fn restart_with_same_id(&mut self) {
        let id_number = self.id_number;
        self.restart();
        self.id_number = id_number;
        self.staged.fill(None);
    }

    /// Stages a chunk.
    pub fn put(&mut self, index: usize, data: Bytes) {
        self.staged[index] = Some(Staged::new(data));
    }

    /// Corrupts a staged chunk.
    pub fn corrupt(&mut self, now_ms: u64, index: usize) {
        if let Some(staged) = &mut self.staged[index] {
            staged.corrupt_since_ms.get_or_insert(now_ms);
        }
    }

    /// Returns the staged chunks with their indices.
    pub fn staged(&self) -> Vec<(u32, Bytes)> {
        (0..)
            .zip(&self.staged)
            .filter_map(|(i, staged)| Some((i, staged.as_ref()?.read())))
            .collect()
    }

    /// Carries out an order. If that begins a load, [`Target::finish`] is due
    /// `LOAD_MS` later.
    pub fn carry_out(&mut self, now_ms: u64, order: &Order) -> OrderOutcome {
        let id = self.start_id();
        if order.guard.start.as_deref().is_some_and(|start| *start != *id) {
            return OrderOutcome::Misdirected;
        }
        if order.guard.orders != self.state.orders {
            return OrderOutcome::Refused;
        }
        if self.state.serves_version == order.version {
            return OrderOutcome::Taken;
        }
        if self.staged.iter().any(Option::is_none) {
            return OrderOutcome::Refused;
        }
        self.invalid_loads += u32::from(!self.is_whole(now_ms, order.version));
        self.state.orders += 1;
        self.state.serves_version = 0;
        self.state.running = 0;
        self.loaded.push((order.version, order.method));
        OrderOutcome::Taken
    }

    /// Serves the version loaded last, if `start` is still the current start.
    pub fn finish(&mut self, start: u32) {
        if let Some((version, _)) = self.loaded.last()
            && start == self.start
        {
            self.state.serves_version = *version;
        }
    }

    /// Returns the number of the current start.
    pub fn start_number(&self) -> u32 {
        self.start
    }

    fn is_whole(&self, now_ms: u64, version: u64) -> bool {
        (0..).zip(&self.staged).all(|(index, staged)| {
            let Some(staged) = staged else { return false };
            let is_long_corrupt = staged
                .corrupt_since_ms
                .is_some_and(|ms| now_ms >= ms + RECENT_CORRUPTION_MS);
            staged.data == chunk(version, index) && !is_long_corrupt
        })
    }
}

impl Staged {
    fn new(data: Bytes) -> Staged {
        Staged { data, corrupt_since_ms: None }
    }

    /// Returns the bytes that a read of the staging area yields.
    fn read(&self) -> Bytes {
        match self.corrupt_since_ms {
            Some(_) => Bytes::from_static(b"spoilt"),
            None => self.data.clone(),
        }
    }
}
