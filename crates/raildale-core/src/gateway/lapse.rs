//! Targets that leave the list during a store outage and may be listed again.

/// A target's disappearance from the list that may be temporary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lapse {
    /// When it became known here, on the process's clock.
    pub at_ms: u64,
    /// Whether another entry host reported it rather than the store.
    pub is_from_peer: bool,
}

/// What an entry host knows of the store's state.
#[derive(Clone, Copy, Debug)]
pub struct StoreView {
    /// Whether this entry host watches the store.
    pub is_watcher: bool,
    /// Whether the store answered this entry host's last call.
    pub sees_store: bool,
    /// When the store recovered from its last outage; 0 if there was none.
    pub recovered_ms: u64,
}

/// The time, in milliseconds, within which entries that lapsed during a store
/// outage are listed again after the store's recovery, as the platform
/// documents it.
pub const RELIST_TIMEOUT_MS: u64 = 2_200;

impl Lapse {
    /// Returns whether the target is gone for good.
    ///
    /// A host that learned of the lapse from the store counts from the store's
    /// recovery, even after it stops watching. Counting from the lapse would
    /// send a request to a target that left 1.9 s after a recovery 2.1 s after
    /// it had said so. A host that learned of it from a peer doesn't know when
    /// the store recovered, only that it had recovered by then.
    pub fn is_over(&self, now_ms: u64, store: StoreView) -> bool {
        let is_settled = store.sees_store
            && now_ms > store.recovered_ms + RELIST_TIMEOUT_MS;
        let is_old = now_ms > self.at_ms + RELIST_TIMEOUT_MS;
        match self.is_from_peer {
            true if store.is_watcher => is_settled,
            true => is_old,
            false => is_settled || is_old && !store.is_watcher,
        }
    }
}
