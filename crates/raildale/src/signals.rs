//! What a process is told by signals.

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::Error;

/// What a signal says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalEvent {
    /// To stop.
    Stop,
    /// That the settings file has changed.
    SettingsChanged,
}

/// The signals that a process listens to.
///
/// Until it does, each of them ends the process. So this is the first thing
/// that a program makes; what comes meanwhile is kept.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Listens from now on. To be called within a runtime.
    ///
    /// # Errors
    ///
    /// [`crate::ErrorKind::Io`] if the system takes no handler.
    pub fn new() -> Result<Signals, Error> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// The next one.
    pub async fn next(&mut self) -> SignalEvent {
        tokio::select! {
            _ = self.terminate.recv() => SignalEvent::Stop,
            _ = self.interrupt.recv() => SignalEvent::Stop,
            _ = self.hang_up.recv() => SignalEvent::SettingsChanged,
        }
    }
}
