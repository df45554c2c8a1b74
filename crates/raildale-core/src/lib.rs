//! The decision logic of raildale, without side effects.
//!
//! This crate has no clock, no I/O and no threads. Each process of the system
//! runs one reducer from here, [`agent::Agent`] or [`entry::Entry`]. A reducer
//! takes an event and the current time and returns effects as data, which a
//! thin shell carries out. A test harness can therefore drive a whole process.
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
//! # Modules
//!
//! * [`spread`]: the distribution of a version to many hosts.
//! * [`request`]: admission, routing, and the ledger that keeps a request
//!   from running twice.
//! * [`settings`]: the settings tree and the rule that it never reverts.
//! * [`message`]: the messages between the processes.
//! * [`gateway`]: requests that entry hosts send directly to targets.
//! * [`swarm`]: the staging and loading of weights at a target.
//! * [`callers`]: what callers may take of an entry host.
//! * [`catalog`]: a copy of a store's objects, which is relayed between entry
//!   hosts and never reverts.

pub mod agent;
pub mod callers;
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
