//! Settings at an entry host: the revision in force and the choice of the
//! entry hosts that watch the platform.

use super::{Effect, Entry, STARTUP_LISTEN_MS};
use crate::{
    Digest, LogEvent, Name,
    message::{Body, SettingsBody, SettingsRequest},
    rendezvous,
    settings::{Tree, revision::RevisionOrder},
};

/// The number of entry hosts of a data centre that watch the platform.
///
/// Two, so that changes are still seen while the loss of one is not yet
/// detected. Each waiting watch counts as a call to the platform, so the other
/// entry hosts get settings from their peers instead.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

impl Entry {
    pub(super) fn offer_settings(
        &mut self,
        revision: u64,
        text: Name,
        tree: Tree,
        effects: &mut Vec<Effect>,
    ) {
        match self.revision.compare(revision) {
            RevisionOrder::Newer => {}
            RevisionOrder::Same => return,
            RevisionOrder::Older => {
                let detail = revision.to_string();
                effects
                    .push(Effect::Log(LogEvent::SettingsOlderRefused, detail));
                return;
            }
        }
        self.revision.advance(revision);
        self.text = text;
        self.organisations_by_key = organisations_by_key(&tree);
        self.tree = tree;
        let detail = revision.to_string();
        effects.push(Effect::Log(LogEvent::SettingsInForce, detail));
        self.drop_unused_limits();
        self.broadcast_heartbeat(effects);
    }

    /// Returns whether this entry host may serve requests: it has settings, no
    /// peer has reported a newer revision, and, if it has seeds, it has heard
    /// a peer's revision or its start-up wait is over.
    pub fn may_serve(&self, now_ms: u64) -> bool {
        let newest =
            self.peers.values().map(|peer| peer.revision).max().unwrap_or(0);
        let has_heard = !self.config.has_seeds
            || newest > 0
            || now_ms >= self.started_ms + STARTUP_LISTEN_MS;
        let in_force = self.revision.in_force();
        in_force > 0 && in_force >= newest && has_heard
    }

    pub(super) fn request_settings(
        &self,
        entry: Name,
        effects: &mut Vec<Effect>,
    ) {
        let request = Body::SettingsRequest(SettingsRequest {});
        effects.push(Effect::ToEntry(entry, request));
    }

    /// Returns the message that carries the settings in force; `None` while
    /// there are none.
    pub(super) fn settings_body(&self) -> Option<Body> {
        let revision = self.revision.in_force();
        let text = self.text.to_string();
        (revision > 0)
            .then_some(Body::Settings(SettingsBody { revision, text }))
    }

    pub(super) fn choose_watchers(&mut self, effects: &mut Vec<Effect>) {
        let local_entries: Vec<Name> = self
            .live_entries()
            .into_iter()
            .filter(|name| self.is_near(name))
            .collect();
        let key = self.config.data_centre.as_bytes();
        let watchers = rendezvous::owners(
            key,
            local_entries.iter(),
            WATCHERS_PER_DATA_CENTRE,
        );
        let watching = watchers.contains(&&self.config.name);
        if watching != self.watching {
            self.watching = watching;
            effects.push(Effect::Watch(watching));
        }
    }

    fn is_near(&self, name: &Name) -> bool {
        let peer = self.peers.get(name);
        peer.is_none_or(|peer| {
            *peer.identity.data_centre == *self.config.data_centre
        })
    }

    /// Returns the organisation whose caller holds the key with this digest.
    pub fn organisation_of(&self, key_hash: &Digest) -> Option<&Name> {
        self.organisations_by_key.get(key_hash)
    }
}

fn organisations_by_key(
    tree: &Tree,
) -> std::collections::BTreeMap<Digest, Name> {
    let mut organisations = std::collections::BTreeMap::new();
    for (name, organisation) in &tree.organisations {
        for hash in &organisation.key_hashes {
            if let Some(digest) = Digest::from_hex(hash) {
                organisations.insert(digest, name.as_str().into());
            }
        }
    }
    organisations
}
