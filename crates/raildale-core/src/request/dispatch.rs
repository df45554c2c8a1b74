//! A request on its way through an entry host.

use crate::{Digest, Name, message::Piece, request::admission::Priority};

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct Submission {
    /// BLAKE3 of the caller's key.
    pub key_hash: Digest,
    /// The model's name within the caller's organisation.
    pub model: Name,
    /// The body for the target.
    pub payload: Vec<u8>,
    /// The class.
    pub priority: Priority,
    /// How long the caller waits; the settings' deadline if absent.
    pub deadline_ms: Option<u64>,
    /// Whether the request may run twice.
    pub repeatable: bool,
    /// The key that the caller got for this request earlier.
    pub run_key: Option<String>,
    /// Whether the answer is sent on as it comes.
    pub stream: bool,
    /// Tokens wanted at most.
    pub max_tokens: u32,
    /// W3C trace context of the entry host's span.
    pub traceparent: String,
    /// A hash of the prompt's start, for prefix affinity.
    pub prefix: u64,
}

/// What stands of an answer so far.
///
/// An answer is whole when its length and digest equal those of its end mark.
/// Pieces may come twice, after a connection was lost and joined again; the
/// part that is here already is skipped.
#[derive(Debug, Default)]
pub struct Answer {
    data: Vec<u8>,
    has_gap: bool,
}

impl Answer {
    /// An empty answer.
    pub fn new() -> Answer {
        Answer::default()
    }

    /// Takes a piece in and returns what of it is new.
    pub fn append(&mut self, piece: &Piece) -> Vec<u8> {
        let Some(skip) =
            (self.data.len() as u64).checked_sub(piece.offset_bytes)
        else {
            self.has_gap = true;
            return vec![];
        };
        let new = piece.data.get(skip as usize..).unwrap_or_default().to_vec();
        self.data.extend_from_slice(&new);
        new
    }

    /// Whether this is the answer that the end mark describes.
    pub fn matches(&self, length_bytes: u64, digest: &[u8]) -> bool {
        !self.has_gap
            && self.data.len() as u64 == length_bytes
            && Digest::of(&self.data).as_bytes() == digest
    }

    /// Bytes so far.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Whether nothing has come.
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// The bytes.
    pub fn into_bytes(self) -> Vec<u8> {
        self.data
    }
}

/// Where a request is.
#[derive(Debug, PartialEq, Eq)]
pub enum Stage {
    /// In a queue of this entry host; nothing was sent.
    Queued,
    /// With an agent.
    Sent {
        /// The agent.
        agent: Name,
        /// When it was sent.
        since_ms: u64,
    },
    /// The connection to its agent was lost; it may be joined again.
    Detached {
        /// The agent.
        agent: Name,
        /// When to give up.
        until_ms: u64,
    },
}

/// A request that is not answered yet.
#[derive(Debug)]
pub struct Request {
    /// The caller's organisation.
    pub organisation: Name,
    /// `organisation/model`.
    pub model: Name,
    /// What the caller asked for.
    pub submission: Submission,
    /// When the caller stops waiting.
    pub deadline_ms: u64,
    /// Where it is.
    pub stage: Stage,
    /// The key of the current attempt.
    pub run_key: Option<Name>,
    /// The current attempt's number, unique at this entry host.
    pub attempt: u64,
    /// Targets tried.
    pub tried: Vec<Name>,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// The answer so far.
    pub answer: Answer,
}

impl Request {
    /// Whether the caller may know the run key from before, so that an
    /// earlier try may have run.
    pub fn key_is_held(&self) -> bool {
        self.submission.run_key.is_some()
    }
}
