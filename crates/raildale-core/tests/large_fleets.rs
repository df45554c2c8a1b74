//! What one entry host sends in fleets of several sizes, counted: it must not
//! grow with the fleet.

use raildale_core::members::joining::Joining;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use yare::parameterized;

/// The number of data centres in every fleet.
const CENTRES: usize = 5;

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
