//! Rendezvous hashing: all processes choose the same owner for a key.
//!
//! Unlike a hash ring, it needs no shared table: two processes that see the
//! same live names agree, and the loss of a name moves only the keys that it
//! owned. The cost is one hash for each candidate. For a few hundred entry
//! hosts that takes microseconds, once per version and not once per request.

use crate::Name;

/// Returns the candidate with the highest weight for `key`; `None` if there
/// are no candidates.
pub fn owner<'a>(
    key: &[u8],
    candidates: impl Iterator<Item = &'a Name>,
) -> Option<&'a Name> {
    candidates.max_by_key(|name| (weight(key, name), *name))
}

/// Returns up to `count` candidates with the highest weights for `key`,
/// highest first.
pub fn owners<'a>(
    key: &[u8],
    candidates: impl Iterator<Item = &'a Name>,
    count: usize,
) -> Vec<&'a Name> {
    let mut ranked: Vec<_> =
        candidates.map(|name| (weight(key, name), name)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, name)| name).collect()
}

fn weight(key: &[u8], name: &Name) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key);
    hasher.update(name.as_bytes());
    let hash = hasher.finalize();
    u64::from_le_bytes(
        hash.as_bytes()[..8].try_into().expect("a digest has 32 bytes"),
    )
}
