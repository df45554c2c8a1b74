//! The shell of an agent: I/O round [`raildale_core::swarm::Swarm`].
//!
//! * [`worker`]: the loop that feeds the reducer and carries out effects.
//! * [`calls`]: calls of the target and of the origin.
//! * [`service_facts`]: what is known of the target's service.
//! * [`store_facts`]: what the store is asked for while nobody briefs.
//! * [`links`]: connections to other agents.
//! * [`answering`]: answers to another agent, slice by slice.
//! * [`server`]: what other agents ask of this one.
//! * [`reports`]: what the entry hosts are told, and what they tell.

pub mod answering;
pub mod calls;
pub mod links;
pub mod reports;
pub mod server;
pub mod service_facts;
pub mod store_facts;
pub mod worker;

use tokio::task::LocalSet;

use super::{
    edge::{Dialect, Store, WeightOrigin, WeightTarget},
    settings::FleetFile,
};
use crate::{
    error::Error,
    signals::{Signals, Told},
};

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// [`crate::ErrorKind::Config`] if its settings lack what an agent needs;
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
        let told = tokio::select! {
            result = &mut running => return result,
            told = signals.next() => told,
        };
        match told {
            Told::Stop => {
                log::info!("stopped");
                return Ok(());
            }
            Told::SettingsChanged => log::info!("nothing to take over"),
        }
    }
}
