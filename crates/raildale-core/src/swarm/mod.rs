//! How one agent brings weights to its target.
//!
//! [`Swarm`] is the reducer of an agent that stands beside a target which
//! takes staged chunks and an order to load them: events and the time go in,
//! [`Effect`]s come out.
//!
//! * [`sources`]: who is asked for a chunk.
//! * [`version`]: what is held of one version.
//! * [`queue_delay`]: how long what comes in waits before the link.
//! * [`window`]: how many transfers run at once.
//! * [`swap`]: when the target changes over, so that the fleet keeps its
//!   capacity.

pub mod digest;
pub mod queue_delay;
pub mod reducer;
pub mod sources;
pub mod swap;
pub mod tree;
pub mod version;
pub mod window;

pub use self::{
    digest::WeightDigest,
    queue_delay::QueueDelay,
    reducer::{
        Effect, Event, FetchError, Item, OrderGuard, OrderOutcome, Swarm,
        SwarmConfig, TargetStart, TargetState, Ticket,
    },
    sources::{Peer, Source},
    swap::{LoadMethod, SwapConfig},
};
