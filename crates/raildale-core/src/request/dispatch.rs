//! The state of a request at an entry host.

use crate::{Digest, Name, message::Piece, request::admission::Priority};

/// A request as the caller submitted it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The BLAKE3 hash of the caller's API key.
    pub key_hash: Digest,
    /// The model's name within the caller's organisation.
    pub model: Name,
    /// The body passed to the target.
    pub payload: Vec<u8>,
    /// The priority class.
    pub priority: Priority,
    /// How long the caller waits; `None` for the deadline in the settings.
    pub deadline_ms: Option<u64>,
    /// Whether the request may safely run more than once.
    pub repeatable: bool,
    /// The run key that the caller received for this request earlier, if it
    /// is a retry.
    pub run_key: Option<String>,
    /// Whether the answer is streamed to the caller as it arrives.
    pub stream: bool,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The W3C trace context of the entry host's span.
    pub traceparent: String,
    /// A hash of the beginning of the prompt, for prefix affinity.
    pub prefix: u64,
}

/// The part of an answer received so far.
///
/// An answer is complete when its length and digest equal those in its end
/// message. A piece may arrive twice after a connection was lost and
/// re-established; bytes that were already received are skipped.
#[derive(Debug, Default)]
pub struct Answer {
    data: Vec<u8>,
    has_gap: bool,
}

impl Answer {
    /// Creates an empty answer.
    pub fn new() -> Answer {
        Answer::default()
    }

    /// Appends a piece and returns those of its bytes that are new. A piece
    /// that leaves a gap is ignored, and the answer can then never be
    /// complete.
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

    /// Returns whether the answer has the length and digest of its end
    /// message and no gap.
    pub fn matches(&self, length_bytes: u64, digest: &[u8]) -> bool {
        !self.has_gap
            && self.data.len() as u64 == length_bytes
            && Digest::of(&self.data).as_bytes() == digest
    }

    /// Returns the number of bytes received so far.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Returns whether no bytes have been received.
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Returns the bytes received so far.
    pub fn into_bytes(self) -> Vec<u8> {
        self.data
    }
}

/// The processing stage of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Stage {
    /// Queued at this entry host; nothing was sent to an agent.
    Queued,
    /// Sent to an agent.
    Sent {
        /// The agent.
        agent: Name,
        /// The time at which it was sent.
        since_ms: u64,
    },
    /// The connection to the agent was lost; the entry host can attach to
    /// the run again once it is re-established.
    Detached {
        /// The agent.
        agent: Name,
        /// The time at which the entry host gives up.
        until_ms: u64,
    },
}

/// A request in progress.
#[derive(Debug)]
pub struct Request {
    /// The caller's organisation.
    pub organisation: Name,
    /// `organisation/model`.
    pub model: Name,
    /// The request as the caller submitted it.
    pub submission: Submission,
    /// The time at which the caller stops waiting.
    pub deadline_ms: u64,
    /// The processing stage.
    pub stage: Stage,
    /// The run key of the current attempt.
    pub run_key: Option<Name>,
    /// The number of the current attempt, unique at this entry host.
    pub attempt: u64,
    /// The targets tried so far.
    pub tried: Vec<Name>,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// The part of the answer received so far.
    pub answer: Answer,
}

impl Request {
    /// Returns whether the caller submitted a run key from an earlier
    /// attempt, which may then have run.
    pub fn key_is_held(&self) -> bool {
        self.submission.run_key.is_some()
    }
}
