//! The memory for answers that are being read, within common limits.
//!
//! A target that fails may send bytes without end, or hold answers that have
//! begun, in thousands of answers at once. Each may use a little memory. One
//! that needs more waits until there is enough to read it to its end, so that
//! answers with a part of their memory never wait for one another.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use raildale_core::gateway::MAX_EVENT_BYTES;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, SemaphorePermit};

/// The maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The size up to which an answer or an incomplete event needs no reservation,
/// in bytes.
pub const SMALL_BYTES: usize = 8 << 10;

/// The size up to which an answer needs no reservation of a large one, in
/// bytes.
const MEDIUM_BYTES: usize = 64 << 10;

/// The memory for medium answers, in bytes.
const ALL_MEDIUM_BYTES: usize = 16 << 20;

/// The memory for large answers and events, in bytes: a quarter of that of the
/// smallest machines.
const ALL_LARGE_BYTES: usize = 32 << 20;

/// Why an answer was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFailure {
    /// It broke off.
    Broken,
    /// It is longer than an answer may be.
    Oversized,
}

/// The memory for answers that are being read.
#[derive(Debug)]
pub struct AnswerMemory {
    medium_bytes: Semaphore,
    large_bytes: Arc<Semaphore>,
}

impl Default for AnswerMemory {
    fn default() -> AnswerMemory {
        AnswerMemory {
            medium_bytes: Semaphore::new(ALL_MEDIUM_BYTES),
            large_bytes: Arc::new(Semaphore::new(ALL_LARGE_BYTES)),
        }
    }
}

impl AnswerMemory {
    /// Creates it with all memory free.
    pub fn new() -> AnswerMemory {
        AnswerMemory::default()
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// A [`ReadFailure`].
    pub async fn read(
        &self,
        mut body: Incoming,
    ) -> Result<Bytes, ReadFailure> {
        let mut read = BytesMut::new();
        let mut medium = None;
        let mut large = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadFailure::Broken)?;
            let Ok(data) = frame.into_data() else { continue };
            let length = read.len() + data.len();
            if length > MAX_ANSWER_BYTES {
                return Err(ReadFailure::Oversized);
            }
            if length > SMALL_BYTES && medium.is_none() {
                medium = Some(self.reserve_medium().await?);
            }
            if length > MEDIUM_BYTES && large.is_none() {
                large = Some(self.reserve_large(&body, length).await?);
            }
            read.extend_from_slice(&data);
        }
        Ok(read.freeze())
    }

    /// Reserves the memory for an event that is larger than [`SMALL_BYTES`].
    /// Returns `None` if the process is ending.
    pub async fn reserve_event(&self) -> Option<OwnedSemaphorePermit> {
        let large_bytes = self.large_bytes.clone();
        large_bytes.acquire_many_owned(MAX_EVENT_BYTES as u32).await.ok()
    }

    async fn reserve_medium(
        &self,
    ) -> Result<SemaphorePermit<'_>, ReadFailure> {
        let permit = self.medium_bytes.acquire_many(MEDIUM_BYTES as u32).await;
        permit.map_err(|_| ReadFailure::Broken)
    }

    /// Reserves the memory for all of an answer of which `length` bytes have
    /// arrived.
    async fn reserve_large(
        &self,
        body: &Incoming,
        length: usize,
    ) -> Result<SemaphorePermit<'_>, ReadFailure> {
        let max_left = MAX_ANSWER_BYTES - length;
        let left = match body.size_hint().exact() {
            Some(left) if left > max_left as u64 => {
                return Err(ReadFailure::Oversized);
            }
            Some(left) => left as usize,
            None => max_left,
        };
        // At most [`MAX_ANSWER_BYTES`].
        let bytes = (length + left) as u32;
        let permit = self.large_bytes.acquire_many(bytes).await;
        permit.map_err(|_| ReadFailure::Broken)
    }
}
