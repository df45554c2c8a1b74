//! What one entry host sends in fleets of several sizes, counted: it must not
//! grow with the fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, Ipv4Addr},
};

use raildale_core::{
    Name,
    members::{
        Heartbeat, MemberEntry, Members,
        fan_out::{self, FAN_OUT},
        joining::Joining,
        relays::{LISTERS, ListTurn, RELAYS},
    },
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use yare::parameterized;

const START_MS: u64 = 1_000_000;

/// The number of data centres in every fleet.
const CENTRES: usize = 5;

/// The number of agents before each hundred entry hosts.
const AGENTS_PER_HUNDRED: usize = 85;

fn ip(host: usize) -> IpAddr {
    let [.., high, low] = (host as u32 + 1).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(10, 0, high, low))
}

fn entry(host: usize) -> MemberEntry {
    MemberEntry {
        name: Name::from(format!("host-{host}")),
        ip: ip(host),
        data_centre: Name::from(format!("centre-{}", host % CENTRES)),
        cpu_millis: Some(240),
    }
}

fn ready() -> Heartbeat {
    Heartbeat { is_ready: true, ..Heartbeat::default() }
}

/// Returns the state of the host at index `own` in a fleet of `count`, of
/// which it hears those that `is_heard`.
fn members(
    own: usize,
    count: usize,
    is_heard: impl Fn(usize) -> bool,
) -> Members {
    let mut members = Members::new(entry(own));
    members.set_listed(START_MS, (0..count).map(entry).collect());
    for host in (0..count).filter(|host| *host != own && is_heard(*host)) {
        members.on_heartbeat(START_MS, entry(host), ready());
    }
    members
}

/// Copies of digests in virtual time, by sender and by receiver.
#[derive(Default)]
struct Copies {
    sent: BTreeMap<IpAddr, usize>,
    received: BTreeMap<IpAddr, usize>,
}

impl Copies {
    /// Sends a digest from `sender` to `recipients`; those in `dead` drop it.
    fn distribute(
        &mut self,
        sender: IpAddr,
        recipients: &[IpAddr],
        dead: &BTreeSet<IpAddr>,
    ) {
        for branch in fan_out::branches(recipients) {
            *self.sent.entry(sender).or_default() += 1;
            if dead.contains(&branch.ip) {
                continue;
            }
            *self.received.entry(branch.ip).or_default() += 1;
            self.distribute(branch.ip, &branch.pass_on_to, dead);
        }
    }

    /// Sends the digests of all relays of the fleet, one each.
    fn send_all(&mut self, count: usize, draw: usize) {
        let none = BTreeSet::new();
        for own in 0..CENTRES * RELAYS {
            let relay = members(own, count, |_| true);
            let index = relay.relay_index(START_MS, true);
            let index = index.expect("the first hosts are relays");
            let remote = relay.digest_recipients(START_MS, index, draw);
            *self.sent.entry(ip(own)).or_default() += remote.len();
            let audience = relay.audience(START_MS, 7);
            self.distribute(ip(own), &audience, &none);
            for to in remote {
                *self.received.entry(to).or_default() += 1;
                let host = (0..count).find(|host| ip(*host) == to);
                let host = host.expect("a host of the fleet");
                let receiver = members(host, count, |_| true);
                let audience = receiver.audience(START_MS, host as u64);
                self.distribute(to, &audience, &none);
            }
        }
    }
}

/// Every entry host gets each digest once, and none sends more copies than
/// its own ones and those of a node of a tree for each digest.
#[parameterized(
    small = { 60 },
    mid = { 250 },
    large = { 550 },
    twice = { 1_100 },
)]
fn no_host_sends_a_digest_to_all(count: usize) {
    let mut copies = Copies::default();
    copies.send_all(count, 7);
    let digests = CENTRES * RELAYS;
    for host in 0..count {
        let is_relay = host < digests;
        let expected = digests - usize::from(is_relay);
        assert_eq!(copies.received.get(&ip(host)), Some(&expected), "{host}");
    }
    let most = copies.sent.values().max().copied().unwrap_or(0);
    assert!(most < CENTRES + digests * FAN_OUT, "{most}");
    let all: usize = copies.sent.values().sum();
    assert!(all <= digests * count, "{all}");
}

