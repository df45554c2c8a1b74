//! Many agents with their targets, over links that lose, spoil and stall.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod target;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
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

/// Chunks of a version.
pub const CHUNKS: u32 = 12;

/// When a run begins.
pub const START_MS: u64 = 1_000_000;

const TICK_MS: u64 = 50;
const WAY_MS: u64 = 3;
const CHUNK_MS: u64 = 42;
const LOAD_MS: u64 = 300;

/// How long a chunk takes to be staged.
const PUT_MS: u64 = 4;

/// How long an agent waits for the answer to an order.
const ORDER_PATIENCE_MS: u64 = 400;

/// How late an order without an answer is carried out.
const LATE_MS: std::ops::Range<u64> = 100..12_000;

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Of a thousand transfers, those that are lost.
    pub lost_per_mille: u32,
    /// Of a thousand chunks from the origin, those that are spoilt.
    pub spoilt_per_mille: u32,
    /// Agents that answer nothing.
    pub dead: usize,
    /// Whether the origin gives nothing.
    pub is_origin_away: bool,
    /// Of a thousand orders, those that get no answer.
    pub late_orders_per_mille: u32,
    /// Of a thousand ticks, those at which a target starts anew.
    pub target_restarts_per_mille: u32,
    /// Of a thousand ticks, those at which a target starts anew under its
    /// name.
    pub target_rebirths_per_mille: u32,
    /// Of a thousand ticks, those at which an agent starts anew.
    pub agent_restarts_per_mille: u32,
    /// Of a thousand ticks, those at which a staged chunk turns bad.
    pub rot_per_mille: u32,
    /// Of a thousand reports, those that do not come in time.
    pub deaf_per_mille: u32,
    /// Of a thousand health checks, those that a full target rejects at once,
    /// as it does a request: without its id.
    pub rejected_checks_per_mille: u32,
    /// Of a thousand health checks, those that wait for a slot in vain.
    pub lost_checks_per_mille: u32,
    /// Of a thousand stagings, those that take a second more than usual.
    pub slow_stagings_per_mille: u32,
}

/// Something that happens at a machine.
#[derive(Clone, Debug)]
enum Happening {
    /// An event reaches the agent that was started as the one numbered so.
    ToAgent(u32, Event),
    /// A chunk reaches the target's staging.
    Put(u32, usize, Bytes),
    /// An order is carried out, unanswered.
    LateOrder(Order),
    /// The target ends a load that this start began.
    Loaded(u32),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at_ms: u64,
    number: u64,
    machine: usize,
}

/// Links that chunks share: every machine's own, both ways, and the origin's.
#[derive(Clone, Debug)]
pub struct SharedLinks {
    /// Milliseconds that a chunk takes on a machine's link.
    pub chunk_ms: u64,
    /// Milliseconds that a chunk takes on the origin's.
    pub origin_chunk_ms: u64,
    /// When each machine's link has sent what waits for it.
    up_free_ms: Vec<u64>,
    /// When each machine's link has taken in what is on its way.
    down_free_ms: Vec<u64>,
    origin_free_ms: u64,
}

impl SharedLinks {
    /// Idle links of `count` machines.
    pub fn new(count: usize, chunk_ms: u64, origin_chunk_ms: u64) -> Self {
        SharedLinks {
            chunk_ms,
            origin_chunk_ms,
            up_free_ms: vec![0; count],
            down_free_ms: vec![0; count],
            origin_free_ms: 0,
        }
    }

