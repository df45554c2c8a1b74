//! From where an entry host gets what the store holds: from the store itself,
//! or from another entry host that is ahead.

use super::{Members, joining::Joining};
use crate::catalog::Kind;

/// How long a starting entry host listens before it asks others, in
/// milliseconds: those that know more send a heartbeat within 400 ms.
const INITIAL_LISTEN_MS: u64 = 450;

/// What decides from where an entry host gets a kind of object.
#[derive(Clone, Copy, Debug)]
pub struct Sources<'a> {
    /// The entry hosts, as known to this one.
    pub members: &'a Members,
    /// The state of its start.
    pub joining: &'a Joining,
    /// Whether it knows anything of the kind.
    pub is_known: bool,
    /// Whether it knows the store's list of entry hosts.
    pub is_list_known: bool,
}

impl Sources<'_> {
    /// Returns whether this entry host should read a kind from the store
    /// itself. After its start it first listens whether others know the kind:
    /// after a loss of power all would read the configuration at once. Seeds
    /// do not wait, because all others turn to them.
    pub fn may_ask_store(&self, now_ms: u64, kind: Kind) -> bool {
        let Sources { members, joining, .. } = self;
        if !self.is_known && kind == Kind::EntryHosts {
            let is_alone = !members.any_knows(now_ms, kind);
            return joining.reads_list(now_ms, is_alone);
        }
        // In a large fleet only watchers read thousands of targets.
        let is_first = joining.is_seed() || !members.is_large();
        if !self.is_known && is_first && joining.reads_unknown(now_ms) {
            return true;
        }
        // Who does not know the others would take itself for a watcher.
        let has_listened = joining.age_ms(now_ms) >= INITIAL_LISTEN_MS;
        has_listened && self.is_list_known && members.is_watcher(now_ms)
    }

    /// Returns whether a kind may be fetched from another entry host. After its
    /// start an entry host first learns which others there are, in order to
    /// fetch from a near one.
    pub fn may_ask_peers(&self, now_ms: u64, kind: Kind) -> bool {
        kind == Kind::EntryHosts
            || self.is_list_known
            || self.joining.acts_unlisted(now_ms)
    }
}
