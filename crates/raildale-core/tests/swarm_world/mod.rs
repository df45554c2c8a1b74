//! A simulation of many agents with their targets, on links that lose, corrupt
//! and delay transfers.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod target;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    net::{IpAddr, Ipv4Addr},
};

use bytes::Bytes;
use raildale_core::{
    Name,
    swarm::{
        Effect, Event, FetchError, Item, OrderOutcome, Peer, Source,
        SwapConfig, Swarm, SwarmConfig, TargetStart, TargetState, Ticket,
        WeightDigest, reducer::Content,
    },
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use target::{Order, Target};

/// The number of chunks of a version.
pub const CHUNKS: u32 = 12;

/// The start time of a run.
pub const START_MS: u64 = 1_000_000;

const TICK_MS: u64 = 50;
const LINK_DELAY_MS: u64 = 3;
const CHUNK_MS: u64 = 42;
const LOAD_MS: u64 = 300;

/// How long it takes to stage a chunk.
const PUT_MS: u64 = 4;

/// How long an agent waits for the answer to an order.
const ORDER_TIMEOUT_MS: u64 = 400;

/// The delay after which an unanswered order is carried out.
const LATE_ORDER_DELAY_MS: std::ops::Range<u64> = 100..12_000;

/// The faults injected in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Lost transfers per thousand.
    pub lost_per_mille: u32,
    /// Corrupt chunks per thousand chunks from the origin.
    pub corrupt_per_mille: u32,
    /// Whether each corrupt chunk has the same bytes.
    pub is_corruption_constant: bool,
    /// A chunk whose digest is wrong in every manifest from the origin.
    pub wrong_digest: Option<u32>,
    /// The number of agents that never respond.
    pub dead_agents: usize,
    /// Whether the origin is unreachable.
    pub is_origin_unreachable: bool,
    /// Unanswered orders per thousand.
    pub unanswered_orders_per_mille: u32,
    /// Restarts of a target per thousand ticks.
    pub target_restarts_per_mille: u32,
    /// Restarts of a target with the same id per thousand ticks.
    pub target_same_id_restarts_per_mille: u32,
    /// Restarts of an agent per thousand ticks.
    pub agent_restarts_per_mille: u32,
    /// Corruptions of a staged chunk per thousand ticks.
    pub staged_corruptions_per_mille: u32,
    /// Lost reports per thousand.
    pub lost_reports_per_mille: u32,
    /// Health checks per thousand that a full target rejects immediately and
    /// without its id, as it rejects a request.
    pub rejected_checks_per_mille: u32,
    /// Health checks per thousand that time out while waiting for a slot.
    pub lost_checks_per_mille: u32,
    /// Stagings per thousand that take a second longer than usual.
    pub slow_stagings_per_mille: u32,
}

/// A scheduled action at a machine.
#[derive(Clone, Debug)]
enum Action {
    /// An event reaches the agent, if its start number is unchanged.
    ToAgent(u32, Event),
    /// A chunk reaches the target's staging area, if the agent's start number
    /// is unchanged.
    Put(u32, usize, Bytes),
    /// An unanswered order is carried out.
    LateOrder(Order),
    /// The target finishes a load that the start with this number began.
    Loaded(u32),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at_ms: u64,
    number: u64,
    machine: usize,
}

/// The links shared by chunks: the two directions of each machine's link, and
/// the origin's.
#[derive(Clone, Debug)]
pub struct SharedLinks {
    /// The time that a chunk occupies a machine's link, in milliseconds.
    pub chunk_ms: u64,
    /// The time that a chunk occupies the origin's link, in milliseconds.
    pub origin_chunk_ms: u64,
    /// When each machine's outbound link is free.
    up_free_ms: Vec<u64>,
    /// When each machine's inbound link is free.
    down_free_ms: Vec<u64>,
    origin_free_ms: u64,
}

