//! Processes for a platform that keeps the configuration, the list of targets
//! and the named versions in a store of objects.
//!
//! An entry host passes callers' requests to targets; an agent at each target
//! fetches weights for it. The names of the platform's calls and headers are
//! confined to an adapter, which implements the traits in [`edge`]. Decisions
//! are made in [`raildale_core::gateway`], [`raildale_core::swarm`],
//! [`raildale_core::members`] and [`raildale_core::catalog`].
//!
//! * [`entry`]: the I/O layer of an entry host.
//! * [`agent`]: the I/O layer of an agent.
//! * [`settings`]: the settings file of both.
//! * [`store_list`]: reads whole kinds of object from the store.

pub mod agent;
pub mod edge;
pub mod entry;
pub mod frames;
pub mod send_watch;
pub mod settings;
pub mod steady_clock;
pub mod store_list;
pub mod tcp_info;
pub mod watched_stream;
