//! A discrete-event simulation of load on a fleet, in virtual time.
//!
//! Every entry host of the simulation is a real
//! [`raildale_core::gateway::Gateway`], which makes the routing decisions.
//! Engines, callers, links and the agents' reports are simulated, so a run of
//! half a minute takes less than a second and is deterministic.
//!
//! * [`pattern`]: the load pattern, read from a TOML file.
//! * [`engine`]: a simulated engine that processes a batch in passes.
//! * [`sample`]: the callers' requests, drawn from a seed.
//! * [`world`]: the simulation of callers, entry hosts and targets.
//! * `named`: the entry hosts that callers are named.
//! * `deadly`: crashes of targets under a part of a prompt.
//! * `reports`: reports, digests and heartbeats sent to entry hosts.
//! * [`bound`]: an upper bound on the credit that any policy can earn.
//! * [`result`]: the results of a run and their tables.
//! * [`page`]: results as an HTML page with plots.

pub mod bound;
mod deadly;
pub mod engine;
mod named;
pub mod page;
pub mod pattern;
mod reports;
pub mod result;
pub mod sample;
pub mod world;

pub use self::{pattern::Pattern, result::LoadResult};

/// Runs a load pattern once. The result depends only on `pattern` and `seed`.
pub fn simulate(pattern: &Pattern, seed: u64) -> LoadResult {
    let mut requests = sample::requests(pattern, seed);
    let bound = bound::credit_bound(pattern, &requests);
    requests.extend(sample::deadly_requests(pattern, seed));
    let results = world::World::new(pattern, requests, seed).run();
    LoadResult::new(pattern, seed, results, bound)
}
