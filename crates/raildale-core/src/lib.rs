//! Every decision of raildale, pure.
//!
//! This crate has no clock, no I/O and no thread. Each process of the system
//! runs one reducer from here, [`agent::Agent`] or [`entry::Entry`]: an event
//! and the time go in, effects come out as data, and a thin shell carries
//! them out. A whole process can therefore be driven by a foreign harness.
//!
//! # Example
//!
//! ```
//! use raildale_core::Manifest;
//!
//! let manifest = Manifest::new(&[7; 10], 4);
//! assert_eq!(manifest.len(), 3);
//! let read = Manifest::decode(&manifest.encode()).unwrap();
//! assert_eq!(read.digest(), manifest.digest());
//! ```
//!
//! # Where to go next
//!
//! * [`spread`]: how a version reaches many hosts.
//! * [`request`]: admission, routing, and the ledger that keeps a request
//!   from running twice.
//! * [`settings`]: the tree of settings and why it never reverts.
//! * [`message`]: what the processes say to one another.
//! * [`gateway`]: requests that go straight to targets.
//! * [`swarm`]: weights brought to a target that loads what lies staged.
//! * [`catalog`]: what a store of objects holds, relayed and never reverting.

pub mod agent;
pub mod catalog;
pub mod chunk_set;
pub mod code;
pub mod digest;
pub mod entry;
pub mod fleet_message;
pub mod gateway;
pub mod log_event;
pub mod manifest;
pub mod members;
pub mod message;
pub mod rendezvous;
pub mod request;
pub mod settings;
pub mod spread;
pub mod swarm;

pub use crate::{
    chunk_set::ChunkSet,
    code::{Code, Ran},
    digest::Digest,
    log_event::LogEvent,
    manifest::Manifest,
};

/// A shared, immutable name of a host, organisation, model or version.
pub type Name = std::sync::Arc<str>;
