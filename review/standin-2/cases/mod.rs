//! The cases. Each returns whether its rule was broken; `None` if it could not
//! run.

pub mod foreign;
pub mod keys;
pub mod reborn;
pub mod silent;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    http::{self, Message},
    record::{Record, now_ms},
};

/// The service of the cases.
pub const SERVICE: &str = "desk-api";

/// The HTTP host of its route.
pub const HOST: &str = "desk.example";

/// Returns a configuration with the route of the cases.
pub fn config(
    version: u64,
    kind: &str,
    tenants: &str,
    more_routes: &str,
) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-desk\",\
         \"Host\":\"{HOST}\",\"PathPrefix\":\"/desk/\",\
         \"RouteKind\":\"{kind}\",\"TimeoutMs\":3000,\"LatencyGoalMs\":300,\
         \"Priority\":2,\"Service\":\"{SERVICE}\",\"MaxAttempts\":2,\
         \"Public\":false}}{more_routes}],\"Services\":[{{\
         \"Name\":\"{SERVICE}\",\"HealthPath\":\"/healthz\",\
         \"MaxConns\":200,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":{tenants}}}"
    )
}

/// Returns `count` routes that nothing is sent on, each after a comma.
pub fn idle_routes(count: usize) -> String {
    let route = |number: usize| {
        format!(
            ",{{\"Name\":\"r-idle-{number}\",\
             \"Host\":\"idle-{number}.example\",\
             \"PathPrefix\":\"/idle{number}/\",\
             \"RouteKind\":\"idempotent\",\"TimeoutMs\":1000,\
             \"LatencyGoalMs\":100,\"Priority\":2,\
             \"Service\":\"{SERVICE}\",\"MaxAttempts\":2,\"Public\":false}}"
        )
    };
    (0..count).map(route).collect()
}

/// A client's request and its answer.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub id: String,
    pub key: String,
    pub sent_ms: u64,
    /// `None` if there was no answer.
    pub answer: Option<Message>,
}

impl Exchange {
    /// Returns the status; 0 if there was no answer.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }
}

/// Sends one request on a new connection.
pub fn send(
    record: &Record,
    host: SocketAddr,
    method: &str,
    key: &str,
    id: &str,
) -> Exchange {
    let authorization = format!("Bearer {key}");
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", id),
        ("Deadline-Ms", "3000"),
        ("Authorization", &authorization),
    ];
    let sent_ms = now_ms();
    let path = "/desk/case";
    let limit = Duration::from_secs(4);
    let answer = http::call(host, method, path, &headers, b"", limit);
    let exchange = Exchange {
        id: id.to_string(),
        key: key.to_string(),
        sent_ms,
        answer,
    };
    let bytes = exchange.answer.as_ref().map_or(0, |a| a.body.len());
    record.note_at(
        sent_ms,
        &format!(
            "client: {method} {path} request={id} key={key} to {host}: {} \
             after {} ms, {bytes} bytes",
            exchange.status(),
            now_ms() - sent_ms,
        ),
    );
    exchange
}

/// Clients that send one request after the other until they are stopped.
pub struct Clients {
    is_over: Arc<AtomicBool>,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts a client for each host and key, with a pause between requests.
    pub fn start(
        record: &Record,
        hosts: &[SocketAddr],
        keys: &[&str],
        method: &'static str,
        pause: Duration,
    ) -> Clients {
        let mut clients = Clients {
            is_over: Arc::default(),
            exchanges: Arc::default(),
            threads: Vec::new(),
        };
        for (place, host) in hosts.iter().copied().enumerate() {
            for key in keys {
                let key = key.to_string();
                let record = record.clone();
                let is_over = clients.is_over.clone();
                let exchanges = clients.exchanges.clone();
                clients.threads.push(thread::spawn(move || {
                    let mut number = 0;
                    while !is_over.load(Ordering::Relaxed) {
                        number += 1;
                        let id = format!("{place}-{key}-{number}");
                        let one = send(&record, host, method, &key, &id);
                        exchanges.lock().unwrap().push(one);
                        thread::sleep(pause);
                    }
                }));
            }
        }
        clients
    }

    /// Stops the clients and returns what they sent, in order.
    pub fn stop(self) -> Vec<Exchange> {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let mut all = self.exchanges.lock().unwrap().clone();
        all.sort_by_key(|exchange| exchange.sent_ms);
        all
    }
}

/// Returns how many of the requests sent from `from_ms` to `until_ms` were
/// answered with 200, and how many were sent.
pub fn served(
    exchanges: &[Exchange],
    from_ms: u64,
    until_ms: u64,
) -> (usize, usize) {
    let sent: Vec<&Exchange> = exchanges
        .iter()
        .filter(|one| (from_ms..until_ms).contains(&one.sent_ms))
        .collect();
    (sent.iter().filter(|one| one.status() == 200).count(), sent.len())
}

/// Waits.
pub fn pause_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
