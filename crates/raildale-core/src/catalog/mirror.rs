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
            return self.apply_progress(snapshot.objects, &progress);
        }
        let is_restored = self.is_known && snapshot.stamp.era > self.stamp.era;
        let removal = if is_restored { Change::Lost } else { Change::Deleted };
        let mut known = std::mem::take(&mut self.objects);
        let mut puts = Vec::new();
        for received in snapshot.objects {
            let retained = known
                .remove(&received.name)
                .filter(|known| !is_superseded(known, &received, &progress));
            if retained.is_none() {
                puts.push(Change::Put(received.clone()));
            }
            let object = retained.unwrap_or(received);
            self.objects.insert(object.name.clone(), object);
        }
        self.stamp = snapshot.stamp;
        self.is_known = true;
        known.into_keys().map(removal).chain(puts).collect()
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
        let is_applied =
            |change: &Change| self.apply_change(change, &progress);
        changes.into_iter().filter(is_applied).collect()
    }

    /// Applies those objects that supersede the known objects of the same
    /// names, and returns the changes.
    fn apply_progress(
        &mut self,
        objects: Vec<StoredObject>,
        progress: &impl Fn(&StoredObject) -> Option<Progress>,
    ) -> Vec<Change> {
        let is_known = |o: &StoredObject| self.objects.contains_key(&o.name);
        let known: Vec<StoredObject> =
            objects.into_iter().filter(is_known).collect();
        let puts = known.into_iter().map(Change::Put);
        puts.filter(|put| self.apply_change(put, progress)).collect()
    }

    fn apply_change(
        &mut self,
        change: &Change,
        progress: &impl Fn(&StoredObject) -> Option<Progress>,
    ) -> bool {
        match change {
            Change::Put(received) => {
                let known = self.objects.get(&received.name);
                let is_applied = known.is_none_or(|known| {
                    is_superseded(known, received, progress)
                });
                if is_applied {
                    self.objects
                        .insert(received.name.clone(), received.clone());
                }
                is_applied
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
fn is_superseded(
    known: &StoredObject,
    received: &StoredObject,
    progress: &impl Fn(&StoredObject) -> Option<Progress>,
) -> bool {
    let is_later = received.stamp > known.stamp;
    if known.stamp.era == received.stamp.era {
        return is_later;
    }
    match (progress(known), progress(received)) {
        (Some(known), Some(received)) if known.subject == received.subject => {
            match received.level.cmp(&known.level) {
                std::cmp::Ordering::Greater => true,
                std::cmp::Ordering::Equal => is_later,
                std::cmp::Ordering::Less => false,
            }
        }
        _ => is_later,
    }
}
