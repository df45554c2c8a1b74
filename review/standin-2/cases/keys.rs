//! A key is taken away, and it was the last one of the last tenant.

use crate::{
    cases::{self, Clients, SERVICE, pause_ms},
    fleet::{EntryHost, Place, WorkerProcess, server_entry, worker_events},
    record::{Record, now_ms},
    store::Store,
    worker::Form,
};

/// `ConfigDeadlineMs` of the sheets.
const CONFIG_DEADLINE_MS: u64 = 2_000;

/// The only tenant and its only key.
const TENANT: &str = "[{\"Name\":\"bozi300\",\"ApiKeys\":[\"key-one\"]}]";

pub fn play(record: &Record, has_trouble: bool) -> Option<bool> {
    let place = Place::new("raildale-keys");
    let store_at = place.at(100, 0);
    let store = Store::start(store_at, record);
    let log = place.folder.join("worker.log");
    let worker_at = place.at(50, 0);
    let _worker = WorkerProcess::start(worker_at, "i-1", &log, Form::Framed);
    store.put("servers", "i-1", &server_entry(SERVICE, worker_at));
    let first = cases::config(7, "idempotent", TENANT, "");
    store.put("config", "main", &first);
    let host = EntryHost::start(&place, 1, 1, store_at);
    if !host.wait_until_ready(record) {
        return None;
    }
    let keys = ["key-one", "key-never-held"];
    let pause = std::time::Duration::from_millis(100);
    let clients = Clients::start(record, &[host.callers], &keys, "GET", pause);
    pause_ms(5_000);
    let tenants = if has_trouble { "[]" } else { TENANT };
    let second = cases::config(9, "idempotent", tenants, "");
    store.put("config", "main", &second);
    let acked_ms = now_ms();
    pause_ms(8_000);
    let exchanges = clients.stop();
    let runs = worker_events(&log);
    for run in &runs {
        record.note_at(run.at_ms, &format!("worker: {}", run.line));
    }
    let has_run = |id: &str| {
        runs.iter().any(|run| run.what == "runs" && run.request == id)
    };
    let ran = |key: &str, from_ms: u64| {
        let with_key = exchanges.iter().filter(|one| one.key == key);
        with_key.filter(|o| o.sent_ms > from_ms && has_run(&o.id)).count()
    };
    let never_held = ran("key-never-held", 0);
    let dropped = ran("key-one", acked_ms + CONFIG_DEADLINE_MS);
    record.show(&format!(
        "ROUTE: {never_held} requests ran with a key that no configuration \
         ever held"
    ));
    if !has_trouble {
        record.show(&format!("{dropped} ran with the key that is in force"));
        return (dropped > 0).then_some(never_held > 0);
    }
    record.show(&format!(
        "CONFIG: {dropped} requests that were sent more than \
         {CONFIG_DEADLINE_MS} ms after the key was gone ran with it"
    ));
    Some(never_held + dropped > 0)
}
