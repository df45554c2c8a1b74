//! Clients: each sends one request after the other and waits for its answer.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    fleet::KEY,
    http::{Answer, Caller},
    record::{Record, unix_ms},
    weights::MODEL,
};

/// What a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// To the non-idempotent route.
    Once,
    /// To the streaming route.
    Stream,
}

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Its id.
    pub id: String,
    /// When it was sent, in Unix milliseconds.
    pub sent_ms: u64,
    /// Its answer.
    pub answer: Answer,
}

impl Sent {
    /// Whether it was served: a success with a server's signature, complete in
    /// the protocol.
    pub fn is_served(&self) -> bool {
        let is_signed = !self.answer.header("server-seal").is_empty();
        self.answer.status == 200 && is_signed && self.answer.is_complete
    }
}

/// The clients of a case.
pub struct Callers {
    sent: Arc<Mutex<Vec<Sent>>>,
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts `count` clients that each send a request, wait for its answer and
    /// then for about `pause`. They connect to `to` in turn, and turn to the next
    /// address after a failure.
    pub fn start(
        kind: Kind,
        to: Vec<SocketAddr>,
        count: usize,
        pause: Duration,
        record: &Record,
    ) -> Callers {
        let sent = Arc::new(Mutex::new(Vec::new()));
        let is_over = Arc::new(AtomicBool::new(false));
        let number = Arc::new(AtomicU64::new(1));
        let threads = (0..count).map(|place| {
            let (to, record) = (to.clone(), record.clone());
            let (sent, is_over) = (sent.clone(), is_over.clone());
            let number = number.clone();
            thread::spawn(move || {
                thread::sleep(pause.mul_f64(place as f64 / count as f64));
                let mut caller = Caller::default();
                let mut place = place;
                while !is_over.load(Ordering::SeqCst) {
                    let number = number.fetch_add(1, Ordering::SeqCst);
                    let address = to[place % to.len()];
                    let one =
                        send(kind, number, address, &mut caller, &record);
                    if one.answer.status == 0 {
                        place += 1;
                    }
                    let mut all = sent.lock().expect("no client panics");
                    all.push(one);
                    drop(all);
                    // Uneven pauses, so that clients don't fall into step.
                    let uneven = 0.5 + (number * 7 % 11) as f64 / 10.0;
                    thread::sleep(pause.mul_f64(uneven));
                }
            })
        });
        let threads = threads.collect();
        Callers { sent, is_over, threads }
    }

    /// Ends the clients once their last requests are answered, and returns all
    /// requests.
    pub fn end(self) -> Vec<Sent> {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("no client panics");
        }
        let mut all = self.sent.lock().expect("no client panics").clone();
        all.sort_by_key(|one| one.sent_ms);
        all
    }
}

fn send(
    kind: Kind,
    number: u64,
    to: SocketAddr,
    caller: &mut Caller,
    record: &Record,
) -> Sent {
    let id = format!("{number:016x}");
    let (path, deadline_ms, more) = match kind {
        Kind::Once => ("/ack/2f", 1_000, String::new()),
        Kind::Stream => (
            "/stream/2f",
            6_000,
            format!(
                "Model: {MODEL}\r\nToken-Counts: 900,120\r\n\
                 Prefix-Hash: 5c1e07a2:40,{number:08x}:860\r\n"
            ),
        ),
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: jepu9.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{more}"
    );
    let body = format!("{{\"number\":{number}}}");
    let sent_ms = unix_ms();
    let limit = Duration::from_millis(deadline_ms + 500);
    let answer = caller.send(to, &head, body.as_bytes(), limit);
    record.line_at(sent_ms, &format!("sent {id} {path} to {to}"));
    record.line(&format!(
        "answer to {id}: status={} complete={} seal={} body={} bytes {}",
        answer.status,
        answer.is_complete,
        answer.header("server-seal"),
        answer.body.len(),
        answer.error,
    ));
    Sent { id, sent_ms, answer }
}
