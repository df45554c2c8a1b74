//! A target that loads what lies staged when it carries an order out.

use bytes::Bytes;
use raildale_core::swarm::{
    LoadMethod, OrderGuard, OrderOutcome, TargetStart, TargetState,
};

use super::{CHUNKS, chunk};

/// What turns bad this shortly before an order cannot be known, in
/// milliseconds.
const SPOILT_LATELY_MS: u64 = 3_000;

/// A chunk that lies staged.
#[derive(Clone, Debug)]
struct Staged {
    /// What was put there.
    data: Bytes,
    /// Since when it is spoilt.
    spoilt_ms: Option<u64>,
}

/// An order on its way.
#[derive(Clone, Debug)]
pub struct Order {
    /// The version that it names.
    pub version: u64,
    /// What becomes of what runs.
    pub method: LoadMethod,
    /// What it relies on.
    pub guard: OrderGuard,
}

/// A target.
#[derive(Debug)]
pub struct Target {
    /// What it tells of itself.
    pub state: TargetState,
    /// Versions that it loaded, oldest first.
    pub loaded: Vec<(u64, LoadMethod)>,
    /// Orders carried out over chunks of another version, or long spoilt.
    pub torn_orders: u32,
    start: u32,
    /// The number in its id: the same for starts under one name.
    name: u32,
    staged: Vec<Option<Staged>>,
}

impl Target {
    /// A target that serves a version, which lies staged; 0 for none.
    pub fn new(serves_version: u64) -> Target {
        Target::with_chunks(serves_version, CHUNKS)
    }

    /// The same, of versions of `chunk_count` chunks.
    pub fn with_chunks(serves_version: u64, chunk_count: u32) -> Target {
        let lies = |index| match serves_version {
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
            torn_orders: 0,
            start: 1,
            name: 1,
            staged: (0..chunk_count).map(lies).collect(),
        }
    }

    /// Which start is up.
    pub fn start(&self) -> TargetStart {
        TargetStart::Named(self.start_id().as_str().into())
    }

    fn start_id(&self) -> String {
        format!("start {}", self.name)
    }

    /// Starts anew, empty; what lies staged outlasts that.
    pub fn restart(&mut self) {
        self.start += 1;
        self.name = self.start;
        self.state.serves_version = 0;
        self.state.running = 0;
        self.state.orders = 0;
        self.state.born_ms = Some(u64::from(self.start));
    }

    /// Starts anew under its name; it holds and knows nothing of before.
    pub fn restart_under_its_name(&mut self) {
        let name = self.name;
        self.restart();
        self.name = name;
        self.staged.fill(None);
    }

    /// Takes a chunk into staging.
    pub fn put(&mut self, index: usize, data: Bytes) {
        self.staged[index] = Some(Staged::new(data));
    }

    /// A chunk that lies staged turns bad.
    pub fn spoil(&mut self, now_ms: u64, index: usize) {
        if let Some(staged) = &mut self.staged[index] {
            staged.spoilt_ms.get_or_insert(now_ms);
        }
    }

    /// What lies staged, with its places.
    pub fn staged(&self) -> Vec<(u32, Bytes)> {
        (0..)
            .zip(&self.staged)
            .filter_map(|(i, staged)| Some((i, staged.as_ref()?.read())))
            .collect()
    }

    /// Carries an order out. `LOAD_MS` later [`Target::finish`] is due if it
    /// began.
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
        self.torn_orders += u32::from(!self.is_whole(now_ms, order.version));
        self.state.orders += 1;
        self.state.serves_version = 0;
        self.state.running = 0;
        self.loaded.push((order.version, order.method));
        OrderOutcome::Taken
    }

    /// Serves what it loaded last, if it is still the start that began it.
    pub fn finish(&mut self, start: u32) {
        if let Some((version, _)) = self.loaded.last()
            && start == self.start
        {
            self.state.serves_version = *version;
        }
    }

    /// The number of the start that is up.
    pub fn start_number(&self) -> u32 {
        self.start
    }

    fn is_whole(&self, now_ms: u64, version: u64) -> bool {
        (0..).zip(&self.staged).all(|(index, staged)| {
            let Some(staged) = staged else { return false };
            let is_long_spoilt = staged
                .spoilt_ms
                .is_some_and(|ms| now_ms >= ms + SPOILT_LATELY_MS);
            staged.data == chunk(version, index) && !is_long_spoilt
        })
    }
}

impl Staged {
    fn new(data: Bytes) -> Staged {
        Staged { data, spoilt_ms: None }
    }

    /// What it reads as.
    fn read(&self) -> Bytes {
        match self.spoilt_ms {
            Some(_) => Bytes::from_static(b"spoilt"),
            None => self.data.clone(),
        }
    }
}
