//! Calls to the target and to the origin, each in its own task, which sends
//! the result as an event.

use std::{future::Future, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use raildale_core::{
    Name,
    swarm::{Event, FetchError, Item, LoadMethod, OrderGuard, Source},
};
use tokio::sync::mpsc;

use crate::fleet::{
    edge::{WeightOrigin, WeightTarget},
    steady_clock::now_ms,
};

/// The maximum size of all staged chunks, in bytes: half of an agent's memory.
const MAX_STAGED_BYTES: usize = 64 << 20;

/// The maximum number of staged chunks.
const MAX_STAGED_CHUNKS: usize = 4_096;

/// Calls to the target and to the origin.
#[derive(Debug)]
pub struct WeightCalls<P> {
    platform: Rc<P>,
    events: mpsc::UnboundedSender<Event>,
}

impl<P> WeightCalls<P>
where
    P: WeightTarget + WeightOrigin + 'static,
{
    /// Creates calls through `platform` whose results are sent to `events`.
    pub fn new(
        platform: Rc<P>,
        events: mpsc::UnboundedSender<Event>,
    ) -> WeightCalls<P> {
        WeightCalls { platform, events }
    }

    /// Fetches an item from the origin.
    pub fn fetch(
        &self,
        origin: SocketAddr,
        model: Name,
        version: u64,
        item: Item,
    ) {
        let source = Source::Origin;
        let started_ms = now_ms();
        self.spawn(|platform| async move {
            match item {
                Item::Manifest => {
                    let answer =
                        platform.manifest(origin, &model, version).await;
                    let result = answer.ok_or(FetchError::Lost);
                    Event::Manifest { version, source, result }
                }
                Item::Chunk(index) => {
                    let answer =
                        platform.chunk(origin, &model, version, index).await;
                    let result = answer.ok_or(FetchError::Lost);
                    let took_ms = now_ms() - started_ms;
                    Event::Chunk { version, index, source, result, took_ms }
                }
            }
        });
    }

    /// Queries which start of the target is up.
    pub fn query_start(&self, health_path: Name) {
        self.spawn(|platform| async move {
            Event::TargetStart(platform.start(&health_path).await)
        });
    }

    /// Reads the chunks in the target's staging area.
    pub fn read_staging(&self, model: Name) {
        self.spawn(|platform| async move {
            let chunks = read_all_staged(&*platform, &model).await;
            Event::StagingRead { chunks }
        });
    }

    /// Writes all chunks to the target's staging area.
    pub fn stage(&self, model: Name, version: u64, chunks: Vec<Bytes>) {
        self.spawn(|platform| async move {
            let mut is_done = true;
            for (index, data) in chunks.into_iter().enumerate() {
                is_done &= platform.stage(&model, index as u32, data).await;
            }
            Event::Staged { version, is_done }
        });
    }

    /// Orders the target to load the staged chunks.
    pub fn order(
        &self,
        model: Name,
        version: u64,
        method: LoadMethod,
        guard: OrderGuard,
    ) {
        self.spawn(|platform| async move {
            let outcome = platform.load(&model, version, method, &guard).await;
            Event::Ordered { guard, outcome }
        });
    }

    fn spawn<F>(&self, call: impl FnOnce(Rc<P>) -> F)
    where
        F: Future<Output = Event> + 'static,
    {
        let calling = call(self.platform.clone());
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            // The main loop, which receives events, only ends with the
            // process.
            let _ = events.send(calling.await);
        });
    }
}

/// Returns all staged chunks; `None` if the list or one of them could not be
/// read, or if they are too many or too large.
async fn read_all_staged<P: WeightTarget>(
    platform: &P,
    model: &str,
) -> Option<Vec<(u32, Bytes)>> {
    let mut chunks = Vec::new();
    let mut read_bytes = 0;
    let staged = platform.staged(model).await?;
    if staged.len() > MAX_STAGED_CHUNKS {
        return None;
    }
    for index in staged {
        let data = platform.read_staged(model, index).await?;
        read_bytes += data.len();
        if read_bytes > MAX_STAGED_BYTES {
            return None;
        }
        chunks.push((index, data));
    }
    Some(chunks)
}
