//! When an agent without a list of agents asks the store for it.
//!
//! After a start of all, hundreds of agents have no list until their entry
//! hosts know the targets. If each asked the store then, the store would get
//! thousands of calls for what is about to come.

/// How long the promise of an entry host holds, in milliseconds. Agents
/// without a list ask for one at least twice a second.
const PROMISE_MS: u64 = 1_200;

/// How long an agent relies on promises alone, in milliseconds.
const MAX_WAIT_MS: u64 = 8_000;

/// What an agent knows of its lists.
#[derive(Clone, Copy, Debug)]
pub struct ListWait {
    /// When the last list arrived, or when the agent started.
    listed_ms: u64,
    /// When an entry host last promised a list; 0 if none did.
    promised_ms: u64,
    /// The time without a list or promise after which it asks the store, in
    /// milliseconds.
    patience_ms: u64,
}

impl ListWait {
    /// Creates the state of an agent that starts at `now_ms` and waits
    /// `patience_ms` without a list or promise.
    pub fn new(now_ms: u64, patience_ms: u64) -> ListWait {
        ListWait { listed_ms: now_ms, promised_ms: 0, patience_ms }
    }

    /// Records that a list has arrived.
    pub fn record_list(&mut self, now_ms: u64) {
        self.listed_ms = now_ms;
    }

    /// Records that an entry host doesn't know enough for a list yet.
    pub fn record_promise(&mut self, now_ms: u64) {
        self.promised_ms = now_ms;
    }

    /// Returns whether the agent asks the store.
    pub fn asks_store(&self, now_ms: u64) -> bool {
        let waited_ms = now_ms.saturating_sub(self.listed_ms);
        let is_promised =
            now_ms < self.promised_ms + PROMISE_MS && waited_ms < MAX_WAIT_MS;
        waited_ms > self.patience_ms && !is_promised
    }
}