/// While a tenth of a data centre has died unnoticed, each of the others still
/// gets one of three digests.
#[parameterized(
    small = { 60 },
    mid = { 250 },
    large = { 550 },
    twice = { 1_100 },
)]
fn deaths_on_the_way_cost_few_digests(count: usize) {
    let mut rng = SmallRng::seed_from_u64(1);
    let sender = members(0, count, |_| true);
    let neighbours: Vec<IpAddr> = sender.neighbours().collect();
    let dead: BTreeSet<IpAddr> =
        neighbours.iter().copied().filter(|_| rng.random_bool(0.1)).collect();
    let mut copies = Copies::default();
    for _ in 0..3 {
        let audience = sender.audience(START_MS, rng.random());
        copies.distribute(ip(0), &audience, &dead);
    }
    let alive = neighbours.iter().filter(|ip| !dead.contains(ip));
    let missed = alive.clone().filter(|ip| !copies.received.contains_key(ip));
    let (missed, alive) = (missed.count(), alive.count());
    assert!(missed * 20 <= alive, "{missed} of {alive}");
}

/// Silent entry hosts get messages last, so that nobody stands behind them.
#[test]
fn silent_hosts_pass_nothing_on() {
    let is_heard = |host: usize| !host.is_multiple_of(3);
    let sender = members(1, 250, is_heard);
    let audience = sender.audience(START_MS, 3);
    let heard_count = audience
        .iter()
        .take_while(|to| {
            (0..250).any(|host| ip(host) == **to && is_heard(host))
        })
        .count();
    let all_heard = (0..250)
        .filter(|host| host % CENTRES == 1 && is_heard(*host) && *host != 1)
        .count();
    assert_eq!(heard_count, all_heard);
    assert_eq!(audience.len(), 250 / CENTRES - 1);
}

/// Each agent gets the list of agents from two entry hosts, and the lists that
/// one of them sends don't grow with the data centre.
#[parameterized(
    small = { 60 },
    mid = { 250 },
    large = { 550 },
    twice = { 1_100 },
)]
fn lists_of_agents_are_divided(count: usize) {
    let agents = count * AGENTS_PER_HUNDRED / 100 / CENTRES;
    let turns: Vec<ListTurn> = (0..count)
        .filter(|host| host % CENTRES == 0)
        .map(|own| members(own, count, |_| true))
        .filter_map(|members| members.list_turn(START_MS, true))
        .collect();
    assert_eq!(turns.len(), count / CENTRES);
    for agent in 0..agents {
        let listers = turns.iter().filter(|turn| turn.includes(agent)).count();
        assert_eq!(listers, LISTERS, "agent {agent}");
    }
    for turn in &turns {
        let sent = (0..agents).filter(|agent| turn.includes(*agent)).count();
        assert!(sent <= LISTERS, "{sent} lists by {turn:?}");
    }
}

/// An entry host that is not ready, and may not know the agents, sends no
/// lists; a single one sends all of them.
#[test]
fn lists_come_from_hosts_that_are_ready() {
    let alone = members(0, 60, |_| false);
    assert_eq!(alone.list_turn(START_MS, false), None);
    let turn = alone.list_turn(START_MS, true).expect("it is ready");
    assert!((0..50).all(|agent| turn.includes(agent)));
}

/// Relays are chosen by what their machine bears, then by address.
#[test]
fn relays_have_the_most_processor_time() {
    let larger = |host: usize| match host {
        50 | 55 => MemberEntry { cpu_millis: Some(1_000), ..entry(host) },
        _ => entry(host),
    };
    let index_of = |own: usize| {
        let mut members = Members::new(larger(own));
        members.set_listed(START_MS, (0..60).map(larger).collect());
        for host in (0..60).filter(|host| *host != own) {
            members.on_heartbeat(START_MS, larger(host), ready());
        }
        members.relay_index(START_MS, true)
    };
    assert_eq!(index_of(50), Some(0));
    assert_eq!(index_of(55), Some(1));
    assert_eq!(index_of(0), None);
}

/// The one-way latency between data centres, in milliseconds.
const CROSSING_MS: u64 = 2;

/// The time in which all processes start, in milliseconds.
const START_SPREAD_MS: u64 = 300;

/// The time in which an entry host fetches the list, in milliseconds.
const FETCH_MS: u64 = 15;

