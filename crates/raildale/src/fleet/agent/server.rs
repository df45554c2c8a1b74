//! What other agents ask of this one.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use futures_util::StreamExt;
use raildale_core::{
    fleet_message::{AskItem, FleetBody},
    swarm::{Event, Item, Ticket, reducer::Content},
};
use tokio::{
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf},
    sync::mpsc,
};
use tokio_util::codec::FramedRead;

use super::answering::{Answering, Link, SliceWindow, Waiting};
use crate::{
    codec,
    error::Error,
    fleet::{frames, steady_clock::now_ms},
};

type Answers = mpsc::UnboundedSender<Waiting>;

/// Answers other agents' questions.
#[derive(Clone, Debug)]
pub struct Server {
    events: mpsc::UnboundedSender<Event>,
    open: Rc<RefCell<OpenQuestions>>,
    link: Rc<Link>,
}

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
        let link = Rc::new(Link::new(bytes_per_s));
        Server { events, open: Rc::default(), link }
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
        let window = SliceWindow::new();
        let answering = Answering {
            write,
            link: self.link.clone(),
            window: window.clone(),
        };
        tokio::task::spawn_local(answering.run(frames_out));
        self.read_questions(read, from, &answers, &window).await;
        window.close();
    }

    async fn read_questions(
        &self,
        read: OwnedReadHalf,
        from: SocketAddr,
        answers: &Answers,
        window: &SliceWindow,
    ) {
        let mut questions = FramedRead::new(read, codec::splitter());
        while let Some(frame) = questions.next().await {
            let body = frame
                .map_err(Error::from)
                .and_then(|frame| frames::decode_frame(frame.freeze()));
            match body {
                Ok(FleetBody::AskItem(ask)) => self.take(ask, answers),
                Ok(FleetBody::TookSlice(_)) => window.note_taken(),
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
        let _ = self.events.send(Event::ItemRequested {
            ticket,
            version,
            item,
            hops,
        });
    }
}
