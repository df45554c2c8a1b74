//! Answers to another agent, sent in slices.
//!
//! Data in the queue of a link cannot be withdrawn. An agent fetches from up
//! to a dozen others: if its link is congested meanwhile, whole chunks of each
//! fill its queue for seconds, and requests to its target wait behind them. So
//! each connection has only a few slices in flight until one is acknowledged.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use raildale_core::{
    fleet_message::{FleetBody, ItemResponse},
    swarm::{WeightDigest, reducer::Content},
};
use tokio::{
    io::AsyncWriteExt,
    net::tcp::OwnedWriteHalf,
    sync::{Semaphore, mpsc},
};

use crate::{
    fleet::{frames, steady_clock::now_ms},
    pacer::{Pacer, SLICE_BYTES},
};

/// An answer that is queued for the link.
#[derive(Debug)]
pub struct QueuedAnswer {
    /// The ID of the request on its connection.
    pub request_id: u64,
    /// When it was requested, in milliseconds of the steady clock.
    pub requested_ms: u64,
    /// The answer.
    pub content: Content,
}

/// The outgoing network link that all answers share.
#[derive(Debug)]
pub struct Link {
    pacer: Pacer,
    chunk_permits: Semaphore,
}

/// The maximum number of chunks that are sent concurrently. It is low because
/// chunks that share the link all arrive late, and an agent that waits for one
/// cannot pass it on. It is above one so that a slow reader does not hold up
/// the others.
const MAX_CONCURRENT_CHUNKS: usize = 2;

/// The maximum number of unacknowledged slices of a connection: the second one
/// is sent while the acknowledgement of the first is awaited. With one, the
/// first target of a fleet held a version 0.8 s later, and 32 targets took it
/// for 72.
const MAX_SLICES_IN_FLIGHT: usize = 2;

/// How long a reader may take to acknowledge a slice before another chunk may
/// be sent in place of its own.
const SLOW_READER_TIMEOUT: Duration = Duration::from_millis(40);

impl Link {
    /// Creates a link that sends at most `bytes_per_s` of answers.
    pub fn new(bytes_per_s: u64) -> Link {
        Link {
            pacer: Pacer::new(bytes_per_s),
            chunk_permits: Semaphore::new(MAX_CONCURRENT_CHUNKS),
        }
    }
}

/// Limits the unacknowledged slices of a connection. Clones share their state.
#[derive(Clone, Debug)]
pub struct SliceWindow(Rc<Semaphore>);

impl Default for SliceWindow {
    fn default() -> SliceWindow {
        SliceWindow::new()
    }
}

impl SliceWindow {
    /// Creates a window with no slices in flight.
    pub fn new() -> SliceWindow {
        SliceWindow(Rc::new(Semaphore::new(MAX_SLICES_IN_FLIGHT)))
    }

    /// Handles an acknowledgement. Surplus ones have no effect.
    pub fn acknowledge(&self) {
        if self.0.available_permits() < MAX_SLICES_IN_FLIGHT {
            self.0.add_permits(1);
        }
    }

    /// Closes the window when the connection has ended. Nothing waits for it
    /// from then on.
    pub fn close(&self) {
        self.0.close();
    }

    /// Waits until a slice may be sent, and counts it as in flight. Returns at
    /// once if the window is closed.
    pub async fn acquire(&self) {
        // If the window is closed, the write finds that the connection ended.
        if let Ok(permit) = self.0.acquire().await {
            permit.forget();
        }
    }
}

/// Writes the answers of one connection.
#[derive(Debug)]
pub struct AnswerWriter {
    /// The write half of the connection.
    pub write: OwnedWriteHalf,
    /// The link that all connections share.
    pub link: Rc<Link>,
    /// The window of this connection.
    pub window: SliceWindow,
}

impl AnswerWriter {
    /// Writes answers until the connection fails or the channel is closed.
    pub async fn run(
        mut self,
        mut answers: mpsc::UnboundedReceiver<QueuedAnswer>,
    ) {
        while let Some(queued) = answers.recv().await {
            if let Err(error) = self.answer(queued).await {
                log::debug!("answer to an agent: {error}");
                return;
            }
        }
    }

    async fn answer(&mut self, queued: QueuedAnswer) -> std::io::Result<()> {
        let QueuedAnswer { request_id, requested_ms, content } = queued;
        let link = self.link.clone();
        let mut permit = link.chunk_permits.acquire().await;
        let waited_ms = now_ms().saturating_sub(requested_ms);
        let mut reply = ItemResponse {
            question: request_id,
            waited_ms,
            ..ItemResponse::default()
        };
        let mut chunk = match content {
            Content::Chunk(data) => data,
            Content::Manifest(digests) => {
                reply.digests = Some(WeightDigest::encode_all(&digests));
                return self.send(reply).await;
            }
            Content::Absent => return self.send(reply).await,
        };
        loop {
            let slice = chunk.split_to(chunk.len().min(SLICE_BYTES));
            let acquiring = self.window.acquire();
            if tokio::time::timeout(SLOW_READER_TIMEOUT, acquiring)
                .await
                .is_err()
            {
                drop(permit);
                self.window.acquire().await;
                permit = link.chunk_permits.acquire().await;
            }
            let left_bytes = chunk.len() as u32;
            let chunk = Some(slice);
            self.send(ItemResponse { chunk, left_bytes, ..reply.clone() })
                .await?;
            if left_bytes == 0 {
                return Ok(());
            }
        }
    }

    async fn send(&mut self, reply: ItemResponse) -> std::io::Result<()> {
        let bytes = reply.chunk.as_ref().map_or(0, Bytes::len);
        self.link.pacer.wait(bytes).await;
        let reply = ItemResponse { sent_ms: now_ms(), ..reply };
        let frame = frames::encode_frame(FleetBody::ItemResponse(reply));
        self.write.write_all(&frame).await
    }
}
