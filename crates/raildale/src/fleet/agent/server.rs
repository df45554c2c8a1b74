//! Requests from other agents.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use futures_util::StreamExt;
use raildale_core::{
    fleet_message::{FleetBody, ItemRequest},
    swarm::{Event, Item, Ticket, reducer::Content},
};
use tokio::{
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf},
    sync::mpsc,
};
use tokio_util::codec::FramedRead;

use super::answer_writer::{AnswerWriter, Link, QueuedAnswer, SliceWindow};
use crate::{
    codec,
    error::Error,
    fleet::{frames, steady_clock::now_ms},
};

/// The maximum size of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 10;

type Answers = mpsc::UnboundedSender<QueuedAnswer>;

/// Answers other agents' requests. Clones share their state.
#[derive(Clone, Debug)]
pub struct Server {
    events: mpsc::UnboundedSender<Event>,
    open: Rc<RefCell<OpenRequests>>,
    link: Rc<Link>,
}

/// Requests that are not answered yet.
#[derive(Debug, Default)]
struct OpenRequests {
    last_ticket: u64,
    by_ticket: HashMap<Ticket, OpenRequest>,
}

/// A request that is not answered yet.
#[derive(Debug)]
struct OpenRequest {
    /// Its ID on its connection.
    request_id: u64,
    requested_ms: u64,
    /// The queue of its connection's answers.
    answers: Answers,
}

impl Server {
    /// Creates a server that sends at most `bytes_per_s` of answers, in total.
    pub fn new(
        events: mpsc::UnboundedSender<Event>,
        bytes_per_s: u64,
    ) -> Server {
        let link = Rc::new(Link::new(bytes_per_s));
        Server { events, open: Rc::default(), link }
    }

    /// Accepts connections for as long as the process runs.
    pub async fn run(self, listener: TcpListener) {
        loop {
            let (stream, from) = frames::accept(&listener).await;
            tokio::task::spawn_local(self.clone().serve(stream, from));
        }
    }

    /// Answers a request. Has no effect if it was already answered.
    pub fn answer(&self, ticket: Ticket, content: Content) {
        let known = self.open.borrow_mut().by_ticket.remove(&ticket);
        if let Some(open) = known {
            let OpenRequest { request_id, requested_ms, answers } = open;
            // The requesting agent may have disconnected.
            let _ = answers.send(QueuedAnswer {
                request_id,
                requested_ms,
                content,
            });
        }
    }

    async fn serve(self, stream: TcpStream, from: SocketAddr) {
        let (read, write) = stream.into_split();
        let (answers, answer_receiver) = mpsc::unbounded_channel();
        let window = SliceWindow::new();
        let answer_writer = AnswerWriter {
            write,
            link: self.link.clone(),
            window: window.clone(),
        };
        tokio::task::spawn_local(answer_writer.run(answer_receiver));
        self.read_requests(read, from, &answers, &window).await;
        window.close();
    }

    async fn read_requests(
        &self,
        read: OwnedReadHalf,
        from: SocketAddr,
        answers: &Answers,
        window: &SliceWindow,
    ) {
        let mut codec = codec::frame_codec();
        codec.set_max_frame_length(MAX_REQUEST_BYTES);
        let mut requests = FramedRead::new(read, codec);
        while let Some(frame) = requests.next().await {
            let body = frame
                .map_err(Error::from)
                .and_then(|frame| frames::decode_frame(frame.freeze()));
            match body {
                Ok(FleetBody::ItemRequest(request)) => {
                    self.handle_request(request, answers)
                }
                Ok(FleetBody::SliceAck(_)) => window.acknowledge(),
                Ok(_) => {
                    log::warn!("agent {from}: unexpected frame");
                    return;
                }
                Err(error) => {
                    log::warn!("agent {from}: {error}");
                    return;
                }
            }
        }
    }

    fn handle_request(&self, request: ItemRequest, answers: &Answers) {
        let ticket = {
            let mut open = self.open.borrow_mut();
            open.last_ticket += 1;
            let ticket = Ticket(open.last_ticket);
            let open_request = OpenRequest {
                request_id: request.question,
                requested_ms: now_ms(),
                answers: answers.clone(),
            };
            open.by_ticket.insert(ticket, open_request);
            ticket
        };
        let item = request.chunk.map_or(Item::Manifest, Item::Chunk);
        let ItemRequest { version, hops, .. } = request;
        // The main loop, which receives events, only ends with the process.
        let _ = self.events.send(Event::ItemRequested {
            ticket,
            version,
            item,
            hops,
        });
    }
}
