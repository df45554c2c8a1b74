//! Starts that have left the list: a store that is restored from an older copy
//! lists them again, without their doing.

use std::collections::BTreeMap;

use crate::{
    catalog::Stamp, fleet_message::DepartureEntry, gateway::ends::StartId,
};

/// How long a departure is remembered, in milliseconds. The longest that a
/// start serves on after it has left, with a margin; an entry of a restored
/// copy without an owner has lapsed by then.
const KEPT_MS: u64 = 30_000;

/// Departures that are remembered at most; the oldest go first.
const MOST: usize = 4_096;

/// Starts that have left the list of late.
#[derive(Clone, Debug, Default)]
pub struct Departed {
    by_start: BTreeMap<StartId, Departure>,
}

/// That a start has left the list.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// A change of the store by which its entry was gone.
    gone: Stamp,
    /// When that was known here.
    at_ms: u64,
    /// Its entry in a restored copy.
    copied: Option<Stamp>,
}

impl Departed {
    /// Notes that a start has left, as the list tells at `gone`.
    pub fn note(&mut self, now_ms: u64, start: StartId, gone: Stamp) {
        let departure = Departure { gone, at_ms: now_ms, copied: None };
        self.insert(start, departure);
    }

    fn insert(&mut self, start: StartId, departure: Departure) {
        self.by_start.insert(start, departure);
        if self.by_start.len() > MOST {
            let oldest = self.by_start.iter().min_by_key(|(_, d)| d.at_ms);
            if let Some(start) = oldest.map(|(start, _)| *start) {
                self.by_start.remove(&start);
            }
        }
    }

    /// Takes in the entry under which a start is listed. Says whether it is a
    /// copy from before it left; one that is written again has another stamp,
    /// and the start is back.
    pub fn note_listed(&mut self, start: StartId, entry: Stamp) -> bool {
        let Some(departure) = self.by_start.get_mut(&start) else {
            return false;
        };
        let is_from_copy = entry.era > departure.gone.era
            && entry.revision <= departure.gone.revision;
        let copied = *departure.copied.get_or_insert(entry);
        let is_copied = is_from_copy && copied == entry;
        if !is_copied {
            self.by_start.remove(&start);
        }
        is_copied
    }

    /// Forgets what is old; returns starts whose entries were copies until
    /// now.
    pub fn sweep(&mut self, now_ms: u64) -> Vec<StartId> {
        let is_old = |departure: &Departure| {
            now_ms.saturating_sub(departure.at_ms) > KEPT_MS
        };
        let old = self.by_start.iter().filter(|(_, d)| is_old(d));
        let copied = old.filter(|(_, d)| d.copied.is_some());
        let starts = copied.map(|(start, _)| *start).collect();
        self.by_start.retain(|_, departure| !is_old(departure));
        starts
    }

    /// All of it, for another entry host.
    pub fn told(&self, now_ms: u64) -> Vec<DepartureEntry> {
        let told = |(start, departure): (&StartId, &Departure)| {
            let Stamp { era, revision } = departure.gone;
            let age_ms = now_ms.saturating_sub(departure.at_ms);
            DepartureEntry {
                start: start.0,
                era,
                revision,
                age_ms,
                copied_era: departure.copied.map(|copied| copied.era),
                copied_revision: departure.copied.map_or(0, |c| c.revision),
            }
        };
        self.by_start.iter().map(told).collect()
    }

    /// Takes in what another entry host tells.
    pub fn take_told(&mut self, now_ms: u64, told: Vec<DepartureEntry>) {
        for one in told {
            let start = StartId(one.start);
            let departure = Departure {
                gone: Stamp::new(one.era, one.revision),
                at_ms: now_ms.saturating_sub(one.age_ms),
                copied: one.copied(),
            };
            if !self.by_start.contains_key(&start) {
                self.insert(start, departure);
            }
        }
    }
}
