//! A discrete-event simulation of the messages between the hosts of a fleet,
//! in virtual time.
//!
//! Every entry host of the simulation has the real reducers of
//! [`raildale_core::members`], which decide who sends what to whom, and its
//! messages have the sizes of real ones. Links, the store and faults are
//! simulated. Requests, chunks, and the briefings and reports that entry hosts
//! and agents exchange by need are left out.
//!
//! * [`pattern`]: the fleet and its faults, read from a TOML file.
//! * `host`: the state of a simulated entry host.
//! * `links`: transmission times.
//! * `messages`: the messages and their sizes.
//! * `world`: the simulation.
//! * `faults`: the faults of the pattern.
//! * `knowledge`: how the store's objects reach the entry hosts.
//! * `tally`: what is counted.
//! * [`result`]: the figures of one or more sizes of a fleet.
//! * [`page`]: figures as an HTML page with a plot.

mod faults;
mod host;
mod knowledge;
mod links;
mod messages;
pub mod page;
pub mod pattern;
pub mod result;
mod tally;
mod world;

pub use self::{
    pattern::ControlPattern,
    result::{ControlResult, Sizes},
};

/// Runs a pattern once. The result depends only on `pattern` and `seed`.
pub fn simulate(pattern: &ControlPattern, seed: u64) -> ControlResult {
    world::World::new(pattern, seed).run()
}
