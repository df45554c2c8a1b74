//! The memory for answers, from their targets to their callers, within common
//! limits.
//!
//! A target that fails may send bytes without end, or hold answers that have
//! begun, in thousands of answers at once. Each may use a little memory. One
//! that needs more waits until there is enough to read it to its end, so that
//! answers with a part of their memory never wait for one another. It keeps
//! that until its caller has it; a caller that reads nothing while others wait
//! loses it.

use std::{
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Body, Incoming},
};
use raildale_core::gateway::MAX_EVENT_BYTES;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

use super::{ports::Port, resources::Resources};

/// The maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The size up to which an answer or an incomplete event needs no reservation,
/// in bytes.
pub const SMALL_BYTES: usize = 8 << 10;

/// The size up to which an answer needs no reservation of a large one, in
/// bytes.
const MEDIUM_BYTES: usize = 64 << 10;

/// How long a caller may read nothing of its answer while others wait for
/// memory, in milliseconds.
const MAX_UNREAD_MS: u64 = 1_000;

/// The interval at which an answer that waits for memory looks for others that
/// are not read.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Why an answer was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFailure {
    /// It broke off.
    Broken,
    /// It is longer than an answer may be.
    Oversized,
}

/// The memory for answers.
#[derive(Debug)]
pub struct AnswerMemory {
    medium_bytes: Arc<Semaphore>,
    large_bytes: Arc<Semaphore>,
    /// The port whose callers the answers are for.
    callers: Rc<Port>,
}

/// The memory of an answer; it is free once this is dropped.
#[derive(Debug, Default)]
pub struct AnswerReservation {
    medium: Option<OwnedSemaphorePermit>,
    large: Option<OwnedSemaphorePermit>,
}

/// The memory of a response's body, among the response's extensions.
#[derive(Clone, Debug)]
pub struct HeldAnswer(Arc<Mutex<Option<AnswerReservation>>>);

impl HeldAnswer {
    fn new(reservation: AnswerReservation) -> HeldAnswer {
        HeldAnswer(Arc::new(Mutex::new(Some(reservation))))
    }

    /// Takes the memory out of a response; `None` if its body needs none.
    pub fn take<B>(response: &mut Response<B>) -> Option<AnswerReservation> {
        let held: HeldAnswer = response.extensions_mut().remove()?;
        held.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl AnswerReservation {
    /// Adds it to the response whose body it is for.
    pub fn add_to<B>(self, response: &mut Response<B>) {
        if self.medium.is_some() || self.large.is_some() {
            response.extensions_mut().insert(HeldAnswer::new(self));
        }
    }
}

impl AnswerMemory {
    /// Creates it with all memory free.
    pub fn new(resources: &Resources, callers: Rc<Port>) -> AnswerMemory {
        let memory = |bytes| Arc::new(Semaphore::new(bytes));
        AnswerMemory {
            medium_bytes: memory(resources.medium_answer_bytes),
            large_bytes: memory(resources.large_answer_bytes),
            callers,
        }
    }

    /// Reads a body to its end. Returns it with its memory.
    ///
    /// # Errors
    ///
    /// A [`ReadFailure`].
    pub async fn read(
        &self,
        mut body: Incoming,
    ) -> Result<(Bytes, AnswerReservation), ReadFailure> {
        let mut read = BytesMut::new();
        let mut held = AnswerReservation::default();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadFailure::Broken)?;
            let Ok(data) = frame.into_data() else { continue };
            let length = read.len() + data.len();
            if length > MAX_ANSWER_BYTES {
                return Err(ReadFailure::Oversized);
            }
            if length > SMALL_BYTES && held.medium.is_none() {
                let medium = self.reserve(&self.medium_bytes, MEDIUM_BYTES);
                held.medium = Some(medium.await?);
            }
            if length > MEDIUM_BYTES && held.large.is_none() {
                let bytes = large_bytes(&body, length)?;
                let large = self.reserve(&self.large_bytes, bytes);
                held.large = Some(large.await?);
            }
            read.extend_from_slice(&data);
        }
        Ok((read.freeze(), held))
    }

    /// Reserves the memory for an event that is larger than [`SMALL_BYTES`].
    /// Returns `None` if the process is ending.
    pub async fn reserve_event(&self) -> Option<OwnedSemaphorePermit> {
        self.reserve(&self.large_bytes, MAX_EVENT_BYTES).await.ok()
    }

    /// Waits until `bytes` of a memory are free, and takes them. Callers that
    /// read nothing meanwhile lose theirs.
    async fn reserve(
        &self,
        memory: &Arc<Semaphore>,
        bytes: usize,
    ) -> Result<OwnedSemaphorePermit, ReadFailure> {
        // At most [`MAX_ANSWER_BYTES`].
        let acquiring = memory.clone().acquire_many_owned(bytes as u32);
        let mut acquiring = std::pin::pin!(acquiring);
        loop {
            let checked =
                timeout(UNREAD_CHECK_INTERVAL, acquiring.as_mut()).await;
            match checked {
                Ok(permit) => return permit.map_err(|_| ReadFailure::Broken),
                Err(_) => {
                    let closed = self.callers.close_unread(MAX_UNREAD_MS);
                    if closed > 0 {
                        log::info!("closed {closed} unread answers");
                    }
                }
            }
        }
    }
}

/// Returns the memory for all of an answer of which `length` bytes have
/// arrived.
fn large_bytes(body: &Incoming, length: usize) -> Result<usize, ReadFailure> {
    let max_left = MAX_ANSWER_BYTES - length;
    match body.size_hint().exact() {
        Some(left) if left > max_left as u64 => Err(ReadFailure::Oversized),
        Some(left) => Ok(length + left as usize),
        None => Ok(MAX_ANSWER_BYTES),
    }
}
