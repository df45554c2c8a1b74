//! Faults injected during a burst.

use std::time::Duration;

use raildale_core::{Digest, Name, spread::tracker::tracker_owner};
use rand::{SeedableRng, rngs::SmallRng, seq::IteratorRandom};

use crate::{
    fleet::Fleet, links::LinkTable, platform::Faults as PlatformFaults,
};

/// One in this many chunks is corrupted.
const CORRUPT_ONE_CHUNK_IN: u64 = 200;

/// One in this many hosts is killed.
const KILL_ONE_IN: usize = 10;

/// One in this many hosts has its link stalled.
const STALL_ONE_IN: usize = 20;

/// The time for which a link is stalled.
const STALL_DURATION: Duration = Duration::from_secs(3);

/// A fault that can be injected during a burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A tenth of the hosts is killed.
    Kills,
    /// The entry host that tracks the spread is killed.
    Owner,
    /// The links of a twentieth of the hosts stall for some seconds.
    Stalls,
    /// Some chunks are corrupted in transit.
    Corrupt,
    /// The version is replaced by other bytes under the same path.
    Replace,
    /// The platform stops answering until the end of the run.
    Outage,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Fault; 6] = [
        Fault::Kills,
        Fault::Owner,
        Fault::Stalls,
        Fault::Corrupt,
        Fault::Replace,
        Fault::Outage,
    ];

    /// Parses a comma-separated list of fault names, or `all`.
    ///
    /// # Errors
    ///
    /// Returns a message that names the first unknown fault.
    pub fn parse_list(text: &str) -> Result<Vec<Fault>, String> {
        if text == "all" {
            return Ok(Fault::ALL.to_vec());
        }
        text.split(',')
            .filter(|word| !word.is_empty())
            .map(|name| {
                Fault::ALL
                    .into_iter()
                    .find(|fault| fault.name() == name)
                    .ok_or(format!("no such fault: {name}"))
            })
            .collect()
    }

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Fault::Kills => "kills",
            Fault::Owner => "owner",
            Fault::Stalls => "stalls",
            Fault::Corrupt => "corrupt",
            Fault::Replace => "replace",
            Fault::Outage => "outage",
        }
    }
}

/// Kills a tenth of the hosts. Returns their names.
pub(super) fn kill_hosts(fleet: &Fleet, seed: u64) -> Vec<String> {
    let count = (fleet.engines.len() / KILL_ONE_IN).max(1);
    choose(fleet, count, seed)
        .into_iter()
        .map(|index| {
            fleet.agents[index].crash();
            fleet.agents[index].name.clone()
        })
        .collect()
}

/// Kills the entry host that tracks the spread of `manifest`.
pub(super) fn kill_owner(fleet: &Fleet, manifest: &Digest) {
    let names: Vec<Name> =
        fleet.entries.iter().map(|node| node.name.as_str().into()).collect();
    let owner = tracker_owner(manifest, names.iter());
    let node = fleet
        .entries
        .iter()
        .find(|node| owner.is_some_and(|owner| **owner == *node.name));
    if let Some(node) = node {
        node.crash();
    }
}

/// Stalls the links of a twentieth of the hosts, and returns when they work
/// again.
pub(super) async fn stall_links(fleet: &Fleet, seed: u64) {
    let count = (fleet.engines.len() / STALL_ONE_IN).max(1);
    let chosen = choose(fleet, count, seed + 1);
    for index in &chosen {
        fleet.links.set_stalled(fleet.agents[*index].ip, true);
    }
    tokio::time::sleep(STALL_DURATION).await;
    for index in &chosen {
        fleet.links.set_stalled(fleet.agents[*index].ip, false);
    }
}

/// Corrupts one in [`CORRUPT_ONE_CHUNK_IN`] chunks from now on.
pub(super) fn corrupt(fleet: &Fleet, chunk_bytes: u64) {
    let pieces = LinkTable::piece_count(chunk_bytes);
    fleet.links.set_corrupt_one_in(pieces * CORRUPT_ONE_CHUNK_IN);
}

/// Stops the platform from answering from now on.
pub(super) fn outage(fleet: &Fleet) {
    let faults = PlatformFaults { is_down: true, ..PlatformFaults::default() };
    fleet.platform.set_faults(faults);
}

/// Draws `count` hosts. Returns their indices in the fleet.
fn choose(fleet: &Fleet, count: usize, seed: u64) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..fleet.engines.len()).sample(&mut rng, count)
}
