//! Distribution of weights from the origin and other agents to one target.
//!
//! [`Swarm`] is the reducer of an agent whose target accepts staged chunks and
//! an order to load them. It takes events together with the current time and
//! returns [`Effect`]s.
//!
//! * [`sources`]: selects the source of each chunk.
//! * [`version`]: the chunks held and transfers active for one version.
//! * [`queue_delay`]: estimates the queueing delay of the inbound link.
//! * [`window`]: limits the number of concurrent transfers.
//! * [`list_wait`]: when an agent without a list of agents asks the store.
//! * [`tree`]: distribution trees inside a large data centre.
//! * [`swap`]: schedules when the target changes to a new version, so that the
//!   fleet keeps enough capacity.

pub mod digest;
pub mod list_wait;
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
