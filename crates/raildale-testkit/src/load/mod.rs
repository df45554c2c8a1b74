//! A model of load on a fleet, in virtual time.
//!
//! The decisions are the product's own: every entry host of the model is a
//! [`raildale_core::gateway::Gateway`]. Engines, callers, the links and the
//! agents' reports are simulated, so that a run of half a minute takes less
//! than a second and is the same each time.
//!
//! * [`pattern`]: what is played, read from a TOML file.
//! * [`engine`]: a model engine that works in passes over a batch.
//! * [`sample`]: what callers ask for, drawn from a seed.
//! * [`world`]: callers, entry hosts and targets together.
//! * `reports`: what entry hosts hear, and when.
//! * [`bound`]: what no policy can exceed.
//! * [`result`]: what callers got, with its tables.
//! * [`page`]: a result as a page with plots.

pub mod bound;
pub mod engine;
pub mod page;
pub mod pattern;
mod reports;
pub mod result;
pub mod sample;
pub mod world;

pub use self::{pattern::Pattern, result::LoadResult};

/// Plays a pattern once.
pub fn simulate(pattern: &Pattern, seed: u64) -> LoadResult {
    let requests = sample::requests(pattern, seed);
    let bound = bound::credit_bound(pattern, &requests);
    let played = world::World::new(pattern, requests, seed).run();
    LoadResult::new(pattern, seed, played, bound)
}
