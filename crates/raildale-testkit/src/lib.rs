//! Simulations of the systems that raildale works with, and benchmarks.
//!
//! The simulated systems speak the protocols of the platform, the origin,
//! model engines and plain services, and count the calls to them, so that no
//! figure depends on what the tested processes report. [`bench`] runs real
//! raildale processes against them on loopback. [`load`] simulates load on a
//! fleet in virtual time, [`control`] the messages between its hosts.

pub mod bench;
pub mod caller;
pub mod control;
pub mod engine;
pub mod fleet;
pub mod http_server;
pub mod links;
pub mod load;
pub mod origin;
pub mod plain;
pub mod platform;
pub mod truth;
