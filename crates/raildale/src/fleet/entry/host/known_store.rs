//! What an entry host knows of the store, by kind of object.

use std::{cell::RefCell, collections::BTreeMap};

use raildale_core::catalog::{Change, Kind, Mirror, Snapshot};

/// What is known of the store.
#[derive(Debug)]
pub struct KnownStore {
    kinds: RefCell<BTreeMap<Kind, KnownKind>>,
}

/// What is known of one kind.
#[derive(Debug, Default)]
struct KnownKind {
    mirror: Mirror,
    /// The revision of the last change, which may be older than the store's
    /// own.
    changed_revision: u64,
}

impl KnownStore {
    /// Nothing known yet.
    pub(super) fn new() -> KnownStore {
        let kinds = Kind::ALL.map(|kind| (kind, KnownKind::default()));
        KnownStore { kinds: RefCell::new(BTreeMap::from(kinds)) }
    }

    /// The store's revision up to which a kind is known.
    pub fn revision(&self, kind: Kind) -> u64 {
        self.kinds.borrow()[&kind].mirror.revision()
    }

    /// The store's revision of the last change that is known of a kind.
    pub fn changed_revision(&self, kind: Kind) -> u64 {
        self.kinds.borrow()[&kind].changed_revision
    }

    /// All that is known of a kind.
    pub fn snapshot(&self, kind: Kind) -> Snapshot {
        self.kinds.borrow()[&kind].mirror.snapshot()
    }

    /// Whether anything is known of a kind.
    pub fn is_known(&self, kind: Kind) -> bool {
        self.kinds.borrow()[&kind].mirror.is_known()
    }

    /// Takes over a whole kind, last changed at `changed_revision` as whoever
    /// gave it knows; returns what changed by it.
    pub(super) fn replace(
        &self,
        kind: Kind,
        snapshot: Snapshot,
        changed_revision: u64,
    ) -> Vec<Change> {
        let newest = snapshot.objects.iter().map(|o| o.revision).max();
        let newest = newest.max(Some(changed_revision));
        self.update(kind, newest, |mirror| mirror.replace(snapshot))
    }

    /// Takes over changes of a kind that lead up to `revision`; returns
    /// those that were news.
    pub(super) fn apply(
        &self,
        kind: Kind,
        revision: u64,
        changes: Vec<Change>,
    ) -> Vec<Change> {
        // A deletion does not tell its revision: it was by the answer's.
        let newest = changes
            .iter()
            .map(|change| match change {
                Change::Put(object) => object.revision,
                Change::Deleted(_) => revision,
            })
            .max();
        self.update(kind, newest, |mirror| mirror.apply(revision, changes))
    }

    fn update(
        &self,
        kind: Kind,
        newest: Option<u64>,
        change: impl FnOnce(&mut Mirror) -> Vec<Change>,
    ) -> Vec<Change> {
        let mut kinds = self.kinds.borrow_mut();
        let known = kinds.entry(kind).or_default();
        known.changed_revision =
            known.changed_revision.max(newest.unwrap_or(0));
        change(&mut known.mirror)
    }
}
