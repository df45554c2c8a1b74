//! What callers may take of an entry host: memory for the bodies of their
//! requests, and connections.
//!
//! Callers are not trusted to finish what they begin. What is incomplete can be
//! given up, and is when others need its share; the order depends on what a
//! caller has delivered, and how fast, which cannot be claimed.
//!
//! * [`body_memory`]: the memory for bodies.
//! * [`connections`]: the connections of a port.

pub mod body_memory;
pub mod connections;