impl SharedLinks {
    /// Creates idle links for `count` machines.
    pub fn new(count: usize, chunk_ms: u64, origin_chunk_ms: u64) -> Self {
        SharedLinks {
            chunk_ms,
            origin_chunk_ms,
            up_free_ms: vec![0; count],
            down_free_ms: vec![0; count],
            origin_free_ms: 0,
        }
    }

    /// Returns when a chunk sent now by a machine, or by the origin if `from`
    /// is `None`, has been received.
    fn arrival_ms(&mut self, now: u64, from: Option<usize>, to: usize) -> u64 {
        let (free_ms, transfer_ms) = match from {
            Some(from) => (&mut self.up_free_ms[from], self.chunk_ms),
            None => (&mut self.origin_free_ms, self.origin_chunk_ms),
        };
        *free_ms = now.max(*free_ms) + transfer_ms;
        let sent_ms = *free_ms;
        let down_ms = &mut self.down_free_ms[to];
        *down_ms = sent_ms.max(*down_ms + self.chunk_ms);
        *down_ms
    }
}

/// An agent with its target.
pub struct Machine {
    /// The agent.
    pub swarm: Swarm,
    /// The target.
    pub target: Target,
    /// The number of previous starts of the agent.
    agent_number: u32,
}

/// A simulated fleet.
pub struct World {
    /// The current time.
    pub now_ms: u64,
    /// The machines.
    pub machines: Vec<Machine>,
    /// The number of chunks that the origin sent.
    pub origin_chunks: u64,
    /// The number of manifests that the origin sent.
    pub origin_manifests: u64,
    /// The chunks whose digests are wrong in the next manifests from the
    /// origin, by manifest.
    pub wrong_digests: VecDeque<Vec<u32>>,
    /// The maximum number of targets that accepted no new requests at the same
    /// time.
    pub max_closed: usize,
    /// The faults injected from now on.
    pub faults: Faults,
    /// The links shared by chunks. If `None`, every transfer takes the same
    /// time.
    pub links: Option<SharedLinks>,
    /// The number of chunks of a version.
    chunk_count: u32,
    /// The number of data centres, to which machines are assigned in rotation.
    centre_count: usize,
    /// When each machine first held a whole version, by version and machine.
    pub whole_ms: HashMap<(u64, usize), u64>,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<Scheduled>>,
    actions: HashMap<u64, Action>,
    next_number: u64,
    /// The requesting machine, version and item of each pending request.
    pending_requests: HashMap<u64, (usize, u64, Item)>,
    /// The named versions, with the times of naming.
    named: Vec<(u64, u64)>,
}

/// Returns the bytes of a chunk.
pub fn chunk(version: u64, index: u32) -> Bytes {
    Bytes::from(format!("chunk {index} of version {version}"))
}

/// Returns the digests of a version's chunks.
pub fn digests(version: u64) -> Vec<WeightDigest> {
    digests_of(version, CHUNKS)
}

fn digests_of(version: u64, count: u32) -> Vec<WeightDigest> {
    (0..count).map(|i| WeightDigest::of(&chunk(version, i))).collect()
}

/// Returns the address of a machine.
pub fn ip(machine: usize) -> IpAddr {
    let [.., high, low] = (machine as u32 + 1).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(10, 0, high, low))
}

/// Returns the data centre of a machine.
pub fn centre(machine: usize) -> Name {
    centre_of(machine, 3)
}

fn centre_of(machine: usize, centre_count: usize) -> Name {
    Name::from(["a", "b", "c", "d", "e"][machine % centre_count])
}

/// Creates an agent without any information.
pub fn agent(machine: usize) -> Swarm {
    agent_in(machine, centre(machine))
}

fn agent_in(machine: usize, data_centre: Name) -> Swarm {
    Swarm::new(SwarmConfig {
        ip: ip(machine),
        data_centre,
        max_transfers: 6,
        swap: SwapConfig::default(),
    })
}

/// Returns the event that describes the layout of the weights.
pub fn layout() -> Event {
    layout_of(CHUNKS)
}

fn layout_of(chunk_count: u32) -> Event {
    Event::Layout { chunk_count, may_cut: true, origin_connections: 48 }
}

