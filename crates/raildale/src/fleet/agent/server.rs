//! What other agents ask of this one.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use futures_util::StreamExt;
use raildale_core::{
    fleet_message::{AskItem, FleetBody, GiveItem},
    swarm::{Event, Item, Ticket, WeightDigest, reducer::Content},
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream, tcp::OwnedWriteHalf},
    sync::{Semaphore, mpsc},
};
use tokio_util::codec::FramedRead;

use crate::{
    codec,
    error::Error,
    fleet::{frames, steady_clock::now_ms},
    pacer::{Pacer, SLICE_BYTES},
};

type Answers = mpsc::UnboundedSender<Waiting>;

/// An answer that waits for its turn on the link.
#[derive(Debug)]
struct Waiting {
    question: u64,
    asked_ms: u64,
    content: Content,
}

/// Answers other agents' questions.
#[derive(Clone, Debug)]
pub struct Server {
    events: mpsc::UnboundedSender<Event>,
    open: Rc<RefCell<OpenQuestions>>,
    link: Rc<Link>,
}

/// The own link, as answers use it.
#[derive(Debug)]
struct Link {
    pacer: Pacer,
    turns: Semaphore,
}

/// Chunks that leave at once. Few: chunks that share the link all come late,
/// and whoever waits for one cannot hand it on. More than one, so that a slow
/// reader does not hold up the others.
const CHUNKS_AT_ONCE: usize = 2;

/// Questions without an answer yet.
#[derive(Debug, Default)]
struct OpenQuestions {
    last: u64,
    by_ticket: HashMap<Ticket, OpenQuestion>,
}

/// A question without an answer yet.
#[derive(Debug)]
struct OpenQuestion {
    /// Its name on its connection.
    question: u64,
    asked_ms: u64,
    /// Where its answer goes.
    answers: Answers,
}

impl Server {
    /// A server whose answers leave at `bytes_per_s` at most.
    pub fn new(
        events: mpsc::UnboundedSender<Event>,
        bytes_per_s: u64,
    ) -> Server {
        let link = Link {
            pacer: Pacer::new(bytes_per_s),
            turns: Semaphore::new(CHUNKS_AT_ONCE),
        };
        Server { events, open: Rc::default(), link: Rc::new(link) }
    }

    /// Takes connections for as long as the process runs.
    pub async fn run(self, listener: TcpListener) {
        loop {
            let (stream, from) = frames::accept(&listener).await;
            tokio::task::spawn_local(self.clone().serve(stream, from));
        }
    }

    /// Answers a question.
    pub fn answer(&self, ticket: Ticket, content: Content) {
        let known = self.open.borrow_mut().by_ticket.remove(&ticket);
        if let Some(open) = known {
            let OpenQuestion { question, asked_ms, answers } = open;
            // Whoever asked may have gone.
            let _ = answers.send(Waiting { question, asked_ms, content });
        }
    }

    async fn serve(self, stream: TcpStream, from: SocketAddr) {
        let (read, write) = stream.into_split();
        let (answers, frames_out) = mpsc::unbounded_channel();
        let link = self.link.clone();
        tokio::task::spawn_local(write_paced(write, frames_out, link));
        let mut questions = FramedRead::new(read, codec::splitter());
        while let Some(frame) = questions.next().await {
            let body = frame
                .map_err(Error::from)
                .and_then(|frame| frames::decode_frame(frame.freeze()));
            match body {
                Ok(FleetBody::AskItem(ask)) => self.take(ask, &answers),
                Ok(_) => {
                    log::warn!("agent {from}: a frame out of place");
                    return;
                }
                Err(error) => {
                    log::warn!("agent {from}: {error}");
                    return;
                }
            }
        }
    }

    fn take(&self, ask: AskItem, answers: &Answers) {
        let ticket = {
            let mut open = self.open.borrow_mut();
            open.last += 1;
            let ticket = Ticket(open.last);
            let question = OpenQuestion {
                question: ask.question,
                asked_ms: now_ms(),
                answers: answers.clone(),
            };
            open.by_ticket.insert(ticket, question);
            ticket
        };
        let item = ask.chunk.map_or(Item::Manifest, Item::Chunk);
        let AskItem { version, hops, .. } = ask;
        // The loop that takes events ends with the process only.
        let _ = self.events.send(Event::Asked { ticket, version, item, hops });
    }
}

fn encode(waiting: Waiting) -> Bytes {
    let Waiting { question, asked_ms, content } = waiting;
    let mut give = GiveItem {
        question,
        chunk: None,
        digests: None,
        waited_ms: now_ms().saturating_sub(asked_ms),
    };
    match content {
        Content::Manifest(digests) => {
            give.digests = Some(WeightDigest::encode_all(&digests));
        }
        Content::Chunk(data) => give.chunk = Some(data),
        Content::Absent => {}
    }
    frames::encode_frame(FleetBody::GiveItem(give))
}

async fn write_paced(
    mut write: OwnedWriteHalf,
    mut answers: mpsc::UnboundedReceiver<Waiting>,
    link: Rc<Link>,
) {
    while let Some(waiting) = answers.recv().await {
        // The semaphore is never closed.
        let Ok(_turn) = link.turns.acquire().await else { return };
        let mut frame = encode(waiting);
        while !frame.is_empty() {
            let slice = frame.split_to(frame.len().min(SLICE_BYTES));
            link.pacer.wait(slice.len()).await;
            if let Err(error) = write.write_all(&slice).await {
                log::debug!("answer to an agent: {error}");
                return;
            }
        }
    }
}
