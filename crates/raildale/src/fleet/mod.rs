//! raildale on a platform that keeps the configuration, the list of targets
//! and the named versions in a store of objects.
//!
//! An entry host passes callers' requests straight to targets; an agent
//! beside each target brings weights to it. What the platform's calls and
//! headers are named is known to an adapter alone, which implements the
//! traits in [`edge`]. Decisions are in [`raildale_core::gateway`],
//! [`raildale_core::swarm`], [`raildale_core::members`] and
//! [`raildale_core::catalog`].
//!
//! * [`entry`]: the shell of an entry host.
//! * [`agent`]: the shell of an agent.
//! * [`settings`]: the settings file of both.

pub mod agent;
pub mod edge;
pub mod entry;
pub mod frames;
pub mod settings;
pub mod steady_clock;
