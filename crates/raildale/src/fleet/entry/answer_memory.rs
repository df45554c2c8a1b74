//! Reads answers that are passed on whole, within a common limit of memory.
//!
//! A target that fails may send bytes without end, in several answers at once.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::{Semaphore, SemaphorePermit};

/// The maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The size up to which an answer is read at once, in bytes. Larger ones wait
/// until there is memory for the largest answer.
const SMALL_ANSWER_BYTES: usize = 64 << 10;

/// The memory for large answers, in bytes: a quarter of that of the smallest
/// machines.
const LARGE_ANSWERS_BYTES: usize = 32 << 20;

/// Why an answer was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFailure {
    /// It broke off.
    Broken,
    /// It is longer than an answer may be.
    Oversized,
}

/// The memory for large answers that are being read.
#[derive(Debug)]
pub struct LargeAnswers {
    free_bytes: Semaphore,
}

impl Default for LargeAnswers {
    fn default() -> LargeAnswers {
        LargeAnswers { free_bytes: Semaphore::new(LARGE_ANSWERS_BYTES) }
    }
}

impl LargeAnswers {
    /// Creates it with all memory free.
    pub fn new() -> LargeAnswers {
        LargeAnswers::default()
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
        let mut reserved = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadFailure::Broken)?;
            let Ok(data) = frame.into_data() else { continue };
            let length = read.len() + data.len();
            if length > MAX_ANSWER_BYTES {
                return Err(ReadFailure::Oversized);
            }
            if length > SMALL_ANSWER_BYTES && reserved.is_none() {
                reserved = Some(self.reserve(&body, length).await?);
            }
            read.extend_from_slice(&data);
        }
        Ok(read.freeze())
    }

    /// Reserves the memory for all of an answer of which `length` bytes have
    /// arrived, so that it can always be read to its end.
    async fn reserve(
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
        let permit = self.free_bytes.acquire_many(bytes).await;
        permit.map_err(|_| ReadFailure::Broken)
    }
}
