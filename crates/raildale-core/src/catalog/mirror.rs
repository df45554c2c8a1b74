//! The local copy of one kind of object.

use std::collections::{BTreeMap, BTreeSet};

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
    /// The name behind which it is unknown which objects there are; `None` if
    /// all are known.
    unread_after: Option<Name>,
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

    /// Returns the name behind which it is unknown which objects there are;
    /// `None` if all are known.
    pub fn unread_after(&self) -> Option<&Name> {
        self.unread_after.as_ref()
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
            let mut unread = self.take_unread(&snapshot);
            unread.extend(self.apply_progress(snapshot.objects, &progress));
            return unread;
        }
        let removal = self.removal(snapshot.stamp);
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
        self.unread_after = None;
        known.into_keys().map(removal).chain(puts).collect()
    }

    /// Merges a snapshot that has all objects up to the name `unread_after`,
    /// and perhaps others, and returns the resulting changes. What is known of
    /// the names behind it stays.
    pub fn merge(
        &mut self,
        part: Snapshot,
        unread_after: Name,
        progress: impl Fn(&StoredObject) -> Option<Progress>,
    ) -> Vec<Change> {
        if self.is_known && part.stamp < self.stamp {
            return self.apply_progress(part.objects, &progress);
        }
        let removal = self.removal(part.stamp);
        let listed: BTreeSet<&Name> =
            part.objects.iter().map(|object| &object.name).collect();
        let read = self.objects.range(..=unread_after.clone());
        let missing = read.filter(|(name, _)| !listed.contains(name));
        let missing: Vec<Name> =
            missing.map(|(name, _)| name.clone()).collect();
        for name in &missing {
            self.objects.remove(name);
        }
        let puts = part.objects.into_iter().map(Change::Put);
        let puts: Vec<Change> =
            puts.filter(|put| self.apply_change(put, &progress)).collect();
        self.stamp = part.stamp;
        self.is_known = true;
        self.unread_after = Some(unread_after);
        missing.into_iter().map(removal).chain(puts).collect()
    }

    /// Applies the objects of another process that are later than what is
    /// known, and returns the changes. What that process lacks may exist.
    pub fn merge_later(
        &mut self,
        objects: Vec<StoredObject>,
        progress: impl Fn(&StoredObject) -> Option<Progress>,
    ) -> Vec<Change> {
        let is_later = |object: &StoredObject| {
            object.stamp > self.stamp
                || self.objects.contains_key(&object.name)
        };
        let later: Vec<StoredObject> =
            objects.into_iter().filter(is_later).collect();
        let puts = later.into_iter().map(Change::Put);
        puts.filter(|put| self.apply_change(put, &progress)).collect()
    }

    /// Returns how objects are removed that a snapshot of this stamp lacks.
    fn removal(&self, stamp: Stamp) -> fn(Name) -> Change {
        match self.is_known && stamp.era > self.stamp.era {
            true => Change::Lost,
            false => Change::Deleted,
        }
    }

    /// Takes the objects of an older snapshot of which nothing is known,
    /// because they could not be read, and returns the changes.
    fn take_unread(&mut self, snapshot: &Snapshot) -> Vec<Change> {
        let Some(unread_after) = &self.unread_after else { return Vec::new() };
        if snapshot.stamp.era != self.stamp.era {
            return Vec::new();
        }
        let objects = snapshot.objects.iter();
        let unread = objects.filter(|object| {
            object.name > *unread_after
                && !self.objects.contains_key(&object.name)
        });
        let unread: Vec<StoredObject> = unread.cloned().collect();
        for object in &unread {
            self.objects.insert(object.name.clone(), object.clone());
        }
        unread.into_iter().map(Change::Put).collect()
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
