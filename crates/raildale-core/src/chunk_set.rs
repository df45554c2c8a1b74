//! A set of chunk indices, stored as a bitmap.

/// A set of chunks of one manifest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChunkSet {
    bits: Vec<u8>,
    count: usize,
}

impl ChunkSet {
    /// Returns an empty set.
    pub fn new() -> ChunkSet {
        ChunkSet::default()
    }

    /// Reads a bitmap, low bit first, and ignores bits at or beyond `len`.
    pub fn from_bitmap(bitmap: &[u8], len: usize) -> ChunkSet {
        let mut set = ChunkSet::new();
        for index in 0..len.min(bitmap.len() * 8) {
            if bitmap[index / 8] >> (index % 8) & 1 == 1 {
                set.insert(index);
            }
        }
        set
    }

    /// Returns the bitmap, low bit first. It may be shorter than the
    /// manifest's number of chunks requires.
    pub fn to_bitmap(&self) -> Vec<u8> {
        self.bits.clone()
    }

    /// Adds `index`. Returns whether it was absent.
    pub fn insert(&mut self, index: usize) -> bool {
        if self.contains(index) {
            return false;
        }
        if self.bits.len() <= index / 8 {
            self.bits.resize(index / 8 + 1, 0);
        }
        self.bits[index / 8] |= 1 << (index % 8);
        self.count += 1;
        true
    }

    /// Removes `index`. Returns whether it was present.
    pub fn remove(&mut self, index: usize) -> bool {
        if !self.contains(index) {
            return false;
        }
        self.bits[index / 8] &= !(1 << (index % 8));
        self.count -= 1;
        true
    }

    /// Returns whether `index` is in the set.
    pub fn contains(&self, index: usize) -> bool {
        self.bits
            .get(index / 8)
            .is_some_and(|byte| byte >> (index % 8) & 1 == 1)
    }

    /// Returns the number of chunks in the set.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Iterates over the indices in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.bits.len() * 8).filter(|index| self.contains(*index))
    }
}
