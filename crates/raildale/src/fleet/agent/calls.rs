//! Calls of the target and of the origin, each in a task of its own; what
//! comes of one is told as an event.

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

/// Calls of the target and of the origin.
#[derive(Debug)]
pub struct WeightCalls<P> {
    platform: Rc<P>,
    events: mpsc::UnboundedSender<Event>,
}

impl<P> WeightCalls<P>
where
    P: WeightTarget + WeightOrigin + 'static,
{
    /// Calls through `platform` that are told to `events`.
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
        let asked_ms = now_ms();
        self.spawn(|platform| async move {
            match item {
                Item::Manifest => {
                    let found =
                        platform.manifest(origin, &model, version).await;
                    let result = found.ok_or(FetchError::Lost);
                    Event::Manifest { version, source, result }
                }
                Item::Chunk(index) => {
                    let found =
                        platform.chunk(origin, &model, version, index).await;
                    let result = found.ok_or(FetchError::Lost);
                    let took_ms = now_ms() - asked_ms;
                    Event::Chunk { version, index, source, result, took_ms }
                }
            }
        });
    }

    /// Asks which start of the target is up.
    pub fn ask_start(&self, health_path: Name) {
        self.spawn(|platform| async move {
            Event::TargetStart(platform.start(&health_path).await)
        });
    }

    /// Reads what lies in the target's staging.
    pub fn read_staging(&self, model: Name) {
        self.spawn(|platform| async move {
            let chunks = read_all(&*platform, &model).await;
            Event::StagingRead { chunks }
        });
    }

    /// Puts all chunks into the target's staging.
    pub fn stage(&self, model: Name, version: u64, chunks: Vec<Bytes>) {
        self.spawn(|platform| async move {
            let mut is_done = true;
            for (index, data) in chunks.into_iter().enumerate() {
                is_done &= platform.stage(&model, index as u32, data).await;
            }
            Event::Staged { version, is_done }
        });
    }

    /// Orders the target to load what lies staged.
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
            // The loop that takes events ends with the process only.
            let _ = events.send(calling.await);
        });
    }
}

/// Every chunk that lies staged; `None` if one of them could not be read.
async fn read_all<P: WeightTarget>(
    platform: &P,
    model: &str,
) -> Option<Vec<(u32, Bytes)>> {
    let mut chunks = Vec::new();
    for index in platform.staged(model).await? {
        let data = platform.read_staged(model, index).await?;
        chunks.push((index, data));
    }
    Some(chunks)
}