impl World {
    /// Creates `count` machines whose targets serve version `serves`, 0 for
    /// none.
    pub fn new(seed: u64, count: usize, serves: u64, faults: Faults) -> World {
        World::of(seed, count, serves, faults, CHUNKS, 3)
    }

    /// Creates a large fleet in five data centres with shared links, whose
    /// versions have 48 chunks.
    pub fn large(seed: u64, count: usize, faults: Faults) -> World {
        const LINK_CHUNK_MS: u64 = 49;
        const ORIGIN_CHUNK_MS: u64 = 26;
        let mut world = World::of(seed, count, 1, faults, 48, 5);
        let links = SharedLinks::new(count, LINK_CHUNK_MS, ORIGIN_CHUNK_MS);
        world.links = Some(links);
        world
    }

    fn of(
        seed: u64,
        count: usize,
        serves: u64,
        faults: Faults,
        chunk_count: u32,
        centre_count: usize,
    ) -> World {
        let machine = |i| Machine {
            swarm: agent_in(i, centre_of(i, centre_count)),
            target: Target::with_chunks(serves, chunk_count),
            agent_number: 0,
        };
        let mut world = World {
            now_ms: START_MS,
            machines: (0..count).map(machine).collect(),
            origin_chunks: 0,
            origin_manifests: 0,
            wrong_digests: VecDeque::new(),
            max_closed: 0,
            faults,
            links: None,
            chunk_count,
            centre_count,
            whole_ms: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            actions: HashMap::new(),
            next_number: 0,
            pending_requests: HashMap::new(),
            named: Vec::new(),
        };
        for machine in 0..count {
            world.send_initial_events(machine);
        }
        world
    }

    /// Sends an agent the events that it receives at its start, in their
    /// order.
    fn send_initial_events(&mut self, machine: usize) {
        let mut peers = self.peers();
        for peer in &mut peers {
            peer.whole_version = 0;
        }
        self.schedule_event(0, machine, Event::Peers(peers));
        for (version, named_ms) in self.named.clone() {
            self.schedule_event(
                0,
                machine,
                Event::Named { version, named_ms },
            );
        }
        self.schedule_event(0, machine, layout_of(self.chunk_count));
    }

    /// Replaces a machine's agent and target by new ones without any state.
    pub fn replace(&mut self, machine: usize) {
        let empty = Target::with_chunks(0, self.chunk_count);
        self.machines[machine].target = empty;
        self.restart_agent(machine);
    }

    /// Restarts a machine's agent, which loses its state.
    pub fn restart_agent(&mut self, machine: usize) {
        let centre = centre_of(machine, self.centre_count);
        self.machines[machine].swarm = agent_in(machine, centre);
        self.machines[machine].agent_number += 1;
        self.send_initial_events(machine);
    }

    fn schedule(&mut self, in_ms: u64, machine: usize, action: Action) {
        let number = self.next_number;
        self.next_number += 1;
        self.actions.insert(number, action);
        let at_ms = self.now_ms + in_ms;
        self.queue.push(Reverse(Scheduled { at_ms, number, machine }));
    }

    fn schedule_event(&mut self, in_ms: u64, machine: usize, event: Event) {
        let agent = self.machines[machine].agent_number;
        self.schedule(in_ms, machine, Action::ToAgent(agent, event));
    }

    fn is_dead(&self, machine: usize) -> bool {
        machine >= self.machines.len() - self.faults.dead_agents
    }

