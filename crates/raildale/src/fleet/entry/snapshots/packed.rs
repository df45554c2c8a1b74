//! The compressed form of snapshots: encoded and deflated.
//!
//! A configuration of 1,600 routes is some hundred kilobytes of repetitive
//! text, and the links of entry hosts carry callers' answers as well.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    io::{Read, Write},
};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use prost::Message;
use raildale_core::{
    Name,
    catalog::{Kind, Snapshot, Stamp, StoredObject},
    fleet_message::{ObjectEntry, ObjectList},
};

use crate::error::{Error, ErrorKind};

/// The maximum size of a kind's unpacked objects, in bytes: four pages of a
/// megabyte.
const MAX_UNPACKED_BYTES: u64 = 4 << 20;

/// The last packed snapshot of each kind, cached because many entry hosts ask
/// for the same.
#[derive(Debug, Default)]
pub struct PackedSnapshots {
    by_kind: BTreeMap<Kind, (Stamp, Bytes)>,
}

impl PackedSnapshots {
    /// Removes the snapshot of a kind that has changed.
    pub fn forget(&mut self, kind: Kind) {
        self.by_kind.remove(&kind);
    }

    /// Returns the packed objects of a snapshot; a cached result for the same
    /// stamp is reused.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if they cannot be deflated.
    pub(super) fn pack(
        &mut self,
        kind: Kind,
        snapshot: Snapshot,
    ) -> Result<Bytes, Error> {
        if let Some((stamp, packed)) = self.by_kind.get(&kind)
            && *stamp == snapshot.stamp
        {
            return Ok(packed.clone());
        }
        let stamp = snapshot.stamp;
        let list = object_list(snapshot);
        let packed = deflate(&without_longest(list).encode_to_vec())?;
        self.by_kind.insert(kind, (stamp, packed.clone()));
        Ok(packed)
    }
}

/// Returns the snapshot with the given stamp and packed objects.
///
/// # Errors
///
/// [`ErrorKind::Io`] if they cannot be inflated, [`ErrorKind::Frame`] if they
/// are too large or not a list of objects.
pub(super) fn unpack(stamp: Stamp, packed: &[u8]) -> Result<Snapshot, Error> {
    let list = ObjectList::decode(inflate(packed)?)
        .map_err(|error| Error::new(ErrorKind::Frame, error.to_string()))?;
    let objects = list.objects.into_iter().map(|entry| StoredObject {
        name: Name::from(entry.name),
        stamp: Stamp::new(entry.era, entry.revision),
        body: entry.body,
    });
    Ok(Snapshot { stamp, objects: objects.collect() })
}

fn object_list(snapshot: Snapshot) -> ObjectList {
    let objects = snapshot.objects.into_iter().map(|object| ObjectEntry {
        name: object.name.to_string(),
        revision: object.stamp.revision,
        era: object.stamp.era,
        body: object.body,
    });
    ObjectList { objects: objects.collect() }
}

/// Returns the list without the longest bodies that make it too large for the
/// other entry host: those objects do not decode there, all others do.
fn without_longest(mut list: ObjectList) -> ObjectList {
    let excess = list.encoded_len() as u64;
    let mut excess = excess.saturating_sub(MAX_UNPACKED_BYTES) as usize;
    if excess == 0 {
        return list;
    }
    let mut longest: Vec<&mut ObjectEntry> = list.objects.iter_mut().collect();
    longest.sort_unstable_by_key(|entry| Reverse(entry.body.len()));
    for entry in longest {
        if excess == 0 {
            break;
        }
        excess = excess.saturating_sub(entry.body.len());
        entry.body = Bytes::new();
    }
    list
}

fn deflate(bytes: &[u8]) -> Result<Bytes, Error> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    Ok(Bytes::from(encoder.finish()?))
}

fn inflate(packed: &[u8]) -> Result<Bytes, Error> {
    let mut bytes = Vec::new();
    let decoder = DeflateDecoder::new(packed);
    decoder.take(MAX_UNPACKED_BYTES + 1).read_to_end(&mut bytes)?;
    // A list that was cut off between two objects would pass for a shorter
    // one.
    if bytes.len() as u64 > MAX_UNPACKED_BYTES {
        return Err(Error::new(ErrorKind::Frame, "too many objects"));
    }
    Ok(Bytes::from(bytes))
}
