//! A faulty worker sends more after a whole answer, where the next answer is
//! due.

use std::{collections::BTreeMap, io, path::Path, thread, time::Duration};

use super::{Verdict, read_log};
use crate::{
    callers::{Callers, Kind},
    fleet::{self, Fleet},
    record::{Record, unix_ms},
    store::Store,
};

/// How long clients send requests.
const TRAFFIC: Duration = Duration::from_secs(60);

/// One in so many answers of the faulty worker is followed by more, for 5 s of
/// each 10 s.
const SURPLUS_EVERY: u64 = 34;

/// Plays the case.
pub fn play(
    record: &Record,
    folder: &Path,
    has_trouble: bool,
) -> io::Result<Verdict> {
    let mut fleet = Fleet::new(folder, record.clone())?;
    let faulty_from_ms = unix_ms() + 5_000;
    let store = Store::start(fleet.store())?;
    store.put("config", "main", &fleet.configuration());
    for machine in 1..=3 {
        let id = format!("i-7f3a91c{machine}");
        let mut options = fleet.worker(machine, &id);
        if has_trouble && machine == 2 {
            options.surplus_every = SURPLUS_EVERY;
            options.faulty_from_ms = faulty_from_ms;
        }
        fleet.start_worker(&format!("worker-{machine}"), &options)?;
        let address = fleet.target(machine);
        let entry = fleet::entry("plant-ops", address, machine, 6, 0);
        store.put("servers", &id, &entry);
    }
    for machine in 1..=2 {
        fleet.start_entry(machine)?;
    }
    if !(1..=2).all(|machine| fleet.wait_until_ready(machine)) {
        return Ok(Verdict::NotRun("no entry host became ready".into()));
    }
    let to = vec![fleet.callers(1), fleet.callers(2)];
    let pause = Duration::from_millis(200);
    let callers = Callers::start(Kind::Once, to, 8, pause, record);
    thread::sleep(TRAFFIC);
    let sent = callers.end();
    thread::sleep(Duration::from_millis(500));
    let mut runs: BTreeMap<String, Vec<u8>> = BTreeMap::new();
    for machine in 1..=3 {
        let name = format!("worker-{machine}");
        let log = read_log(&fleet.worker_log(machine), &name, record)?;
        for id in log.iter().filter_map(|line| line.run()) {
            runs.entry(id.to_string()).or_default().push(machine);
        }
    }
    let served = sent.iter().filter(|one| one.is_served()).count();
    let count = sent.len();
    if served < count / 2 {
        let why = format!("{served} of {count} requests were served");
        return Ok(Verdict::NotRun(why));
    }
    let twice: Vec<String> = runs
        .iter()
        .filter(|(_, workers)| workers.len() > 1)
        .map(|(id, workers)| format!("{id} at workers {workers:?}"))
        .collect();
    for one in &twice {
        record.line(&format!("ran more than once: {one}"));
    }
    let text = format!(
        "{} of {count} non-idempotent requests ran more than once ({served} \
         served)",
        twice.len(),
    );
    match twice.is_empty() {
        true => Ok(Verdict::Held(text)),
        false => Ok(Verdict::Broken(text)),
    }
}
