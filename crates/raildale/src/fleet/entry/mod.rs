//! The I/O layer of an entry host, around [`raildale_core::gateway::Gateway`],
//! [`raildale_core::members::Members`] and the local copy of the store.
//!
//! * [`callers`]: the ports that callers use.
//! * [`attempt`]: one attempt of a request at one target.
//! * [`hedge`]: a second attempt at another target while the first is silent.
//! * `exchange_log`: log lines about requests.
//! * [`refusals`]: error answers that the entry host generates itself.
//! * [`proxy`]: one request, from its head to its answer.
//! * [`stream_body`]: answers that are event streams.
//! * [`store_watch`]: watches of the store.
//! * [`missed_changes`]: changes that a watch of the store has missed.
//! * [`host`]: state shared by the tasks, and how changes of the store are
//!   applied to it.
//! * [`upstream`]: connections to targets.
//! * [`peers`]: heartbeats between entry hosts, and reports of agents.
//! * [`briefings`]: messages to agents.
//! * [`culprits`]: stored records of requests that end their targets.
//! * [`heads`]: sizes of request heads.
//! * [`idle`]: idle time-outs of callers' connections.
//! * [`delays`]: scheduling delay of this process.
//! * [`digests`]: messages between the data centres of a large fleet.
//! * [`snapshots`]: transfer of whole kinds of object between entry hosts.

pub mod answer_memory;
pub mod attempt;
pub mod bodies;
pub mod briefings;
pub mod caller_stream;
pub mod callers;
pub mod culprits;
pub mod delays;
pub mod digests;
mod exchange_log;
pub mod heads;
pub mod hedge;
pub mod host;
pub mod idle;
pub mod missed_changes;
pub mod peers;
pub mod ports;
pub mod proxy;
pub mod refusals;
pub mod resources;
pub mod snapshots;
pub mod store_watch;
pub mod stream_body;
pub mod upstream;

use std::rc::Rc;

use tokio::task::LocalSet;

use super::{
    edge::{Dialect, Store},
    settings::FleetFile,
};
use crate::{
    error::Error,
    signals::{SignalEvent, Signals},
};

pub use self::host::EntryHost;

/// Runs an entry host until it receives the signal to stop and has shut down.
///
/// # Errors
///
/// [`crate::ErrorKind::Config`] if a setting that an entry host needs is
/// missing; [`crate::ErrorKind::Io`] if it cannot listen.
pub async fn run<P>(
    file: FleetFile,
    platform: P,
    signals: Signals,
) -> Result<(), Error>
where
    P: Dialect + Store + 'static,
{
    let local = LocalSet::new();
    local.run_until(run_local(file, platform, signals)).await
}

async fn run_local<P>(
    file: FleetFile,
    platform: P,
    mut signals: Signals,
) -> Result<(), Error>
where
    P: Dialect + Store + 'static,
{
    let host = Rc::new(EntryHost::new(&file, platform)?);
    callers::start(&host).await?;
    peers::start(&host).await?;
    snapshots::start(&host).await?;
    store_watch::start(&host);
    delays::start(&host);
    host.log_start();
    while signals.next().await == SignalEvent::SettingsChanged {
        host.log_reload();
    }
    host.leave().await;
    Ok(())
}
