//! Reads the settings at the platform and watches them on demand.

use std::time::Duration;

use tokio::sync::{mpsc, watch};

use crate::platform::{
    CallResult, Object, Platform, SETTINGS_KEY, StoredSettings,
};

/// Upper limits of the random pause after a call without an answer: the first
/// and the longest.
const BACKOFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(5_000));

/// An event of the settings watch.
#[derive(Debug)]
pub enum WatchEvent {
    /// Settings. They may be older than those in force: a read may be stale.
    Settings {
        /// Their revision.
        revision: u64,
        /// The settings, TOML.
        text: String,
    },
    /// The platform stopped answering.
    Down,
    /// The platform answers again.
    Back,
}

/// Starts a task that reads the settings once, so that a process without peers
/// has settings, and then watches them while `watching` is `true`. The task
/// ends once the sender of `watching` is dropped.
pub fn start(
    platform: Platform,
    mut watching: watch::Receiver<bool>,
    events: mpsc::UnboundedSender<WatchEvent>,
) {
    tokio::spawn(async move {
        let mut watcher = Watcher::new(platform, events);
        while !watcher.read_once().await {}
        loop {
            if !*watching.borrow_and_update() {
                if watching.changed().await.is_err() {
                    return;
                }
                continue;
            }
            tokio::select! {
                _ = watcher.watch_once() => {}
                changed = watching.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
        }
    });
}

struct Watcher {
    platform: Platform,
    events: mpsc::UnboundedSender<WatchEvent>,
    last_version: u64,
    pause: Duration,
    is_down: bool,
}

impl Watcher {
    fn new(
        platform: Platform,
        events: mpsc::UnboundedSender<WatchEvent>,
    ) -> Watcher {
        Watcher {
            platform,
            events,
            last_version: 0,
            pause: BACKOFF.0,
            is_down: false,
        }
    }

    async fn read_once(&mut self) -> bool {
        let result = self.platform.read(SETTINGS_KEY).await;
        self.handle_result(result).await
    }

    /// Waits for the next version. After an outage, reads the current version
    /// instead: it may be lower, which a watch would not report at once.
    async fn watch_once(&mut self) {
        let result = match self.is_down {
            true => self.platform.read(SETTINGS_KEY).await,
            false => {
                self.platform.watch(SETTINGS_KEY, self.last_version).await
            }
        };
        self.handle_result(result).await;
    }

    async fn handle_result(&mut self, result: CallResult<Object>) -> bool {
        let CallResult::Answered(object) = result else {
            if !self.is_down {
                self.is_down = true;
                let _ = self.events.send(WatchEvent::Down);
            }
            let jitter = rand::random_range(0..=self.pause.as_millis() as u64);
            tokio::time::sleep(Duration::from_millis(jitter)).await;
            self.pause = (self.pause * 2).min(BACKOFF.1);
            return false;
        };
        if self.is_down {
            self.is_down = false;
            let _ = self.events.send(WatchEvent::Back);
        }
        self.pause = BACKOFF.0;
        // A lower version is a stale answer or comes from a restored platform.
        // The reducer refuses settings older than those in force.
        if object.version != self.last_version {
            self.last_version = object.version;
            self.send_settings(object);
        }
        true
    }

    fn send_settings(&self, object: Object) {
        let stored = serde_json::from_value::<StoredSettings>(object.value);
        let stored = stored.unwrap_or_default();
        let revision = stored.revision(object.version);
        let event = WatchEvent::Settings { revision, text: stored.text };
        let _ = self.events.send(event);
    }
}
