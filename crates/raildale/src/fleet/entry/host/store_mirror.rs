//! The local copy of the store, by kind of object.

use std::{cell::RefCell, collections::BTreeMap};

use raildale_core::{
    Name,
    catalog::{
        Change, Extent, Kind, Mirror, Progress, Snapshot, Stamp, StoredObject,
    },
};

/// The local copy of the store.
#[derive(Debug)]
pub struct StoreMirror {
    kinds: RefCell<BTreeMap<Kind, KindMirror>>,
}

/// The local copy of one kind of object.
#[derive(Debug, Default)]
struct KindMirror {
    mirror: Mirror,
    /// The stamp of the kind's last change, which may be older than the
    /// store's last change of any kind, and the oldest era that the copy
    /// covers.
    extent: Extent,
}

impl StoreMirror {
    /// Creates an empty copy.
    pub(super) fn new() -> StoreMirror {
        let kinds = Kind::ALL.map(|kind| (kind, KindMirror::default()));
        StoreMirror { kinds: RefCell::new(BTreeMap::from(kinds)) }
    }

    /// Returns the stamp of the store's change up to which a kind is known.
    pub fn stamp(&self, kind: Kind) -> Stamp {
        self.kinds.borrow()[&kind].mirror.stamp()
    }

    /// Returns the extent of a kind, which other entry hosts compare with
    /// theirs.
    pub fn extent(&self, kind: Kind) -> Extent {
        self.kinds.borrow()[&kind].extent
    }

    /// Returns all known objects of a kind.
    pub fn snapshot(&self, kind: Kind) -> Snapshot {
        self.kinds.borrow()[&kind].mirror.snapshot()
    }

    /// Whether anything is known of a kind.
    pub fn is_known(&self, kind: Kind) -> bool {
        self.kinds.borrow()[&kind].mirror.is_known()
    }

    /// Replaces a whole kind by a snapshot whose source knows it to the extent
    /// `source_extent`. Returns the resulting changes.
    pub(super) fn replace(
        &self,
        kind: Kind,
        snapshot: Snapshot,
        source_extent: Extent,
        progress: impl Fn(&StoredObject) -> Option<Progress>,
    ) -> Vec<Change> {
        let snapshot = snapshot.bounded(kind);
        let newest = snapshot.objects.iter().map(|o| o.stamp).max();
        let newest = newest.max(Some(source_extent.changed));
        let oldest_era = source_extent.oldest_era.min(snapshot.stamp.era);
        self.update(kind, newest, oldest_era, |mirror| {
            mirror.replace(snapshot, progress)
        })
    }

    /// Returns the name behind which it is unknown which objects of a kind
    /// there are; `None` if all are known.
    pub fn unread_after(&self, kind: Kind) -> Option<Name> {
        self.kinds.borrow()[&kind].mirror.unread_after().cloned()
    }

    /// Merges a part of a kind: all objects up to the name `unread_after`.
    /// Returns the resulting changes.
    pub(super) fn merge(
        &self,
        kind: Kind,
        part: Snapshot,
        unread_after: Name,
        progress: impl Fn(&StoredObject) -> Option<Progress>,
    ) -> Vec<Change> {
        let part = part.bounded(kind);
        let newest = part.objects.iter().map(|o| o.stamp).max();
        // Others that know the whole kind know more.
        self.update(kind, newest, u64::MAX, |mirror| {
            mirror.merge(part, unread_after, progress)
        })
    }

    /// Applies the objects of a kind that another entry host knows in part, up
    /// to the change `changed`. Returns the resulting changes.
    pub(super) fn merge_later(
        &self,
        kind: Kind,
        part: Snapshot,
        changed: Stamp,
        progress: impl Fn(&StoredObject) -> Option<Progress>,
    ) -> Vec<Change> {
        let objects = part.bounded(kind).objects;
        self.update(kind, Some(changed), u64::MAX, |mirror| {
            mirror.merge_later(objects, progress)
        })
    }

    /// Applies changes of a kind that lead up to `stamp`. Returns those that
    /// were new.
    pub(super) fn apply(
        &self,
        kind: Kind,
        stamp: Stamp,
        changes: Vec<Change>,
        progress: impl Fn(&StoredObject) -> Option<Progress>,
    ) -> Vec<Change> {
        let changes = changes.into_iter().map(|c| c.bounded(kind));
        let changes: Vec<Change> = changes.collect();
        // A deletion does not carry its own stamp; it happened by the
        // answer's.
        let newest = changes
            .iter()
            .map(|change| match change {
                Change::Put(object) => object.stamp,
                Change::Deleted(_) | Change::Lost(_) => stamp,
            })
            .max();
        self.update(kind, newest, stamp.era, |mirror| {
            mirror.apply(stamp, changes, progress)
        })
    }

    fn update(
        &self,
        kind: Kind,
        newest: Option<Stamp>,
        oldest_era: u64,
        change: impl FnOnce(&mut Mirror) -> Vec<Change>,
    ) -> Vec<Change> {
        let mut kinds = self.kinds.borrow_mut();
        let copy = kinds.entry(kind).or_default();
        let extent = &mut copy.extent;
        extent.changed = extent.changed.max(newest.unwrap_or_default());
        extent.oldest_era = extent.oldest_era.min(oldest_era);
        change(&mut copy.mirror)
    }
}
