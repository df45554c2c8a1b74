//! The I/O layer of an agent, around [`raildale_core::swarm::Swarm`].
//!
//! * [`worker`]: the main loop, which passes events to the reducer and
//!   executes its effects.
//! * [`calls`]: calls to the target and to the origin.
//! * [`service_info`]: what is known of the target's service.
//! * [`store_queries`]: queries to the store while no entry host sends
//!   briefings.
//! * [`peer_connections`]: connections to other agents.
//! * [`answer_writer`]: answers to other agents, sent in slices.
//! * [`server`]: requests from other agents.
//! * [`reports`]: reports to entry hosts, and briefings from them.

pub mod answer_writer;
pub mod calls;
pub mod peer_connections;
pub mod reports;
pub mod server;
pub mod service_info;
pub mod store_queries;
pub mod worker;

use tokio::task::LocalSet;

use super::{
    edge::{Dialect, Store, WeightOrigin, WeightTarget},
    settings::FleetFile,
};
use crate::{
    error::Error,
    signals::{SignalEvent, Signals},
};

/// Runs an agent until it receives the signal to stop.
///
/// # Errors
///
/// [`crate::ErrorKind::Config`] if a setting that an agent needs is missing;
/// [`crate::ErrorKind::Io`] if it cannot listen.
pub async fn run<P>(
    file: FleetFile,
    platform: P,
    mut signals: Signals,
) -> Result<(), Error>
where
    P: Dialect + Store + WeightTarget + WeightOrigin + 'static,
{
    let local = LocalSet::new();
    let running = local.run_until(worker::run(file, platform));
    let mut running = std::pin::pin!(running);
    loop {
        let signal = tokio::select! {
            result = &mut running => return result,
            signal = signals.next() => signal,
        };
        match signal {
            SignalEvent::Stop => {
                log::info!("stopped");
                return Ok(());
            }
            SignalEvent::SettingsChanged => {
                log::info!("the settings file is only read at start")
            }
        }
    }
}
