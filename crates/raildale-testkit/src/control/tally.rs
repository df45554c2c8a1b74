//! What is counted during a simulation.

use hdrhistogram::Histogram;
use raildale_core::catalog::Kind;

/// The messages of one host in one direction.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// The number of messages.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Traffic {
    fn add(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

/// What is counted. Traffic counts from the end of the warm-up.
#[derive(Debug)]
pub struct Tally {
    warm_up_us: u64,
    /// What each entry host sent.
    pub sent: Vec<Traffic>,
    /// What each entry host received, or would have if it had run.
    pub received: Vec<Traffic>,
    /// The lists that each agent received.
    pub lists: Vec<Traffic>,
    /// What crossed between data centres.
    pub crossing: Traffic,
    /// The lists of entry hosts among it, over the whole time.
    pub crossing_lists: Traffic,
    /// The configurations and lists of targets among it, over the whole time.
    pub crossing_objects: Traffic,
    /// Digests that were too large for a datagram.
    pub oversized_digests: u64,
    /// The calls of the store that read objects, over the whole time.
    pub store_calls: u64,
    /// The ages of the last digests of other data centres, in microseconds.
    pub digest_ages_us: Histogram<u64>,
    /// For each change of the configuration, the milliseconds until each entry
    /// host knew it.
    pub changes_ms: Vec<Vec<u64>>,
    /// The milliseconds from each first start to readiness.
    pub first_ready_ms: Vec<u64>,
    /// The milliseconds from each later start to readiness.
    pub ready_again_ms: Vec<u64>,
    /// The milliseconds from a kill until no live entry host takes a killed
    /// one that is still down for alive; the worst kill counts.
    pub loss_known_ms: u64,
    /// How often a live entry host was wrong about whether another is alive.
    pub wrong_beliefs: u64,
    /// How often that was checked.
    pub beliefs: u64,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new(
        warm_up_us: u64,
        entry_hosts: usize,
        agents: usize,
        changes: usize,
    ) -> Tally {
        Tally {
            warm_up_us,
            sent: vec![Traffic::default(); entry_hosts],
            received: vec![Traffic::default(); entry_hosts],
            lists: vec![Traffic::default(); agents],
            crossing: Traffic::default(),
            crossing_lists: Traffic::default(),
            crossing_objects: Traffic::default(),
            oversized_digests: 0,
            store_calls: 0,
            digest_ages_us: Histogram::new(3).expect("a valid precision"),
            changes_ms: vec![Vec::new(); changes],
            first_ready_ms: Vec::new(),
            ready_again_ms: Vec::new(),
            loss_known_ms: 0,
            wrong_beliefs: 0,
            beliefs: 0,
        }
    }

    /// Returns whether messages count.
    pub fn is_counting(&self, now_us: u64) -> bool {
        now_us >= self.warm_up_us
    }

    /// Records a message from one entry host to another.
    pub fn record_message(
        &mut self,
        now_us: u64,
        from: usize,
        to: usize,
        bytes: u64,
    ) {
        if self.is_counting(now_us) {
            self.sent[from].add(bytes);
            self.received[to].add(bytes);
        }
    }

    /// Records that a message crosses between data centres.
    pub fn record_crossing(&mut self, now_us: u64, bytes: u64) {
        if self.is_counting(now_us) {
            self.crossing.add(bytes);
        }
    }

    /// Records that a kind of object crosses between data centres.
    pub fn record_crossing_kind(&mut self, kind: Kind, bytes: u64) {
        match kind {
            Kind::EntryHosts => self.crossing_lists.add(bytes),
            _ => self.crossing_objects.add(bytes),
        }
    }

    /// Records a list of agents from an entry host to an agent.
    pub fn record_list(
        &mut self,
        now_us: u64,
        from: usize,
        agent: usize,
        bytes: u64,
    ) {
        if self.is_counting(now_us) {
            self.sent[from].add(bytes);
            self.lists[agent].add(bytes);
        }
    }

    /// Records the age of a data centre's last digest at an entry host.
    pub fn record_digest_age(&mut self, age_us: u64) {
        let recorded = self.digest_ages_us.record(age_us);
        recorded.expect("the histogram grows as needed");
    }

    /// Records that an entry host became ready.
    pub fn record_ready(&mut self, is_first_start: bool, after_ms: u64) {
        match is_first_start {
            true => self.first_ready_ms.push(after_ms),
            false => self.ready_again_ms.push(after_ms),
        }
    }
}
