//! The shell of an entry host: I/O round [`raildale_core::gateway::Gateway`],
//! [`raildale_core::members::Members`] and what is known of the store.
//!
//! * [`callers`]: the ports that callers use.
//! * [`attempt`]: a request at one target.
//! * [`hedge`]: a second attempt beside one whose target is silent.
//! * `exchange_log`: what is written of a request.
//! * [`refusals`]: answers of the entry host itself.
//! * [`proxy`]: one request from its head to its answer.
//! * [`stream_body`]: an answer that is a stream of events.
//! * [`store_watch`]: the store's kinds, watched.
//! * [`host`]: what the tasks share, and what the store's changes mean.
//! * [`upstream`]: connections to targets.
//! * [`peers`]: heartbeats and reports.
//! * [`briefings`]: what agents are told.
//! * [`culprits`]: records of requests that end their targets.
//! * [`heads`]: how long heads of requests are and may be.
//! * [`rest`]: how long callers' connections rest.
//! * [`delays`]: how late the process runs.
//! * [`digests`]: what the data centres of a large fleet tell one another.
//! * [`snapshots`]: kinds handed from one entry host to another.

pub mod attempt;
pub mod briefings;
pub mod callers;
pub mod culprits;
pub mod delays;
pub mod digests;
mod exchange_log;
pub mod heads;
pub mod hedge;
pub mod host;
pub mod peers;
pub mod proxy;
pub mod refusals;
pub mod rest;
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
    signals::{Signals, Told},
};

pub use self::host::EntryHost;

/// Runs an entry host until it is told to stop and has finished.
///
/// # Errors
///
/// [`crate::ErrorKind::Config`] if its settings lack what an entry host
/// needs; [`crate::ErrorKind::Io`] if it cannot listen.
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
    while signals.next().await == Told::SettingsChanged {
        host.log_reload();
    }
    host.leave().await;
    Ok(())
}
