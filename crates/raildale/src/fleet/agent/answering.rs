//! Answers to another agent, slice by slice.
//!
//! What stands in the queue of a link can't be called back. An agent fetches
//! from up to a dozen others: if its link is squeezed meanwhile, whole chunks
//! of each fill its queue for seconds, and requests to its target wait behind
//! them. So of each connection only a few slices are on their way until one is
//! told to have come.

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

/// An answer that waits for its turn on the link.
#[derive(Debug)]
pub struct Waiting {
    /// Names the question on its connection.
    pub question: u64,
    /// When it was asked.
    pub asked_ms: u64,
    /// The answer.
    pub content: Content,
}

/// The own link, as answers use it.
#[derive(Debug)]
pub struct Link {
    pacer: Pacer,
    turns: Semaphore,
}

/// Chunks that leave at once. Few: chunks that share the link all come late,
/// and whoever waits for one cannot hand it on. More than one, so that a slow
/// reader does not hold up the others.
const CHUNKS_AT_ONCE: usize = 2;

/// Slices of a connection on their way at once: the second one leaves while
/// the first is told to have come. With one, the first target of a fleet held
/// a version 0.8 s later, and 32 targets took it for 72.
const SLICES_AT_ONCE: usize = 2;

/// A reader that has not taken its slice by then lets another chunk leave.
const SLOW_READER: Duration = Duration::from_millis(40);

impl Link {
    /// A link on which answers leave at `bytes_per_s` at most.
    pub fn new(bytes_per_s: u64) -> Link {
        Link {
            pacer: Pacer::new(bytes_per_s),
            turns: Semaphore::new(CHUNKS_AT_ONCE),
        }
    }
}

/// Slices that may leave on a connection.
#[derive(Clone, Debug)]
pub struct SliceWindow(Rc<Semaphore>);

impl Default for SliceWindow {
    fn default() -> SliceWindow {
        SliceWindow::new()
    }
}

impl SliceWindow {
    /// Nothing on its way.
    pub fn new() -> SliceWindow {
        SliceWindow(Rc::new(Semaphore::new(SLICES_AT_ONCE)))
    }

    /// The other side tells that a slice has come.
    pub fn note_taken(&self) {
        if self.0.available_permits() < SLICES_AT_ONCE {
            self.0.add_permits(1);
        }
    }

    /// The connection has ended: nothing more waits for the other side.
    pub fn close(&self) {
        self.0.close();
    }

    /// Waits until a slice may leave.
    pub async fn take(&self) {
        // One that is closed lets the write find that the connection ended.
        if let Ok(permit) = self.0.acquire().await {
            permit.forget();
        }
    }
}

/// What writes the answers of one connection.
#[derive(Debug)]
pub struct Answering {
    /// The connection.
    pub write: OwnedWriteHalf,
    /// The link that all connections share.
    pub link: Rc<Link>,
    /// What may leave on this one.
    pub window: SliceWindow,
}

impl Answering {
    /// Writes answers until the connection or their sender ends.
    pub async fn run(mut self, mut answers: mpsc::UnboundedReceiver<Waiting>) {
        while let Some(waiting) = answers.recv().await {
            if let Err(error) = self.answer(waiting).await {
                log::debug!("answer to an agent: {error}");
                return;
            }
        }
    }

    async fn answer(&mut self, waiting: Waiting) -> std::io::Result<()> {
        let Waiting { question, asked_ms, content } = waiting;
        let link = self.link.clone();
        let mut turn = link.turns.acquire().await;
        let waited_ms = now_ms().saturating_sub(asked_ms);
        let mut give =
            ItemResponse { question, waited_ms, ..ItemResponse::default() };
        let mut chunk = match content {
            Content::Chunk(data) => data,
            Content::Manifest(digests) => {
                give.digests = Some(WeightDigest::encode_all(&digests));
                return self.send(give).await;
            }
            Content::Absent => return self.send(give).await,
        };
        loop {
            let slice = chunk.split_to(chunk.len().min(SLICE_BYTES));
            let taking = self.window.take();
            if tokio::time::timeout(SLOW_READER, taking).await.is_err() {
                drop(turn);
                self.window.take().await;
                turn = link.turns.acquire().await;
            }
            let left_bytes = chunk.len() as u32;
            let chunk = Some(slice);
            self.send(ItemResponse { chunk, left_bytes, ..give.clone() })
                .await?;
            if left_bytes == 0 {
                return Ok(());
            }
        }
    }

    async fn send(&mut self, give: ItemResponse) -> std::io::Result<()> {
        let bytes = give.chunk.as_ref().map_or(0, Bytes::len);
        self.link.pacer.wait(bytes).await;
        let give = ItemResponse { sent_ms: now_ms(), ..give };
        let frame = frames::encode_frame(FleetBody::ItemResponse(give));
        self.write.write_all(&frame).await
    }
}
