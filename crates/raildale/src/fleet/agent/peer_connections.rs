//! Persistent connections to other agents, one for each.

use std::{
    cell::RefCell,
    collections::{HashMap, hash_map::Entry},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use raildale_core::{
    fleet_message::{FleetBody, ItemRequest, ItemResponse, SliceAck},
    swarm::{Event, FetchError, Item, Source, WeightDigest},
};
use tokio::{net::TcpStream, sync::mpsc};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::reports::SharedQueueDelay;
use crate::{
    codec,
    error::{Error, ErrorKind},
    fleet::{frames, steady_clock::now_ms},
};

/// The maximum size of a chunk, in bytes.
const MAX_CHUNK_BYTES: usize = 16 << 20;

/// How long a request may go without a complete answer until its connection
/// is closed, in milliseconds. An agent answers within 1.2 s, and a slow link
/// delays a full window of chunks by 6 s.
const ANSWER_TIMEOUT_MS: u64 = 15_000;

/// A request for an item.
#[derive(Clone, Copy, Debug)]
pub struct ItemFetch {
    /// The version.
    pub version: u64,
    /// The item.
    pub item: Item,
    /// The number of agents that the request has passed.
    pub hops: u32,
    /// When it was sent, in milliseconds of the steady clock.
    pub requested_ms: u64,
}

/// The connections to other agents. Clones share their state.
#[derive(Clone, Debug)]
pub struct PeerConnections {
    port: u16,
    events: mpsc::UnboundedSender<Event>,
    senders: Rc<RefCell<HashMap<IpAddr, mpsc::UnboundedSender<ItemFetch>>>>,
    queue_delay: SharedQueueDelay,
}

/// A request that was sent, with the part of its answer that has arrived.
#[derive(Debug)]
struct PendingRequest {
    request: ItemFetch,
    chunk: BytesMut,
}

impl PeerConnections {
    /// Creates it without connections. Answers are sent to `events`, and times
    /// of arrival recorded in `queue_delay`.
    pub fn new(
        port: u16,
        events: mpsc::UnboundedSender<Event>,
        queue_delay: SharedQueueDelay,
    ) -> PeerConnections {
        PeerConnections { port, events, senders: Rc::default(), queue_delay }
    }

    /// Sends a request to another agent, over a new connection if there is
    /// none.
    pub fn request_item(&self, ip: IpAddr, request: ItemFetch) {
        let sender = self.senders.borrow().get(&ip).cloned();
        let sent = sender.is_some_and(|sender| sender.send(request).is_ok());
        if sent {
            return;
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        // The receiver still exists, so this cannot fail.
        let _ = sender.send(request);
        self.senders.borrow_mut().insert(ip, sender);
        let address = SocketAddr::new(ip, self.port);
        let events = self.events.clone();
        let queue_delay = self.queue_delay.clone();
        tokio::task::spawn_local(run_connection(
            address,
            receiver,
            events,
            queue_delay,
        ));
    }
}

/// Runs one connection until it ends. Requests that are unanswered by then are
/// reported as lost.
async fn run_connection(
    address: SocketAddr,
    mut requests: mpsc::UnboundedReceiver<ItemFetch>,
    events: mpsc::UnboundedSender<Event>,
    queue_delay: SharedQueueDelay,
) {
    let mut pending: HashMap<u64, PendingRequest> = HashMap::new();
    match frames::connect(address).await {
        Ok(stream) => {
            let framed = Framed::new(stream, codec::frame_codec());
            let ended = exchange(
                address,
                framed,
                &mut requests,
                &events,
                &queue_delay,
                &mut pending,
            )
            .await;
            if let Err(error) = ended {
                log::debug!("agent {address}: {error}");
            }
        }
        Err(error) => log::debug!("agent {address}: {error}"),
    }
    requests.close();
    while let Ok(request) = requests.try_recv() {
        report_lost(address, request, &events);
    }
    for pending in pending.into_values() {
        report_lost(address, pending.request, &events);
    }
}

/// Sends requests and receives answers until either side closes the
/// connection.
async fn exchange(
    address: SocketAddr,
    mut framed: Framed<TcpStream, LengthDelimitedCodec>,
    requests: &mut mpsc::UnboundedReceiver<ItemFetch>,
    events: &mpsc::UnboundedSender<Event>,
    queue_delay: &SharedQueueDelay,
    pending: &mut HashMap<u64, PendingRequest>,
) -> Result<(), Error> {
    let mut last_id = 0;
    loop {
        let oldest_ms = pending.values().map(|p| p.request.requested_ms).min();
        tokio::select! {
            () = wait_until_overdue(oldest_ms) => {
                return Err(Error::new(ErrorKind::Io, "no answer in time"));
            }
            request = requests.recv() => {
                let Some(request) = request else { return Ok(()) };
                last_id += 1;
                let chunk = BytesMut::new();
                pending.insert(last_id, PendingRequest { request, chunk });
                framed.send(request_frame(last_id, request)).await?;
            }
            frame = framed.next() => {
                let Some(frame) = frame else { return Ok(()) };
                let Ok(FleetBody::ItemResponse(reply)) =
                    frames::decode_frame(frame?.freeze())
                else {
                    log::warn!("agent {address}: unexpected frame");
                    return Ok(());
                };
                if reply.chunk.is_some() {
                    let now = now_ms();
                    let from = address.ip();
                    queue_delay.borrow_mut().record(now, from, reply.sent_ms);
                    framed.send(slice_ack_frame()).await?;
                }
                if let Some((request, reply)) = assemble(pending, reply)? {
                    let source = Source::Peer(address.ip());
                    // The main loop, which receives events, only ends with the
                    // process.
                    let _ = events.send(answer_event(request, source, reply));
                }
            }
        }
    }
}

/// Waits until the oldest request, sent at `oldest_ms`, should have had its
/// answer; forever if there is none.
async fn wait_until_overdue(oldest_ms: Option<u64>) {
    let Some(oldest_ms) = oldest_ms else {
        return std::future::pending().await;
    };
    let left_ms = (oldest_ms + ANSWER_TIMEOUT_MS).saturating_sub(now_ms());
    tokio::time::sleep(Duration::from_millis(left_ms)).await;
}

/// Adds a slice to its answer. Returns the request and its complete answer
/// once the last slice has arrived.
///
/// # Errors
///
/// [`ErrorKind::Frame`] if the slice answers no request, or the answer is too
/// long.
fn assemble(
    pending: &mut HashMap<u64, PendingRequest>,
    reply: ItemResponse,
) -> Result<Option<(ItemFetch, ItemResponse)>, Error> {
    let Entry::Occupied(mut entry) = pending.entry(reply.question) else {
        return Err(Error::new(ErrorKind::Frame, "answers no request"));
    };
    let chunk = &mut entry.get_mut().chunk;
    let slice = reply.chunk.as_deref().unwrap_or_default();
    if chunk.len() + slice.len() > MAX_CHUNK_BYTES {
        return Err(Error::new(ErrorKind::Frame, "chunk too long"));
    }
    chunk.extend_from_slice(slice);
    if reply.left_bytes > 0 {
        return Ok(None);
    }
    let PendingRequest { request, chunk } = entry.remove();
    let chunk = reply.chunk.is_some().then(|| chunk.freeze());
    Ok(Some((request, ItemResponse { chunk, ..reply })))
}

fn slice_ack_frame() -> Bytes {
    frames::encode_body(FleetBody::SliceAck(SliceAck {}))
}

fn request_frame(id: u64, request: ItemFetch) -> Bytes {
    let chunk = match request.item {
        Item::Manifest => None,
        Item::Chunk(index) => Some(index),
    };
    frames::encode_body(FleetBody::ItemRequest(ItemRequest {
        question: id,
        version: request.version,
        chunk,
        hops: request.hops,
    }))
}

fn answer_event(
    request: ItemFetch,
    source: Source,
    reply: ItemResponse,
) -> Event {
    let version = request.version;
    match request.item {
        Item::Manifest => Event::Manifest {
            version,
            source,
            result: reply
                .digests
                .and_then(|bytes| WeightDigest::decode_all(&bytes))
                .ok_or(FetchError::Absent),
        },
        Item::Chunk(index) => Event::Chunk {
            version,
            index,
            source,
            result: reply.chunk.ok_or(FetchError::Absent),
            took_ms: now_ms()
                .saturating_sub(request.requested_ms)
                .saturating_sub(reply.waited_ms),
        },
    }
}

fn report_lost(
    address: SocketAddr,
    request: ItemFetch,
    events: &mpsc::UnboundedSender<Event>,
) {
    let source = Source::Peer(address.ip());
    let event = Event::lost(request.version, request.item, source);
    // The main loop, which receives events, only ends with the process.
    let _ = events.send(event);
}
