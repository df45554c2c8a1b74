//! Splits the bytes of an event stream into whole events.

use bytes::{Bytes, BytesMut};

/// The maximum size of an incomplete event, in bytes. A target that fails may
/// send bytes without any end of an event.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream's bytes at the ends of events.
///
/// Only whole events are passed on, so that a stream that breaks off within an
/// event can be resumed at another target without a duplicate or partial
/// event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Creates a splitter for the beginning of a stream.
    pub fn new() -> EventSplitter {
        EventSplitter::default()
    }

    /// Adds bytes and returns the whole events that they complete, if any.
    pub fn push(&mut self, data: Bytes) -> Option<Bytes> {
        if self.pending.is_empty() && data.ends_with(b"\n\n") {
            self.update_last_id(&data);
            return Some(data);
        }
        let from = self.pending.len().saturating_sub(1);
        self.pending.extend_from_slice(&data);
        let end = last_event_end(&self.pending, from)?;
        let whole = self.pending.split_to(end).freeze();
        self.update_last_id(&whole);
        Some(whole)
    }

    /// Returns the id of the last whole event that was returned, if it had
    /// one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the number of buffered bytes of an incomplete event.
    pub fn partial_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether the incomplete event is too long to be buffered further.
    pub fn is_oversized(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Removes and returns the buffered bytes, for a stream that has ended.
    pub fn take_partial(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Discards the buffered bytes, for a stream that is resumed with another
    /// run.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    fn update_last_id(&mut self, whole: &[u8]) {
        let id = whole
            .rsplit(|byte| *byte == b'\n')
            .find_map(|line| line.strip_prefix(b"id:"));
        if let Some(id) = id {
            let id = String::from_utf8_lossy(id).trim().to_string();
            self.last_id = Some(id);
        }
    }
}

fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let at = bytes[from..].windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(from + at + 2)
}
