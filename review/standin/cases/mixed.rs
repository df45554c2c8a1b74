//! A worker crashes behind a cut of its link and starts again, in the middle
//! of an answer that ends with its connection.

use std::{
    fs, io,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use super::{Verdict, read_log};
use crate::{
    callers::{Callers, Kind},
    fleet::{self, Fleet},
    proxy::Proxy,
    record::{Record, unix_ms},
    store::Store,
    worker::{BODY_BYTES, Options, UNFRAMED_BEGUN},
};

/// The machine whose worker is cut off.
const CUT: u8 = 2;

/// How long the link is cut each time.
const CUT_TIME: Duration = Duration::from_millis(600);

/// How long the worker is down each time.
const DOWN: Duration = Duration::from_millis(200);

/// The number of cuts.
const CUTS: u8 = 4;

/// The time of a request, in milliseconds.
const WORK_MS: u64 = 100;

/// One in so many answers of the worker has no length.
const UNFRAMED_EVERY: u64 = 20;

/// How long a crashed worker's entry stays: three heartbeats.
const ENTRY_STAYS: Duration = Duration::from_millis(3_600);

/// How long clients send requests before the first cut and after the last.
const CALM: Duration = Duration::from_secs(5);

/// Plays the case.
pub fn play(
    record: &Record,
    folder: &Path,
    has_trouble: bool,
) -> io::Result<Verdict> {
    let mut fleet = Fleet::new(folder, record.clone())?;
    let store = Store::start(fleet.store())?;
    store.put("config", "main", &fleet.configuration());
    let faulty_from_ms = unix_ms() + CALM.as_millis() as u64;
    let link = Proxy::start(fleet.proxy(CUT), fleet.target(CUT))?;
    for machine in 1..=3 {
        let id = id(machine, 0);
        let options = options(&fleet, machine, &id, faulty_from_ms);
        fleet.start_worker(&format!("worker-{machine}"), &options)?;
        list(&store, &fleet, machine, &id);
    }
    for machine in 1..=2 {
        fleet.start_entry(machine)?;
    }
    if !(1..=2).all(|machine| fleet.wait_until_ready(machine)) {
        return Ok(Verdict::NotRun("no entry host became ready".into()));
    }
    let to = vec![fleet.callers(1), fleet.callers(2)];
    let pause = Duration::from_millis(60);
    let callers = Callers::start(Kind::Once, to, 10, pause, record);
    thread::sleep(CALM);
    for number in 1..=CUTS {
        if !has_trouble {
            thread::sleep(Duration::from_secs(10));
            continue;
        }
        if !wait_for_unframed(&fleet) {
            let why = "no answer without a length was in progress";
            return Ok(Verdict::NotRun(why.into()));
        }
        link.set_cut(true);
        record.line("the link is cut");
        let cut = Instant::now();
        fleet.kill(&format!("worker-{CUT}"))?;
        thread::sleep(DOWN);
        let id_now = id(CUT, number);
        let options = options(&fleet, CUT, &id_now, faulty_from_ms);
        fleet.start_worker(&format!("worker-{CUT}"), &options)?;
        thread::sleep(CUT_TIME.saturating_sub(cut.elapsed()));
        link.set_cut(false);
        record.line("the link heals");
        list(&store, &fleet, CUT, &id_now);
        thread::sleep(ENTRY_STAYS.saturating_sub(cut.elapsed()));
        store.delete("servers", &id(CUT, number - 1));
        // The next faulty time.
        thread::sleep(Duration::from_secs(10).saturating_sub(cut.elapsed()));
    }
    thread::sleep(CALM);
    let sent = callers.end();
    for machine in 1..=3 {
        let name = format!("worker-{machine}");
        read_log(&fleet.worker_log(machine), &name, record)?;
    }
    let served = sent.iter().filter(|one| one.is_served()).count();
    let is_short = |length: usize| length != BODY_BYTES;
    let mut short = 0;
    for one in sent.iter().filter(|one| one.is_served()) {
        let length = one.answer.body.len();
        if is_short(length) {
            short += 1;
            record.line(&format!(
                "{}: a success, complete with {length} of {BODY_BYTES} bytes",
                one.id,
            ));
        }
    }
    let text = format!(
        "{short} answers were cut short and look complete ({served} of {} \
         served)",
        sent.len(),
    );
    match (served * 2 < sent.len(), short) {
        (true, _) => Ok(Verdict::NotRun(text)),
        (false, 0) => Ok(Verdict::Held(text)),
        (false, _) => Ok(Verdict::Broken(text)),
    }
}

/// Returns the id of a worker's start.
fn id(machine: u8, number: u8) -> String {
    format!("i-7f3a9{machine}{number:02x}")
}

fn options(
    fleet: &Fleet,
    machine: u8,
    id: &str,
    faulty_from_ms: u64,
) -> Options {
    let mut options = fleet.worker(machine, id);
    options.work_ms = WORK_MS;
    if machine == CUT {
        options.unframed_every = UNFRAMED_EVERY;
        options.faulty_from_ms = faulty_from_ms;
    }
    options
}

/// Writes the entry of a worker's start.
fn list(store: &Store, fleet: &Fleet, machine: u8, id: &str) {
    let address = match machine {
        CUT => fleet.proxy(machine),
        _ => fleet.target(machine),
    };
    let entry = fleet::entry("plant-ops", address, machine, 6, 0);
    store.put("servers", id, &entry);
}

/// Waits until half of an answer without a length is written. Returns whether
/// it was within 20 s.
fn wait_for_unframed(fleet: &Fleet) -> bool {
    let path = fleet.worker_log(CUT);
    let count = || {
        let log = fs::read_to_string(&path).unwrap_or_default();
        log.matches(UNFRAMED_BEGUN).count()
    };
    let before = count();
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        if count() > before {
            return true;
        }
        thread::sleep(Duration::from_millis(2));
    }
    false
}
