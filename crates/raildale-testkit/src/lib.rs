//! Stand-ins for the systems that raildale serves, and the bench.
//!
//! The stand-ins speak the protocols of the platform, the origin, model
//! engines and plain services, and count what happens to them, so that no
//! figure rests on what the product says of itself. [`bench`] runs real
//! processes of the product against them on loopback.

pub mod bench;
pub mod caller;
pub mod engine;
pub mod fleet;
pub mod http_server;
pub mod links;
pub mod load;
pub mod origin;
pub mod plain;
pub mod platform;
pub mod truth;
