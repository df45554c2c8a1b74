//! Some of the open connections to the store fall silent for good, at most
//! half of each machine's, while new ones work; then a key is taken away.

use std::time::Duration;

use crate::{
    cases::{self, Clients, SERVICE, pause_ms},
    fleet::{EntryHost, Place, WorkerProcess, server_entry, worker_events},
    proxy::Proxy,
    record::{Record, now_ms},
    store::Store,
    worker::Form,
};

/// `ConfigDeadlineMs` and `ContactMs` of the sheets.
const CONFIG_DEADLINE_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;

/// The watches whose connections fall silent: two of five.
const WATCHES: [&str; 2] = ["/config?Watch", "/servers?Watch"];

/// From a change of the configuration, which begins its watch anew, until
/// connections fall silent.
const WATCHED_MS: u64 = 2_000;

const BOTH: &str =
    "[{\"Name\":\"bozi300\",\"ApiKeys\":[\"key-one\",\"key-two\"]}]";
const ONE: &str = "[{\"Name\":\"bozi300\",\"ApiKeys\":[\"key-one\"]}]";

const HOSTS: u8 = 2;

pub fn play(record: &Record, has_trouble: bool) -> Option<bool> {
    let place = Place::new("raildale-silent");
    let store_at = place.at(100, 0);
    let store = Store::start(store_at, record);
    let log = place.folder.join("worker.log");
    let worker_at = place.at(50, 0);
    let _worker = WorkerProcess::start(worker_at, "i-1", &log, Form::Framed);
    store.put("servers", "i-1", &server_entry(SERVICE, worker_at));
    let first = cases::config(7, "idempotent", BOTH, "");
    store.put("config", "main", &first);
    let mut proxies = Vec::new();
    let mut hosts = Vec::new();
    for number in 1..=HOSTS {
        let proxy_at = place.at(100 + number, 0);
        proxies.push(Proxy::start(proxy_at, store_at));
        hosts.push(EntryHost::start(&place, number, HOSTS, proxy_at));
    }
    if !hosts.iter().all(|host| host.wait_until_ready(record)) {
        return None;
    }
    let callers: Vec<_> = hosts.iter().map(|host| host.callers).collect();
    let keys = ["key-one", "key-two"];
    let pause = Duration::from_millis(100);
    let clients = Clients::start(record, &callers, &keys, "GET", pause);
    pause_ms(6_000);
    // A change as any other, which all hear at once.
    let routes = cases::idle_routes(1);
    store.put(
        "config",
        "main",
        &cases::config(9, "idempotent", BOTH, &routes),
    );
    pause_ms(WATCHED_MS);
    if has_trouble {
        for (place, proxy) in proxies.iter().enumerate() {
            let (silent, all) = proxy.silence(&WATCHES);
            if silent == 0 || silent * 2 > all {
                return None;
            }
            record.show(&format!(
                "{silent} of {all} connections from entry host {} to the \
                 store fall silent",
                place + 1
            ));
        }
    }
    // All are in touch again.
    pause_ms(CONTACT_MS + 500);
    store.put(
        "config",
        "main",
        &cases::config(12, "idempotent", ONE, &routes),
    );
    let acked_ms = now_ms();
    pause_ms(12_000);
    let exchanges = clients.stop();
    let runs = worker_events(&log);
    for run in &runs {
        record.note_at(run.at_ms, &format!("worker: {}", run.line));
    }
    let bound_ms = acked_ms + CONFIG_DEADLINE_MS;
    let late: Vec<_> = exchanges
        .iter()
        .filter(|one| one.key == "key-two" && one.sent_ms > bound_ms)
        .filter(|one| {
            runs.iter().any(|r| r.what == "runs" && r.request == one.id)
        })
        .collect();
    let last_ms = late.iter().map(|one| one.sent_ms - acked_ms).max();
    record.show(&format!(
        "CONFIG: {} requests that were sent more than {CONFIG_DEADLINE_MS} ms \
         after the key was gone ran with it, the last one {} ms after",
        late.len(),
        last_ms.unwrap_or(0)
    ));
    let (good, sent) = cases::served(&exchanges, 0, bound_ms);
    record.show(&format!("{good} of {sent} were served before"));
    (good * 2 > sent).then_some(!late.is_empty())
}
