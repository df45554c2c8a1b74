//! All processes are killed right after a version was named, and the origin
//! spoils one answer, the manifest of that version: one digit of one digest.

use std::{io, path::Path, thread, time::Duration};

use super::{Verdict, read_log};
use crate::{
    callers::{Callers, Kind, Sent},
    fleet::{self, Fleet},
    record::{Record, unix_ms},
    store::Store,
    weights::{MODEL, Origin},
};

/// The bound of the deployment, `RecoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long clients send requests before the version is named.
const BEFORE: Duration = Duration::from_secs(14);

/// The time from the naming of the version to the final fault.
const NAMED: Duration = Duration::from_millis(20);

/// How long the processes are gone.
const DOWN: Duration = Duration::from_secs(1);

/// How much later than the entry hosts the agents start: machines start within
/// 0.3 s of each other.
const START_LAG: Duration = Duration::from_millis(200);

/// How long requests are counted after `RecoveryS`.
const AFTER: Duration = Duration::from_secs(25);

/// The machines; each has an entry host, a worker and an agent.
const MACHINES: [u8; 3] = [1, 2, 3];

/// Plays the case.
pub fn play(
    record: &Record,
    folder: &Path,
    has_trouble: bool,
) -> io::Result<Verdict> {
    let mut fleet = Fleet::new(folder, record.clone())?;
    let store = Store::start(fleet.store())?;
    let origin = Origin::start(fleet.origin(), record.clone())?;
    store.put("config", "main", &fleet.configuration());
    store.put("versions", MODEL, &named(1));
    for machine in MACHINES {
        let id = format!("i-7f3a91c{machine}");
        let mut options = fleet.worker(machine, &id);
        options.version = 1;
        fleet.start_worker(&format!("worker-{machine}"), &options)?;
        let address = fleet.target(machine);
        let entry = fleet::entry("llm-pool", address, machine, 16, 1);
        store.put("servers", &id, &entry);
    }
    start_programs(&mut fleet)?;
    if !MACHINES.iter().all(|machine| fleet.wait_until_ready(*machine)) {
        return Ok(Verdict::NotRun("no entry host became ready".into()));
    }
    thread::sleep(Duration::from_secs(2));
    let to = MACHINES.map(|machine| fleet.callers(machine)).to_vec();
    let pause = Duration::from_millis(500);
    let callers = Callers::start(Kind::Stream, to, 9, pause, record);
    thread::sleep(BEFORE);
    let answers_before = origin.answers();
    store.put("versions", MODEL, &named(2));
    record.line("store: version 2 is named");
    thread::sleep(NAMED);
    let fault_ms = unix_ms();
    record.line("final fault: all processes are killed");
    for machine in MACHINES {
        for role in ["edge", "side"] {
            fleet.kill(&format!("{role}-{machine}"))?;
        }
    }
    thread::sleep(DOWN);
    if has_trouble {
        origin.spoil_next_manifest(2);
    }
    start_programs(&mut fleet)?;
    let back_ms = unix_ms();
    record.line("all machines are back");
    thread::sleep(RECOVERY + AFTER);
    let sent = callers.end();
    for machine in MACHINES {
        let name = format!("worker-{machine}");
        read_log(&fleet.worker_log(machine), &name, record)?;
    }
    let ended = fleet.ended();
    if !ended.is_empty() {
        return Ok(Verdict::NotRun(format!("ended: {ended:?}")));
    }
    let recovered_ms = back_ms + RECOVERY.as_millis() as u64;
    let before = Share::of(&sent, |one| one.sent_ms < fault_ms);
    let after = Share::of(&sent, |one| one.sent_ms > recovered_ms);
    let text = format!(
        "served {} of {} before the final fault and {} of {} sent later than \
         RecoveryS after it (the origin gave {} answers since the naming)",
        before.served,
        before.count,
        after.served,
        after.count,
        origin.answers() - answers_before,
    );
    match (before.is_a_quarter(), after.is_a_quarter()) {
        (false, _) => Ok(Verdict::NotRun(text)),
        (true, true) => Ok(Verdict::Held(text)),
        (true, false) => Ok(Verdict::Broken(text)),
    }
}

/// Starts the project's processes on all machines.
fn start_programs(fleet: &mut Fleet) -> io::Result<()> {
    for machine in MACHINES {
        fleet.start_entry(machine)?;
    }
    thread::sleep(START_LAG);
    for machine in MACHINES {
        fleet.start_agent(machine)?;
    }
    Ok(())
}

/// Returns the entry of the store that names a version.
fn named(version: u64) -> String {
    format!("{{\"Model\":\"{MODEL}\",\"Version\":{version}}}")
}

/// How many of some requests were served.
struct Share {
    count: usize,
    served: usize,
}

impl Share {
    fn of(sent: &[Sent], is_counted: impl Fn(&Sent) -> bool) -> Share {
        let counted: Vec<&Sent> =
            sent.iter().filter(|one| is_counted(one)).collect();
        let served = counted.iter().filter(|one| one.is_served()).count();
        Share { count: counted.len(), served }
    }

    fn is_a_quarter(&self) -> bool {
        self.count > 0 && self.served * 4 >= self.count
    }
}