    /// When a chunk that leaves now from a machine, or the origin, has come.
    fn arrival_ms(&mut self, now: u64, from: Option<usize>, to: usize) -> u64 {
        let (free_ms, takes_ms) = match from {
            Some(from) => (&mut self.up_free_ms[from], self.chunk_ms),
            None => (&mut self.origin_free_ms, self.origin_chunk_ms),
        };
        *free_ms = now.max(*free_ms) + takes_ms;
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
    /// Starts of the agent before this one.
    agent_number: u32,
}

/// A fleet.
pub struct World {
    /// The time.
    pub now_ms: u64,
    /// The machines.
    pub machines: Vec<Machine>,
    /// Chunks that the origin sent.
    pub origin_chunks: u64,
    /// Targets at most that took nothing new at once.
    pub closed_most: usize,
    /// What goes wrong from now on.
    pub faults: Faults,
    /// The links that chunks share; without, each takes the same time.
    pub links: Option<SharedLinks>,
    /// Chunks of a version.
    chunk_count: u32,
    /// Data centres, among which machines stand in turn.
    centre_count: usize,
    /// When each machine held a version whole first.
    pub whole_ms: HashMap<(u64, usize), u64>,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<Due>>,
    happenings: HashMap<u64, Happening>,
    next_number: u64,
    /// Who asked under a ticket, for what.
    asked: HashMap<u64, (usize, u64, Item)>,
    /// Versions that were named, and when.
    named: Vec<(u64, u64)>,
}

/// The bytes of a chunk.
pub fn chunk(version: u64, index: u32) -> Bytes {
    Bytes::from(format!("chunk {index} of version {version}"))
}

/// The digests of a version's chunks.
pub fn digests(version: u64) -> Vec<WeightDigest> {
    digests_of(version, CHUNKS)
}

fn digests_of(version: u64, count: u32) -> Vec<WeightDigest> {
    (0..count).map(|i| WeightDigest::of(&chunk(version, i))).collect()
}

/// The address of a machine.
pub fn ip(machine: usize) -> IpAddr {
    let [.., high, low] = (machine as u32 + 1).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(10, 0, high, low))
}

/// The data centre of a machine.
pub fn centre(machine: usize) -> Name {
    centre_of(machine, 3)
}

fn centre_of(machine: usize, centre_count: usize) -> Name {
    Name::from(["a", "b", "c", "d", "e"][machine % centre_count])
}

/// An agent that knows nothing yet.
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

/// What an agent is told of the weights' layout.
pub fn layout() -> Event {
    layout_of(CHUNKS)
}

fn layout_of(chunk_count: u32) -> Event {
    Event::Layout { chunk_count, may_cut: true, origin_connections: 48 }
}

impl World {
    /// `count` machines whose targets serve `serves`, 0 for nothing.
    pub fn new(seed: u64, count: usize, serves: u64, faults: Faults) -> World {
        World::of(seed, count, serves, faults, CHUNKS, 3)
    }