/// The time between two heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 400;

/// How the entry hosts of a fleet that starts at once learn its list.
struct Start {
    /// When each one knows the list.
    known_ms: Vec<u64>,
    /// The number of lists read from the store.
    store_reads: usize,
    /// The number of lists that crossed between data centres.
    crossings: usize,
}

/// Starts `count` entry hosts at once, with up to three seeds that are up.
fn start_all(count: usize, seeds_up: usize) -> Start {
    let mut rng = SmallRng::seed_from_u64(count as u64);
    let mut draw = |range| rng.random_range(range);
    let started: Vec<u64> =
        (0..count).map(|_| draw(0..START_SPREAD_MS)).collect();
    let phases: Vec<u64> = (0..count).map(|_| draw(0..HEARTBEAT_MS)).collect();
    let mut joining: Vec<Joining> = (0..count)
        .map(|host| Joining::new(started[host], host < seeds_up, &mut draw))
        .collect();
    let mut start = Start {
        known_ms: vec![u64::MAX; count],
        store_reads: 0,
        crossings: 0,
    };
    for now_ms in 0..5_000 {
        for host in 0..count {
            if start.known_ms[host] < u64::MAX || now_ms < started[host] {
                continue;
            }
            let age_ms = now_ms - started[host];
            let centre = host % CENTRES;
            // Those that know the list have sent a heartbeat since.
            let is_local_heard = (centre..count).step_by(CENTRES).any(|of| {
                let known_ms = start.known_ms[of];
                let is_regular =
                    (now_ms + phases[of]).is_multiple_of(HEARTBEAT_MS);
                let is_first = known_ms >= started[host];
                known_ms < now_ms && (is_first || is_regular)
            });
            // A seed answers the first heartbeat, or sends one itself.
            let is_seed_heard = (0..seeds_up).any(|seed| {
                start.known_ms[seed].saturating_add(CROSSING_MS) <= now_ms
                    && age_ms >= 2 * CROSSING_MS
            });
            let is_alone = !is_local_heard && !is_seed_heard;
            let joining = &mut joining[host];
            if is_local_heard {
                start.known_ms[host] = now_ms + FETCH_MS;
            } else if is_seed_heard && joining.remote_wait_ms(now_ms) == 0 {
                start.known_ms[host] = now_ms + FETCH_MS;
                start.crossings += 1;
            } else if joining.reads_list(now_ms, is_alone) {
                start.known_ms[host] = now_ms + FETCH_MS;
                start.store_reads += 1;
            }
        }
    }
    start
}

/// After a loss of all, the list of entry hosts crosses between data centres
/// for few of those that need it, and the store is read by the seeds.
#[parameterized(
    small = { 60 },
    mid = { 250 },
    large = { 550 },
    twice = { 1_100 },
)]
fn a_start_of_all_reads_few_lists(count: usize) {
    let start = start_all(count, 3);
    let last_ms = start.known_ms.iter().max().copied().unwrap_or(0);
    assert_eq!(start.store_reads, 3);
    assert!(start.crossings <= CENTRES * 12, "{}", start.crossings);
    assert!(last_ms <= START_SPREAD_MS + 450, "{last_ms}");
}

/// The same while all seeds are down.
#[parameterized(
    small = { 60 },
    mid = { 250 },
    large = { 550 },
    twice = { 1_100 },
)]
fn a_start_without_seeds_reads_few_lists(count: usize) {
    let start = start_all(count, 0);
    let last_ms = start.known_ms.iter().max().copied().unwrap_or(0);
    assert!(start.store_reads <= CENTRES * 12, "{}", start.store_reads);
    assert!(last_ms <= 1_200, "{last_ms}");
}

/// A request that arrives before an entry host can serve it is held while the
/// entry host is about to learn enough, and so that its caller has time left
/// for another try.
#[test]
fn requests_at_a_start_are_held_for_a_while() {
    let joining = Joining::new(START_MS, false, |range| range.start);
    assert_eq!(joining.hold_ms(START_MS + 100, 1_500), 500);
    assert_eq!(joining.hold_ms(START_MS + 100, 6_000), 2_000);
    assert_eq!(joining.hold_ms(START_MS + 3_000, 6_000), 600);
    assert_eq!(joining.hold_ms(START_MS + 60_000, 6_000), 0);
}