    fn draw_fault(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1_000) < per_mille
    }

    /// Names a version.
    pub fn name_version(&mut self, version: u64) {
        let named_ms = self.now_ms;
        self.named.push((version, named_ms));
        for machine in 0..self.machines.len() {
            self.schedule_event(
                20,
                machine,
                Event::Named { version, named_ms },
            );
        }
    }

    /// Advances the simulation by `ms` milliseconds.
    pub fn run_for(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            let until_ms = self.now_ms + TICK_MS;
            while let Some(Reverse(due)) = self.queue.peek()
                && due.at_ms <= until_ms
            {
                let Some(Reverse(due)) = self.queue.pop() else { break };
                self.now_ms = self.now_ms.max(due.at_ms);
                if let Some(action) = self.actions.remove(&due.number) {
                    self.perform(due.machine, action);
                }
            }
            self.now_ms = until_ms;
            self.tick();
        }
    }

    fn perform(&mut self, machine: usize, action: Action) {
        let target_machine = &mut self.machines[machine];
        match action {
            Action::ToAgent(agent, event)
                if agent == target_machine.agent_number =>
            {
                self.reduce(machine, event);
            }
            Action::Put(agent, index, data)
                if agent == target_machine.agent_number =>
            {
                target_machine.target.put(index, data);
            }
            Action::ToAgent(..) | Action::Put(..) => {}
            Action::LateOrder(order) => {
                self.deliver_order(machine, &order);
            }
            Action::Loaded(start) => target_machine.target.finish(start),
        }
    }

    fn tick(&mut self) {
        for machine in 0..self.machines.len() {
            self.inject_faults(machine);
        }
        let peers = self.peers();
        for machine in 0..self.machines.len() {
            let state =
                match self.draw_fault(self.faults.lost_reports_per_mille) {
                    true => TargetState::default(),
                    false => self.machines[machine].target.state,
                };
            self.reduce(machine, Event::Target(state));
            self.reduce(machine, Event::Tick);
            self.reduce(machine, Event::Peers(peers.clone()));
        }
        for machine in 0..self.machines.len() {
            let whole = self.machines[machine].swarm.report().whole_version;
            let now_ms = self.now_ms;
            self.whole_ms.entry((whole, machine)).or_insert(now_ms);
        }
        let closed = (0..self.machines.len())
            .filter(|machine| !self.is_dead(*machine))
            .filter(|machine| {
                let machine = &self.machines[*machine];
                !machine.swarm.report().is_accepting
                    && machine.target.state.serves_version > 0
            })
            .count();
        self.max_closed = self.max_closed.max(closed);
    }

    fn inject_faults(&mut self, machine: usize) {
        if self.draw_fault(self.faults.target_restarts_per_mille) {
            self.machines[machine].target.restart();
        }
        if self.draw_fault(self.faults.target_same_id_restarts_per_mille) {
            self.machines[machine].target.restart_with_same_id();
        }
        if self.draw_fault(self.faults.agent_restarts_per_mille) {
            self.restart_agent(machine);
        }
        if self.draw_fault(self.faults.staged_corruptions_per_mille) {
            let index = self.rng.random_range(0..self.chunk_count as usize);
            self.machines[machine].target.corrupt(self.now_ms, index);
        }
    }

    fn peers(&self) -> Vec<Peer> {
        self.machines
            .iter()
            .enumerate()
            .map(|(i, machine)| Peer {
                ip: ip(i),
                data_centre: centre_of(i, self.centre_count),
                whole_version: machine.swarm.report().whole_version,
                serves_version: machine.target.state.serves_version,
                is_slow: self.is_dead(i) && self.now_ms > START_MS,
            })
            .collect()
    }

    /// Passes an event to an agent and carries out the resulting effects.
    pub fn reduce(&mut self, machine: usize, event: Event) {
        if self.is_dead(machine) {
            return;
        }
        let mut effects = Vec::new();
        let now_ms = self.now_ms;
        self.machines[machine].swarm.reduce(now_ms, event, &mut effects);
        for effect in effects {
            self.apply_effect(machine, effect);
        }
    }

    fn apply_effect(&mut self, machine: usize, effect: Effect) {
        match effect {
            Effect::Fetch { version, item, source, hops } => {
                self.fetch(machine, version, item, source, hops);
            }
            Effect::Answer { ticket, content } => {
                self.answer(machine, ticket, content);
            }
            Effect::ReadStaging => {
                let chunks = Some(self.machines[machine].target.staged());
                self.schedule_event(
                    30,
                    machine,
                    Event::StagingRead { chunks },
                );
            }
            Effect::QueryStart => {
                let start = self.machines[machine].target.start();
                if self.draw_fault(self.faults.rejected_checks_per_mille) {
                    let start = TargetStart::Lost;
                    self.schedule_event(2, machine, Event::TargetStart(start));
                } else if self.draw_fault(self.faults.lost_checks_per_mille) {
                    let start = TargetStart::Lost;
                    self.schedule_event(
                        400,
                        machine,
                        Event::TargetStart(start),
                    );
                } else {
                    self.schedule_event(2, machine, Event::TargetStart(start));
                }
            }
            Effect::Stage { version, chunks } => {
                self.stage(machine, version, chunks);
            }
            Effect::Order { version, method, guard } => {
                self.order(machine, Order { version, method, guard });
            }
            Effect::Report | Effect::Log(..) => {}
        }
    }

    fn stage(&mut self, machine: usize, version: u64, chunks: Vec<Bytes>) {
        let agent = self.machines[machine].agent_number;
        let is_slow = self.draw_fault(self.faults.slow_stagings_per_mille);
        let put_ms = if is_slow { PUT_MS + 80 } else { PUT_MS };
        let mut in_ms = 0;
        for (index, data) in chunks.into_iter().enumerate() {
            in_ms += put_ms;
            self.schedule(in_ms, machine, Action::Put(agent, index, data));
        }
        let is_done = true;
        self.schedule_event(
            in_ms,
            machine,
            Event::Staged { version, is_done },
        );
    }

    fn order(&mut self, machine: usize, order: Order) {
        if self.draw_fault(self.faults.unanswered_orders_per_mille) {
            let late_ms = self.rng.random_range(LATE_ORDER_DELAY_MS);
            let late = Action::LateOrder(order.clone());
            self.schedule(late_ms, machine, late);
            let outcome = OrderOutcome::Unanswered;
            let event = Event::Ordered { guard: order.guard, outcome };
            return self.schedule_event(ORDER_TIMEOUT_MS, machine, event);
        }
        let outcome = self.deliver_order(machine, &order);
        let event = Event::Ordered { guard: order.guard, outcome };
        self.schedule_event(2, machine, event);
    }

    /// Delivers an order to the target and schedules the end of the load if
    /// one begins.
    fn deliver_order(
        &mut self,
        machine: usize,
        order: &Order,
    ) -> OrderOutcome {
        let target = &mut self.machines[machine].target;
        let before = target.state.orders;
        let outcome = target.carry_out(self.now_ms, order);
        if target.state.orders > before {
            let start = target.start_number();
            self.schedule(LOAD_MS, machine, Action::Loaded(start));
        }
        outcome
    }

    fn fetch(
        &mut self,
        machine: usize,
        version: u64,
        item: Item,
        source: Source,
        hops: u32,
    ) {
        if self.draw_fault(self.faults.lost_per_mille) {
            let event =
                transfer_event(version, item, source, Err(FetchError::Lost));
            return self.schedule_event(600, machine, event);
        }
        match source {
            Source::Origin if self.faults.is_origin_unreachable => {
                let event = transfer_event(
                    version,
                    item,
                    source,
                    Err(FetchError::Lost),
                );
                self.schedule_event(2 * LINK_DELAY_MS, machine, event);
            }
            Source::Origin => {
                let event = self.origin_answer(version, item);
                let took_ms = self.transfer_ms(None, machine, item);
                self.schedule_event(
                    2 * LINK_DELAY_MS + took_ms,
                    machine,
                    event,
                );
            }
            Source::Peer(peer) => {
                let to = (0..self.machines.len()).find(|i| ip(*i) == peer);
                let to = to.expect("the peer is one of us");
                let number = self.next_number;
                self.pending_requests.insert(number, (machine, version, item));
                let ticket = Ticket(number);
                let event =
                    Event::ItemRequested { ticket, version, item, hops };
                self.schedule_event(LINK_DELAY_MS, to, event);
            }
        }
    }

    fn origin_answer(&mut self, version: u64, item: Item) -> Event {
        let source = Source::Origin;
        match item {
            Item::Manifest => Event::Manifest {
                version,
                source,
                result: Ok(self.origin_digests(version)),
            },
            Item::Chunk(index) => {
                self.origin_chunks += 1;
                let data = match self.draw_fault(self.faults.corrupt_per_mille)
                {
                    true => self.corrupt_chunk(),
                    false => chunk(version, index),
                };
                transfer_event(version, item, source, Ok(data))
            }
        }
    }

    /// Returns the digests in the next manifest from the origin.
    fn origin_digests(&mut self, version: u64) -> Vec<WeightDigest> {
        self.origin_manifests += 1;
        let mut digests = digests_of(version, self.chunk_count);
        let mut wrong = self.wrong_digests.pop_front().unwrap_or_default();
        wrong.extend(self.faults.wrong_digest);
        for index in wrong {
            digests[index as usize] = WeightDigest::of(b"wrong");
        }
        digests
    }

    fn corrupt_chunk(&self) -> Bytes {
        match self.faults.is_corruption_constant {
            true => Bytes::from_static(b"spoilt"),
            false => Bytes::from(format!("spoilt {}", self.origin_chunks)),
        }
    }

    fn answer(&mut self, from: usize, ticket: Ticket, content: Content) {
        let Some((to, version, item)) =
            self.pending_requests.remove(&ticket.0)
        else {
            return;
        };
        let source = Source::Peer(ip(from));
        let took_ms = match content {
            Content::Chunk(_) => self.transfer_ms(Some(from), to, item),
            Content::Manifest(_) | Content::Absent => CHUNK_MS,
        };
        let event = match content {
            Content::Manifest(digests) => {
                Event::Manifest { version, source, result: Ok(digests) }
            }
            Content::Chunk(data) => {
                transfer_event(version, item, source, Ok(data))
            }
            Content::Absent => {
                transfer_event(version, item, source, Err(FetchError::Absent))
            }
        };
        self.schedule_event(LINK_DELAY_MS + took_ms, to, event);
    }

    /// Returns the transfer time of an item, in milliseconds.
    fn transfer_ms(
        &mut self,
        from: Option<usize>,
        to: usize,
        item: Item,
    ) -> u64 {
        let now_ms = self.now_ms;
        match (&mut self.links, item) {
            (Some(links), Item::Chunk(_)) => {
                links.arrival_ms(now_ms, from, to) - now_ms
            }
            _ => CHUNK_MS,
        }
    }

    /// Returns the times in milliseconds from `since_ms` until the first, half
    /// and all live machines held a version whole; `None` for those not
    /// reached.
    pub fn fill_ms(&self, version: u64, since_ms: u64) -> [Option<u64>; 3] {
        let alive = self.machines.len() - self.faults.dead_agents;
        let mut times: Vec<u64> = (0..alive)
            .filter_map(|machine| self.whole_ms.get(&(version, machine)))
            .map(|whole_ms| whole_ms - since_ms)
            .collect();
        times.sort_unstable();
        let at = |place: usize| times.get(place).copied();
        [at(0), at(alive / 2 - 1), at(alive - 1)]
    }

    /// Returns the number of targets that serve a version.
    pub fn serving_count(&self, version: u64) -> usize {
        self.machines
            .iter()
            .filter(|machine| machine.target.state.serves_version == version)
            .count()
    }

    /// Returns the number of orders carried out with staged chunks of another
    /// version or with chunks that had been corrupt for long.
    pub fn invalid_loads(&self) -> u32 {
        self.machines.iter().map(|machine| machine.target.invalid_loads).sum()
    }
}

fn transfer_event(
    version: u64,
    item: Item,
    source: Source,
    result: Result<Bytes, FetchError>,
) -> Event {
    match (item, result) {
        (Item::Chunk(index), result) => {
            let took_ms = CHUNK_MS;
            Event::Chunk { version, index, source, result, took_ms }
        }
        (Item::Manifest, result) => {
            let error = result.err().unwrap_or(FetchError::Absent);
            Event::Manifest { version, source, result: Err(error) }
        }
    }
}
