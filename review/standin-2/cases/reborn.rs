//! A worker is cut off from the entry hosts for a moment, crashes behind the
//! cut and starts again. Its answers end with their connections.

use std::time::Duration;

use crate::{
    cases::{self, Clients, SERVICE, pause_ms},
    fleet::{EntryHost, Place, WorkerProcess, server_entry, worker_events},
    proxy::Proxy,
    record::{Record, now_ms},
    store::Store,
    worker::{BODY_BYTES, BODY_END, Form},
};

const TENANT: &str = "[{\"Name\":\"bozi300\",\"ApiKeys\":[\"key-one\"]}]";

/// One of them is cut off at a time: a share of 0.17.
const WORKERS: u8 = 6;

/// The number of cuts, each of another worker.
const CUTS: usize = 4;

/// The length of a cut.
const CUT_MS: u64 = 1_200;

/// From the cut to the crash, and from there until the worker is back.
const CRASH_AFTER_MS: u64 = 100;
const DOWN_MS: u64 = 300;

pub fn play(record: &Record, has_trouble: bool) -> Option<bool> {
    let place = Place::new("raildale-reborn");
    let store_at = place.at(100, 0);
    let store = Store::start(store_at, record);
    let first = cases::config(7, "non_idempotent", TENANT, "");
    store.put("config", "main", &first);
    let mut workers = Vec::new();
    let mut proxies = Vec::new();
    for number in 1..=WORKERS {
        let id = format!("i-{number}-1");
        let log = place.folder.join(format!("worker-{number}.log"));
        let at = place.at(50 + number, 0);
        let listed_at = place.at(70 + number, 0);
        workers.push(WorkerProcess::start(at, &id, &log, Form::Unframed));
        proxies.push(Proxy::start(listed_at, at));
        store.put("servers", &id, &server_entry(SERVICE, listed_at));
    }
    let host = EntryHost::start(&place, 1, 1, store_at);
    if !host.wait_until_ready(record) {
        return None;
    }
    let callers = [host.callers; 8];
    let pause = Duration::from_millis(20);
    let clients =
        Clients::start(record, &callers, &["key-one"], "POST", pause);
    pause_ms(3_000);
    for round in 0..CUTS {
        if has_trouble {
            let number = round + 1;
            record.show(&format!("worker {number} is cut off"));
            proxies[round].set_cut(true);
            let cut_ms = now_ms();
            pause_ms(CRASH_AFTER_MS);
            record.show(&format!("worker {number} crashes"));
            workers[round].kill();
            pause_ms(DOWN_MS);
            let id = format!("i-{number}-2");
            let log = workers[round].log.clone();
            let at = workers[round].address;
            workers[round] =
                WorkerProcess::start(at, &id, &log, Form::Unframed);
            let listed_at = place.at(70 + number as u8, 0);
            store.put("servers", &id, &server_entry(SERVICE, listed_at));
            record.show(&format!("worker {number} is back as {id}"));
            pause_ms((cut_ms + CUT_MS).saturating_sub(now_ms()));
            proxies[round].set_cut(false);
            record.show("the cut is over");
            // The entry of the start that crashed goes after three heartbeats.
            pause_ms(2_400);
            store.delete("servers", &format!("i-{number}-1"));
        } else {
            pause_ms(CUT_MS + 2_400);
        }
        pause_ms(1_500);
    }
    let exchanges = clients.stop();
    for worker in &workers {
        for run in worker_events(&worker.log) {
            record.note_at(run.at_ms, &format!("worker: {}", run.line));
        }
    }
    let mut spoilt = 0;
    let mut whole = 0;
    for one in exchanges.iter().filter(|one| one.status() == 200) {
        let Some(answer) = &one.answer else { continue };
        let is_all = answer.body.len() == BODY_BYTES
            && answer.body.ends_with(BODY_END.as_bytes());
        if is_all {
            whole += 1;
        } else if answer.is_whole {
            spoilt += 1;
            record.show(&format!(
                "MIXED: request {} got 200 with {} of {BODY_BYTES} bytes, \
                 which looks complete (Content-Length {:?}, seal {:?})",
                one.id,
                answer.body.len(),
                answer.header("content-length"),
                answer.header("server-seal"),
            ));
        }
    }
    record.show(&format!(
        "{whole} whole answers, {spoilt} that were cut short and look \
         complete, of {} requests",
        exchanges.len()
    ));
    (whole > 20).then_some(spoilt > 0)
}
