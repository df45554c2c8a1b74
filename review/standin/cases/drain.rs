//! A worker leaves without stating `draining`, while the store cuts waiting
//! watches.

use std::{io, path::Path, thread, time::Duration};

use super::{Verdict, read_log};
use crate::{
    callers::{Callers, Kind},
    fleet::{self, Fleet},
    record::Record,
    store::Store,
};

/// The bound of the deployment, `DrainMs`.
const DRAIN_MS: u64 = 2_000;

/// How long a watch may wait until the store cuts it.
const WATCH_CUT: Duration = Duration::from_secs(2);

/// How long clients send requests before the worker leaves.
const BEFORE: Duration = Duration::from_secs(10);

/// How long the worker serves on after its entry has gone: `DrainMs` and a
/// little longer, at times many seconds.
const SERVES_ON: Duration = Duration::from_secs(8);

/// The time of a request, in milliseconds.
const WORK_MS: u64 = 100;

/// The machine of the worker that leaves.
const LEAVING: u8 = 3;

/// Plays the case.
pub fn play(
    record: &Record,
    folder: &Path,
    has_trouble: bool,
) -> io::Result<Verdict> {
    let mut fleet = Fleet::new(folder, record.clone())?;
    let store = Store::start(fleet.store())?;
    store.put("config", "main", &fleet.configuration());
    let id = |machine: u8| format!("i-7f3a91c{machine}");
    for machine in 1..=3 {
        let mut options = fleet.worker(machine, &id(machine));
        options.work_ms = WORK_MS;
        fleet.start_worker(&format!("worker-{machine}"), &options)?;
        let address = fleet.target(machine);
        let entry = fleet::entry("plant-ops", address, machine, 6, 0);
        store.put("servers", &id(machine), &entry);
    }
    for machine in 1..=3 {
        fleet.start_entry(machine)?;
    }
    if !(1..=3).all(|machine| fleet.wait_until_ready(machine)) {
        return Ok(Verdict::NotRun("no entry host became ready".into()));
    }
    if has_trouble {
        store.cut_watches_after(WATCH_CUT);
        record.line(&format!("store: cuts watches after {WATCH_CUT:?}"));
    }
    let to = (1..=3).map(|machine| fleet.callers(machine)).collect();
    let pause = Duration::from_millis(60);
    let callers = Callers::start(Kind::Once, to, 12, pause, record);
    thread::sleep(BEFORE);
    let gone_ms = store.delete("servers", &id(LEAVING));
    record.line_at(gone_ms, &format!("store: {} is gone", id(LEAVING)));
    thread::sleep(SERVES_ON);
    fleet.kill(&format!("worker-{LEAVING}"))?;
    thread::sleep(Duration::from_secs(2));
    let sent = callers.end();
    let mut late: Vec<(u64, String)> = Vec::new();
    for machine in 1..=3 {
        let name = format!("worker-{machine}");
        let log = read_log(&fleet.worker_log(machine), &name, record)?;
        if machine != LEAVING {
            continue;
        }
        let runs = log.iter().filter_map(|line| {
            let after_ms = line.at_ms.saturating_sub(gone_ms);
            Some((after_ms, line.run()?.to_string()))
        });
        late = runs.filter(|(after_ms, _)| *after_ms > DRAIN_MS).collect();
    }
    let served = sent.iter().filter(|one| one.is_served()).count();
    let count = sent.len();
    if served < count / 2 {
        let why = format!("{served} of {count} requests were served");
        return Ok(Verdict::NotRun(why));
    }
    let is_lost =
        |id: &String| sent.iter().any(|one| one.id == *id && !one.is_served());
    let lost: Vec<&String> =
        late.iter().map(|(_, id)| id).filter(|id| is_lost(id)).collect();
    for id in &lost {
        record.line(&format!("{id}: ran at the worker, without its answer"));
    }
    let text = format!(
        "{} requests reached the worker over {DRAIN_MS} ms after the store \
         took its leaving, the last {} ms after it; {} of them were lost with \
         it ({served} of {count} served, {} watches cut)",
        late.len(),
        late.last().map_or(0, |(after_ms, _)| *after_ms),
        lost.len(),
        store.cut_count(),
    );
    match late.is_empty() {
        true => Ok(Verdict::Held(text)),
        false => Ok(Verdict::Broken(text)),
    }
}
