//! The contents of the platform's store, as known to one process.
//!
//! Objects are opaque here: the adapter of a platform decodes them. Knowledge
//! of a kind only moves to a later stamp of the store, regardless of its
//! source, so a lagging peer cannot revert anything.

mod heard;
mod mirror;

use bytes::Bytes;

pub use self::{heard::HeardChanges, mirror::Mirror};
use crate::Name;

/// The maximum size of an entry of a list, in bytes.
const MAX_ENTRY_BYTES: usize = 16 << 10;

/// The kinds of object that the system reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The operator's configuration.
    Configuration,
    /// The list of targets.
    Targets,
    /// The named versions of weights.
    Versions,
    /// The entry hosts' own entries.
    EntryHosts,
    /// Records of requests that end the targets that run them.
    Quarantine,
    /// The data centres that the operator evacuates. Only used where the
    /// settings say that there may be any.
    Evacuations,
}

impl Kind {
    /// Every kind, in the order of its number.
    pub const ALL: [Kind; 6] = [
        Kind::Configuration,
        Kind::Targets,
        Kind::Versions,
        Kind::EntryHosts,
        Kind::Quarantine,
        Kind::Evacuations,
    ];

    /// Returns the maximum size of an object's body, in bytes. Others than the
    /// platform write some kinds too; an object that is larger than any in use
    /// must not fill the memory and the links of all.
    fn max_body_bytes(self) -> usize {
        match self {
            Kind::Configuration => usize::MAX,
            Kind::Targets
            | Kind::Versions
            | Kind::EntryHosts
            | Kind::Quarantine
            | Kind::Evacuations => MAX_ENTRY_BYTES,
        }
    }

    /// Returns the kinds in use, in the order of their numbers.
    pub fn in_use(has_evacuations: bool) -> &'static [Kind] {
        let count = Kind::ALL.len() - usize::from(!has_evacuations);
        &Kind::ALL[..count]
    }

    /// Returns the number that messages carry.
    pub fn number(self) -> u32 {
        self as u32
    }

    /// Returns the kind with a number; `None` if there is none.
    pub fn from_number(number: u32) -> Option<Kind> {
        Kind::ALL.get(number as usize).copied()
    }
}

/// A position in the store's history.
///
/// A store that is restored from an older copy reuses revisions and increments
/// its era: of two stamps, the one with the higher era is the later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// The number of restores of the store; 0 if it does not report this.
    pub era: u64,
    /// The number of changes of the store within the era.
    pub revision: u64,
}

impl Stamp {
    /// Creates the stamp of a revision in an era.
    pub fn new(era: u64, revision: u64) -> Stamp {
        Stamp { era, revision }
    }
}

impl std::fmt::Display for Stamp {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// The extent of one process's knowledge of a kind, for comparison with
/// others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    /// The last known change.
    pub changed: Stamp,
    /// The first era of which anything is known; [`u64::MAX`] if nothing is
    /// known. A process that knew an earlier era also knows what a restore has
    /// reverted.
    pub oldest_era: u64,
}

impl Default for Extent {
    fn default() -> Extent {
        Extent { changed: Stamp::default(), oldest_era: u64::MAX }
    }
}

impl Extent {
    /// Returns whether it covers anything that `other` does not.
    pub fn adds_to(&self, other: &Extent) -> bool {
        self.changed > other.changed || self.oldest_era < other.oldest_era
    }
}

/// The progress of an object along a path that never goes backwards, not even
/// if the store is restored from an older copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Identifies the object that makes the progress, as an object may be
    /// replaced under its name.
    pub subject: u64,
    /// The level reached: the version of a configuration, or whether a target
    /// is leaving.
    pub level: u64,
}

/// An object of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Its name within its kind.
    pub name: Name,
    /// Its last change.
    pub stamp: Stamp,
    /// Its body, as the platform encodes it.
    pub body: Bytes,
}

impl StoredObject {
    /// Returns the object of a kind without its body if that is too large, so
    /// that it does not decode.
    pub fn bounded(self, kind: Kind) -> StoredObject {
        match self.body.len() > kind.max_body_bytes() {
            true => StoredObject { body: Bytes::new(), ..self },
            false => self,
        }
    }
}

/// All objects of a kind at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The last change of the store by that time.
    pub stamp: Stamp,
    /// The objects.
    pub objects: Vec<StoredObject>,
}

impl Snapshot {
    /// Returns the snapshot of a kind with bounded objects.
    pub fn bounded(self, kind: Kind) -> Snapshot {
        let objects = self.objects.into_iter();
        let objects = objects.map(|object| object.bounded(kind));
        Snapshot { stamp: self.stamp, objects: objects.collect() }
    }
}

/// A change of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The object was created or changed.
    Put(StoredObject),
    /// The object was deleted.
    Deleted(Name),
    /// The object is missing from the copy from which the store was restored:
    /// it is gone, or will be written again.
    Lost(Name),
}

impl Change {
    /// Returns the change of a kind with a bounded object.
    pub fn bounded(self, kind: Kind) -> Change {
        match self {
            Change::Put(object) => Change::Put(object.bounded(kind)),
            Change::Deleted(_) | Change::Lost(_) => self,
        }
    }
}
