//! The local copy of one kind of object.

use std::collections::BTreeMap;

use super::{Change, Progress, Snapshot, Stamp, StoredObject};
use crate::Name;

/// The local copy of one kind.
///
/// Between eras an object is only replaced by one whose progress is not
/// behind: a copy from which the store was restored reverts nothing.
#[derive(Debug, Default)]
pub struct Mirror {
    stamp: Stamp,
    is_known: bool,
    objects: BTreeMap<Name, StoredObject>,
}

impl Mirror {
    /// Creates an empty mirror.
    pub fn new() -> Mirror {
        Mirror::default()
    }

    /// Returns the last change of the store that is included.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Returns whether any snapshot has been received.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Returns an object by its name.
    pub fn get(&self, name: &str) -> Option<&StoredObject> {
        self.objects.get(name)
    }

    /// Returns all objects, to forward them to other processes.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            stamp: self.stamp,
            objects: self.objects.values().cloned().collect(),
        }
    }

    /// Replaces the contents with a snapshot and returns the resulting
    /// changes. From an older snapshot only objects with further progress are
    /// taken.
    pub fn replace(
        &mut self,
        snapshot: Snapshot,
        progress: impl Fn(&StoredObject) -> Option<Progress>,
    ) -> Vec<Change> {
        if self.is_known && snapshot.stamp < self.stamp {
            return self.take_further(snapshot.objects, &progress);
        }
        let is_restored = self.is_known && snapshot.stamp.era > self.stamp.era;
        let leave = if is_restored { Change::Lost } else { Change::Deleted };
        let mut known = std::mem::take(&mut self.objects);
        let mut puts = Vec::new();
        for told in snapshot.objects {
            let kept = known
                .remove(&told.name)
                .filter(|known| !gives_way(known, &told, &progress));
            if kept.is_none() {
                puts.push(Change::Put(told.clone()));
            }
            let object = kept.unwrap_or(told);
            self.objects.insert(object.name.clone(), object);
        }
        self.stamp = snapshot.stamp;
        self.is_known = true;
        known.into_keys().map(leave).chain(puts).collect()
    }

    /// Applies changes that lead up to `stamp` and returns those that had an
    /// effect. Changes of another era or up to an older stamp are ignored:
    /// they do not continue the known history.
    pub fn apply(
        &mut self,
        stamp: Stamp,
        changes: Vec<Change>,
        progress: impl Fn(&StoredObject) -> Option<Progress>,
    ) -> Vec<Change> {
        if stamp.era != self.stamp.era || stamp < self.stamp {
            return Vec::new();
        }
        self.stamp = stamp;
        let is_news = |change: &Change| self.take(change, &progress);
        changes.into_iter().filter(is_news).collect()
    }

    /// Applies those objects that supersede the known objects of the same
    /// names, and returns the changes.
    fn take_further(
        &mut self,
        objects: Vec<StoredObject>,
        progress: &impl Fn(&StoredObject) -> Option<Progress>,
    ) -> Vec<Change> {
        let is_known = |o: &StoredObject| self.objects.contains_key(&o.name);
        let known: Vec<StoredObject> =
            objects.into_iter().filter(is_known).collect();
        let puts = known.into_iter().map(Change::Put);
        puts.filter(|put| self.take(put, progress)).collect()
    }

    fn take(
        &mut self,
        change: &Change,
        progress: &impl Fn(&StoredObject) -> Option<Progress>,
    ) -> bool {
        match change {
            Change::Put(told) => {
                let known = self.objects.get(&told.name);
                let is_news =
                    known.is_none_or(|known| gives_way(known, told, progress));
                if is_news {
                    self.objects.insert(told.name.clone(), told.clone());
                }
                is_news
            }
            Change::Deleted(name) | Change::Lost(name) => {
                self.objects.remove(name).is_some()
            }
        }
    }
}

/// Returns whether a known object is superseded by a received one of the same
/// name: within an era by a later one, and across eras by one with further
/// progress, or by a later one if their progress is equal or cannot be
/// compared.
fn gives_way(
    known: &StoredObject,
    told: &StoredObject,
    progress: &impl Fn(&StoredObject) -> Option<Progress>,
) -> bool {
    let is_later = told.stamp > known.stamp;
    if known.stamp.era == told.stamp.era {
        return is_later;
    }
    match (progress(known), progress(told)) {
        (Some(known), Some(told)) if known.subject == told.subject => {
            match told.level.cmp(&known.level) {
                std::cmp::Ordering::Greater => true,
                std::cmp::Ordering::Equal => is_later,
                std::cmp::Ordering::Less => false,
            }
        }
        _ => is_later,
    }
}
