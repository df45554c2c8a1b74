//! Whole events out of the bytes of an event stream.

use bytes::{Bytes, BytesMut};

/// Cuts a stream's bytes at the end of events.
///
/// Only whole events leave, so that a stream which breaks off inside an
/// event can go on at another target without a doubled or torn piece.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// A splitter at the start of a stream.
    pub fn new() -> EventSplitter {
        EventSplitter::default()
    }

    /// Takes bytes in; returns the whole events that they complete.
    pub fn push(&mut self, data: Bytes) -> Option<Bytes> {
        if self.pending.is_empty() && data.ends_with(b"\n\n") {
            self.note_ids(&data);
            return Some(data);
        }
        let from = self.pending.len().saturating_sub(1);
        self.pending.extend_from_slice(&data);
        let end = last_event_end(&self.pending, from)?;
        let whole = self.pending.split_to(end).freeze();
        self.note_ids(&whole);
        Some(whole)
    }

    /// The id of the last whole event that left.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether bytes of an unfinished event are held back.
    pub fn is_torn(&self) -> bool {
        !self.pending.is_empty()
    }

    /// What is held back, for a stream that ended by itself.
    pub fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Forgets what is held back; the stream goes on with another run.
    pub fn drop_torn(&mut self) {
        self.pending.clear();
    }

    fn note_ids(&mut self, whole: &[u8]) {
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
