//! Reads the settings at the platform, and watches them when told to.

use std::time::Duration;

use tokio::sync::{mpsc, watch};

use crate::platform::{
    CallResult, Object, Platform, SETTINGS_KEY, StoredSettings,
};

/// Pauses after a call without an answer: the first, and the longest.
const BACKOFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(5_000));

/// What the platform gave.
#[derive(Debug)]
pub enum WatchEvent {
    /// Settings, perhaps older than those in force: a read may be stale.
    Settings {
        /// Their revision.
        revision: u64,
        /// TOML.
        text: String,
    },
    /// It no longer answers.
    Down,
    /// It answers again.
    Back,
}

/// Reads once, so that a process has settings although it knows no peer, and
/// from then on watches for as long as `watching` says so.
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
    seen: u64,
    pause: Duration,
    is_down: bool,
}

impl Watcher {
    fn new(
        platform: Platform,
        events: mpsc::UnboundedSender<WatchEvent>,
    ) -> Watcher {
        Watcher { platform, events, seen: 0, pause: BACKOFF.0, is_down: false }
    }

    async fn read_once(&mut self) -> bool {
        let called = self.platform.read(SETTINGS_KEY).await;
        self.take(called).await
    }

    /// Waits for the next version. After an outage the platform may be at a
    /// lower one, which only a read shows at once.
    async fn watch_once(&mut self) {
        let called = match self.is_down {
            true => self.platform.read(SETTINGS_KEY).await,
            false => self.platform.watch(SETTINGS_KEY, self.seen).await,
        };
        self.take(called).await;
    }

    async fn take(&mut self, called: CallResult<Object>) -> bool {
        let CallResult::Answered(object) = called else {
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
        // A version below the last one is an old answer, or the platform was
        // restored; what it holds is refused if it is older than what is in
        // force.
        if object.version != self.seen {
            self.seen = object.version;
            self.pass_on(object);
        }
        true
    }

    fn pass_on(&self, object: Object) {
        let stored = serde_json::from_value::<StoredSettings>(object.value);
        let stored = stored.unwrap_or_default();
        let revision = stored.revision(object.version);
        let event = WatchEvent::Settings { revision, text: stored.text };
        let _ = self.events.send(event);
    }
}
