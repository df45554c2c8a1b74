//! Another writer's entries stand among the workers' own, and all processes of
//! the system are killed.

use std::time::Duration;

use crate::{
    cases::{self, Clients, SERVICE, pause_ms, served},
    fleet::{EntryHost, Place, WorkerProcess, server_entry, worker_events},
    record::{Record, now_ms},
    store::Store,
    worker::Form,
};

/// `RecoveryS` of the sheets.
const RECOVERY_MS: u64 = 12_000;

/// How long the processes are down.
const DOWN_MS: u64 = 1_000;

const TENANT: &str = "[{\"Name\":\"bozi300\",\"ApiKeys\":[\"key-one\"]}]";

const HOSTS: u8 = 2;
const WORKERS: u8 = 3;

/// The routes beside that of the case.
const ROUTES: usize = 1_600;

pub fn play(record: &Record, has_trouble: bool) -> Option<bool> {
    let place = Place::new("raildale-foreign");
    let store_at = place.at(100, 0);
    let store = Store::start(store_at, record);
    let routes = cases::idle_routes(ROUTES);
    store.put(
        "config",
        "main",
        &cases::config(7, "idempotent", TENANT, &routes),
    );
    let mut workers = Vec::new();
    for number in 1..=WORKERS {
        let id = format!("i-{number}7f3a91c2");
        let log = place.folder.join(format!("{id}.log"));
        let at = place.at(50 + number, 0);
        workers.push(WorkerProcess::start(at, &id, &log, Form::Framed));
        store.put("servers", &id, &server_entry(SERVICE, at));
    }
    let mut hosts: Vec<EntryHost> = (1..=HOSTS)
        .map(|number| EntryHost::start(&place, number, HOSTS, store_at))
        .collect();
    if !hosts.iter().all(|host| host.wait_until_ready(record)) {
        return None;
    }
    let callers: Vec<_> = hosts.iter().map(|host| host.callers).collect();
    let pause = Duration::from_millis(50);
    let clients =
        Clients::start(record, &callers, &["key-one"], "GET", pause);
    pause_ms(3_000);
    // Another system's view of the same machines: the service is not one of
    // the configuration.
    for (place, worker) in workers.iter().enumerate() {
        let name = format!("inventory-{}", place + 1);
        let entry = server_entry("inventory", worker.address);
        store.put("servers", &name, &entry);
    }
    pause_ms(4_000);
    let before_ms = now_ms();
    if has_trouble {
        record.show("all processes of the system are killed");
        hosts.iter_mut().for_each(EntryHost::kill);
        pause_ms(DOWN_MS);
        hosts.iter_mut().for_each(EntryHost::restart);
    }
    let back_ms = now_ms();
    pause_ms(RECOVERY_MS + 8_000);
    let exchanges = clients.stop();
    for worker in &workers {
        for run in worker_events(&worker.log) {
            record.note_at(run.at_ms, &format!("worker: {}", run.line));
        }
    }
    let (good, sent) = served(&exchanges, 0, before_ms);
    record.show(&format!("{good} of {sent} requests were served before"));
    if good * 4 < sent {
        return None;
    }
    let from_ms = back_ms + RECOVERY_MS;
    let (good, sent) = served(&exchanges, from_ms, u64::MAX);
    record.show(&format!(
        "RECOVER: {good} of {sent} requests were served that were sent later \
         than {RECOVERY_MS} ms after the processes were back"
    ));
    Some(good * 4 < sent)
}
