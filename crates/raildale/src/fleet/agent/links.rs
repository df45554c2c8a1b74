//! Connections to other agents, one each, kept.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use raildale_core::{
    fleet_message::{AskItem, FleetBody, GiveItem, TookSlice},
    swarm::{Event, FetchError, Item, Source, WeightDigest},
};
use tokio::{net::TcpStream, sync::mpsc};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::reports::QueueClock;
use crate::{
    codec,
    error::Error,
    fleet::{frames, steady_clock::now_ms},
};

/// A question to send.
#[derive(Clone, Copy, Debug)]
pub struct Question {
    /// The version.
    pub version: u64,
    /// What is asked for.
    pub item: Item,
    /// Agents that the question has passed.
    pub hops: u32,
    /// When it was asked.
    pub asked_ms: u64,
}

/// The connections to other agents.
#[derive(Clone, Debug)]
pub struct Links {
    port: u16,
    events: mpsc::UnboundedSender<Event>,
    open: Rc<RefCell<HashMap<IpAddr, mpsc::UnboundedSender<Question>>>>,
    queue_delay: QueueClock,
}

/// A question on its connection, with what has come of its answer.
#[derive(Debug)]
struct Asked {
    question: Question,
    chunk: BytesMut,
}

impl Links {
    /// No connections yet; answers come as events.
    pub fn new(
        port: u16,
        events: mpsc::UnboundedSender<Event>,
        queue_delay: QueueClock,
    ) -> Links {
        Links { port, events, open: Rc::default(), queue_delay }
    }

    /// Asks another agent.
    pub fn ask(&self, ip: IpAddr, question: Question) {
        let known = self.open.borrow().get(&ip).cloned();
        let sent = known.is_some_and(|link| link.send(question).is_ok());
        if sent {
            return;
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        // The receiver is alive, so that this cannot fail.
        let _ = sender.send(question);
        self.open.borrow_mut().insert(ip, sender);
        let address = SocketAddr::new(ip, self.port);
        let events = self.events.clone();
        let queue_delay = self.queue_delay.clone();
        tokio::task::spawn_local(run(address, receiver, events, queue_delay));
    }
}

/// Serves one connection until it ends; questions without an answer by then
/// are lost.
async fn run(
    address: SocketAddr,
    mut questions: mpsc::UnboundedReceiver<Question>,
    events: mpsc::UnboundedSender<Event>,
    queue_delay: QueueClock,
) {
    let mut asked: HashMap<u64, Asked> = HashMap::new();
    match frames::connect(address).await {
        Ok(stream) => {
            let framed = Framed::new(stream, codec::splitter());
            let ended = exchange(
                address,
                framed,
                &mut questions,
                &events,
                &queue_delay,
                &mut asked,
            )
            .await;
            if let Err(error) = ended {
                log::debug!("agent {address}: {error}");
            }
        }
        Err(error) => log::debug!("agent {address}: {error}"),
    }
    questions.close();
    while let Ok(question) = questions.try_recv() {
        lose(address, question, &events);
    }
    for asked in asked.into_values() {
        lose(address, asked.question, &events);
    }
}

/// Sends questions and takes answers until either side ends.
async fn exchange(
    address: SocketAddr,
    mut framed: Framed<TcpStream, LengthDelimitedCodec>,
    questions: &mut mpsc::UnboundedReceiver<Question>,
    events: &mpsc::UnboundedSender<Event>,
    queue_delay: &QueueClock,
    asked: &mut HashMap<u64, Asked>,
) -> Result<(), Error> {
    let mut next_number = 0;
    loop {
        tokio::select! {
            question = questions.recv() => {
                let Some(question) = question else { return Ok(()) };
                next_number += 1;
                let chunk = BytesMut::new();
                asked.insert(next_number, Asked { question, chunk });
                framed.send(ask_frame(next_number, question)).await?;
            }
            frame = framed.next() => {
                let Some(frame) = frame else { return Ok(()) };
                let Ok(FleetBody::GiveItem(give)) =
                    frames::decode_frame(frame?.freeze())
                else {
                    log::warn!("agent {address}: a frame out of place");
                    return Ok(());
                };
                if give.chunk.is_some() {
                    let now = now_ms();
                    let from = address.ip();
                    queue_delay.borrow_mut().record(now, from, give.sent_ms);
                    framed.send(took_slice()).await?;
                }
                if let Some((question, give)) = whole(asked, give) {
                    let source = Source::Peer(address.ip());
                    // The loop that takes events ends with the process only.
                    let _ = events.send(came(question, source, give));
                }
            }
        }
    }
}

/// Takes a slice in; the whole answer once there is no more to come.
fn whole(
    asked: &mut HashMap<u64, Asked>,
    give: GiveItem,
) -> Option<(Question, GiveItem)> {
    let known = asked.get_mut(&give.question)?;
    known.chunk.extend(give.chunk.iter().flatten());
    if give.left_bytes > 0 {
        return None;
    }
    let Asked { question, chunk } = asked.remove(&give.question)?;
    let chunk = give.chunk.is_some().then(|| chunk.freeze());
    Some((question, GiveItem { chunk, ..give }))
}

fn took_slice() -> Bytes {
    frames::encode_body(FleetBody::TookSlice(TookSlice {}))
}

fn ask_frame(number: u64, question: Question) -> Bytes {
    let chunk = match question.item {
        Item::Manifest => None,
        Item::Chunk(index) => Some(index),
    };
    frames::encode_body(FleetBody::AskItem(AskItem {
        question: number,
        version: question.version,
        chunk,
        hops: question.hops,
    }))
}

fn came(question: Question, source: Source, give: GiveItem) -> Event {
    let version = question.version;
    match question.item {
        Item::Manifest => Event::Manifest {
            version,
            source,
            result: give
                .digests
                .and_then(|bytes| WeightDigest::decode_all(&bytes))
                .ok_or(FetchError::Absent),
        },
        Item::Chunk(index) => Event::Chunk {
            version,
            index,
            source,
            result: give.chunk.ok_or(FetchError::Absent),
            took_ms: now_ms()
                .saturating_sub(question.asked_ms)
                .saturating_sub(give.waited_ms),
        },
    }
}

fn lose(
    address: SocketAddr,
    question: Question,
    events: &mpsc::UnboundedSender<Event>,
) {
    let source = Source::Peer(address.ip());
    let event = Event::lost(question.version, question.item, source);
    // The loop that takes events ends with the process only.
    let _ = events.send(event);
}
