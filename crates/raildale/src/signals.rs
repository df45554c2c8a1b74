//! The signals that a daemon handles.

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::Error;

/// A signal that a daemon handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalEvent {
    /// SIGTERM or SIGINT: stop.
    Stop,
    /// SIGHUP: the settings file has changed.
    SettingsChanged,
}

/// The signal handlers of a process.
///
/// Until they are installed, each signal ends the process, so a program
/// installs them first. Signals that arrive before [`Signals::next`] is called
/// are kept.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// [`crate::ErrorKind::Io`] if a handler cannot be installed.
    pub fn new() -> Result<Signals, Error> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalEvent {
        tokio::select! {
            _ = self.terminate.recv() => SignalEvent::Stop,
            _ = self.interrupt.recv() => SignalEvent::Stop,
            _ = self.hang_up.recv() => SignalEvent::SettingsChanged,
        }
    }
}