    /// A large fleet in five data centres, whose versions have 48 chunks on
    /// links that they share.
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
            closed_most: 0,
            faults,
            links: None,
            chunk_count,
            centre_count,
            whole_ms: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            next_number: 0,
            asked: HashMap::new(),
            named: Vec::new(),
        };
        for machine in 0..count {
            world.brief(machine);
        }
        world
    }

    /// What an agent learns at its start, in its order.
    fn brief(&mut self, machine: usize) {
        let mut peers = self.peers();
        for peer in &mut peers {
            peer.whole_version = 0;
        }
        self.tell(0, machine, Event::Peers(peers));
        for (version, named_ms) in self.named.clone() {
            self.tell(0, machine, Event::Named { version, named_ms });
        }
        self.tell(0, machine, layout_of(self.chunk_count));
    }

    /// Loses a machine's agent and target; both start anew, empty.
    pub fn replace(&mut self, machine: usize) {
        let empty = Target::with_chunks(0, self.chunk_count);
        self.machines[machine].target = empty;
        self.restart_agent(machine);
    }

    fn restart_agent(&mut self, machine: usize) {
        let centre = centre_of(machine, self.centre_count);
        self.machines[machine].swarm = agent_in(machine, centre);
        self.machines[machine].agent_number += 1;
        self.brief(machine);
    }

    fn push(&mut self, in_ms: u64, machine: usize, happening: Happening) {
        let number = self.next_number;
        self.next_number += 1;
        self.happenings.insert(number, happening);
        let at_ms = self.now_ms + in_ms;
        self.queue.push(Reverse(Due { at_ms, number, machine }));
    }

    fn tell(&mut self, in_ms: u64, machine: usize, event: Event) {
        let agent = self.machines[machine].agent_number;
        self.push(in_ms, machine, Happening::ToAgent(agent, event));
    }

    fn is_dead(&self, machine: usize) -> bool {
        machine >= self.machines.len() - self.faults.dead
    }

    fn strikes(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1_000) < per_mille
    }

    /// Names a version.
    pub fn name(&mut self, version: u64) {
        let named_ms = self.now_ms;
        self.named.push((version, named_ms));
        for machine in 0..self.machines.len() {
            self.tell(20, machine, Event::Named { version, named_ms });
        }
    }

    /// Lets time pass.
    pub fn run_for(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            let until_ms = self.now_ms + TICK_MS;
            while let Some(Reverse(due)) = self.queue.peek()
                && due.at_ms <= until_ms
            {
                let Some(Reverse(due)) = self.queue.pop() else { break };
                self.now_ms = self.now_ms.max(due.at_ms);
                if let Some(happening) = self.happenings.remove(&due.number) {
                    self.happen(due.machine, happening);
                }
            }
            self.now_ms = until_ms;
            self.tick();
        }
    }

    fn happen(&mut self, machine: usize, happening: Happening) {
        let known = &mut self.machines[machine];
        match happening {
            Happening::ToAgent(agent, event)
                if agent == known.agent_number =>
            {
                self.reduce(machine, event);
            }
            Happening::Put(agent, index, data)
                if agent == known.agent_number =>
            {
                known.target.put(index, data);
            }
            Happening::ToAgent(..) | Happening::Put(..) => {}
            Happening::LateOrder(order) => {
                self.take_order(machine, &order);
            }
            Happening::Loaded(start) => known.target.finish(start),
        }
    }

    fn tick(&mut self) {
        for machine in 0..self.machines.len() {
            self.strike(machine);
        }
        let peers = self.peers();
        for machine in 0..self.machines.len() {
            let state = match self.strikes(self.faults.deaf_per_mille) {
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
        self.closed_most = self.closed_most.max(closed);
    }

    fn strike(&mut self, machine: usize) {
        if self.strikes(self.faults.target_restarts_per_mille) {
            self.machines[machine].target.restart();
        }
        if self.strikes(self.faults.target_rebirths_per_mille) {
            self.machines[machine].target.restart_under_its_name();
        }
        if self.strikes(self.faults.agent_restarts_per_mille) {
            self.restart_agent(machine);
        }
        if self.strikes(self.faults.rot_per_mille) {
            let index = self.rng.random_range(0..self.chunk_count as usize);
            self.machines[machine].target.spoil(self.now_ms, index);
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

    /// Gives an event to an agent, and carries out what comes of it.
    pub fn reduce(&mut self, machine: usize, event: Event) {
        if self.is_dead(machine) {
            return;
        }
        let mut effects = Vec::new();
        let now_ms = self.now_ms;
        self.machines[machine].swarm.reduce(now_ms, event, &mut effects);
        for effect in effects {
            self.carry_out(machine, effect);
        }
    }

    fn carry_out(&mut self, machine: usize, effect: Effect) {
        match effect {
            Effect::Fetch { version, item, source, hops } => {
                self.fetch(machine, version, item, source, hops);
            }
            Effect::Answer { ticket, content } => {
                self.answer(machine, ticket, content);
            }
            Effect::ReadStaging => {
                let chunks = Some(self.machines[machine].target.staged());
                self.tell(30, machine, Event::StagingRead { chunks });
            }
            Effect::QueryStart => {
                let start = self.machines[machine].target.start();
                if self.strikes(self.faults.rejected_checks_per_mille) {
                    let start = TargetStart::Lost;
                    self.tell(2, machine, Event::TargetStart(start));
                } else if self.strikes(self.faults.lost_checks_per_mille) {
                    let start = TargetStart::Lost;
                    self.tell(400, machine, Event::TargetStart(start));
                } else {
                    self.tell(2, machine, Event::TargetStart(start));
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
        let is_slow = self.strikes(self.faults.slow_stagings_per_mille);
        let put_ms = if is_slow { PUT_MS + 80 } else { PUT_MS };
        let mut in_ms = 0;
        for (index, data) in chunks.into_iter().enumerate() {
            in_ms += put_ms;
            self.push(in_ms, machine, Happening::Put(agent, index, data));
        }
        let is_done = true;
        self.tell(in_ms, machine, Event::Staged { version, is_done });
    }

    fn order(&mut self, machine: usize, order: Order) {
        if self.strikes(self.faults.late_orders_per_mille) {
            let late_ms = self.rng.random_range(LATE_MS);
            let late = Happening::LateOrder(order.clone());
            self.push(late_ms, machine, late);
            let outcome = OrderOutcome::Unanswered;
            let event = Event::Ordered { guard: order.guard, outcome };
            return self.tell(ORDER_PATIENCE_MS, machine, event);
        }
        let outcome = self.take_order(machine, &order);
        let event = Event::Ordered { guard: order.guard, outcome };
        self.tell(2, machine, event);
    }

    /// The target takes an order, and loads if that begins something.
    fn take_order(&mut self, machine: usize, order: &Order) -> OrderOutcome {
        let target = &mut self.machines[machine].target;
        let before = target.state.orders;
        let outcome = target.carry_out(self.now_ms, order);
        if target.state.orders > before {
            let start = target.start_number();
            self.push(LOAD_MS, machine, Happening::Loaded(start));
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
        if self.strikes(self.faults.lost_per_mille) {
            let event = came(version, item, source, Err(FetchError::Lost));
            return self.tell(600, machine, event);
        }
        match source {
            Source::Origin if self.faults.is_origin_away => {
                let event = came(version, item, source, Err(FetchError::Lost));
                self.tell(2 * WAY_MS, machine, event);
            }
            Source::Origin => {
                let event = self.answer_of_origin(version, item);
                let took_ms = self.transfer_ms(None, machine, item);
                self.tell(2 * WAY_MS + took_ms, machine, event);
            }
            Source::Peer(peer) => {
                let to = (0..self.machines.len()).find(|i| ip(*i) == peer);
                let to = to.expect("the peer is one of us");
                let number = self.next_number;
                self.asked.insert(number, (machine, version, item));
                let ticket = Ticket(number);
                let event =
                    Event::ItemRequested { ticket, version, item, hops };
                self.tell(WAY_MS, to, event);
            }
        }
    }

    fn answer_of_origin(&mut self, version: u64, item: Item) -> Event {
        let source = Source::Origin;
        match item {
            Item::Manifest => Event::Manifest {
                version,
                source,
                result: Ok(digests_of(version, self.chunk_count)),
            },
            Item::Chunk(index) => {
                self.origin_chunks += 1;
                let data = match self.strikes(self.faults.spoilt_per_mille) {
                    true => Bytes::from_static(b"spoilt"),
                    false => chunk(version, index),
                };
                came(version, item, source, Ok(data))
            }
        }
    }

    fn answer(&mut self, from: usize, ticket: Ticket, content: Content) {
        let Some((to, version, item)) = self.asked.remove(&ticket.0) else {
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
            Content::Chunk(data) => came(version, item, source, Ok(data)),
            Content::Absent => {
                came(version, item, source, Err(FetchError::Absent))
            }
        };
        self.tell(WAY_MS + took_ms, to, event);
    }

    /// Milliseconds that an item takes over the links.
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

    /// Milliseconds from `since_ms` until the first, half and all machines
    /// that live held a version whole; `None` for those it never reached.
    pub fn fill_ms(&self, version: u64, since_ms: u64) -> [Option<u64>; 3] {
        let alive = self.machines.len() - self.faults.dead;
        let mut times: Vec<u64> = (0..alive)
            .filter_map(|machine| self.whole_ms.get(&(version, machine)))
            .map(|whole_ms| whole_ms - since_ms)
            .collect();
        times.sort_unstable();
        let at = |place: usize| times.get(place).copied();
        [at(0), at(alive / 2 - 1), at(alive - 1)]
    }

    /// Targets that serve a version.
    pub fn serve(&self, version: u64) -> usize {
        self.machines
            .iter()
            .filter(|machine| machine.target.state.serves_version == version)
            .count()
    }

    /// Orders carried out over chunks of another version, or long spoilt.
    pub fn torn_orders(&self) -> u32 {
        self.machines.iter().map(|machine| machine.target.torn_orders).sum()
    }
}

fn came(
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
