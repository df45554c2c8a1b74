//! Target starts that have left the list. A store that is restored from an
//! older copy lists them again, although they are gone.

use std::collections::BTreeMap;

use crate::{
    catalog::Stamp, fleet_message::DepartureEntry,
    gateway::target_end::StartId,
};

/// How long a departure is remembered, in milliseconds: the longest time that
/// a start goes on serving after it left, with a margin. By then, an entry of
/// a restored copy that has no owner has lapsed.
const RETENTION_MS: u64 = 30_000;

/// The maximum number of departures that are remembered; the oldest are
/// dropped first.
const MAX_DEPARTURES: usize = 4_096;

/// The starts that have recently left the list.
#[derive(Clone, Debug, Default)]
pub struct Departed {
    by_start: BTreeMap<StartId, Departure>,
}

/// A start's departure from the list.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// The change of the store by which the entry was gone.
    removed: Stamp,
    /// When the departure became known here, on the process's clock.
    at_ms: u64,
    /// The stamp of the start's entry in a restored copy, if one was listed.
    copied: Option<Stamp>,
}

impl Departed {
    /// Records that a start has left the list by the change `removed`.
    pub fn record(&mut self, now_ms: u64, start: StartId, removed: Stamp) {
        let departure = Departure { removed, at_ms: now_ms, copied: None };
        self.insert(start, departure);
    }

    fn insert(&mut self, start: StartId, departure: Departure) {
        self.by_start.insert(start, departure);
        if self.by_start.len() > MAX_DEPARTURES {
            let oldest = self.by_start.iter().min_by_key(|(_, d)| d.at_ms);
            if let Some(start) = oldest.map(|(start, _)| *start) {
                self.by_start.remove(&start);
            }
        }
    }

    /// Returns whether the listed entry of a start is a copy from before the
    /// start left. An entry that is written again has another stamp: then the
    /// start is back, and its departure is forgotten.
    pub fn record_listed(&mut self, start: StartId, entry: Stamp) -> bool {
        let Some(departure) = self.by_start.get_mut(&start) else {
            return false;
        };
        let is_from_copy = entry.era > departure.removed.era
            && entry.revision <= departure.removed.revision;
        let copied = *departure.copied.get_or_insert(entry);
        let is_copied = is_from_copy && copied == entry;
        if !is_copied {
            self.by_start.remove(&start);
        }
        is_copied
    }

    /// Removes old departures. Returns the starts among them whose entries
    /// were treated as copies until now.
    pub fn sweep(&mut self, now_ms: u64) -> Vec<StartId> {
        let is_old = |departure: &Departure| {
            now_ms.saturating_sub(departure.at_ms) > RETENTION_MS
        };
        let old = self.by_start.iter().filter(|(_, d)| is_old(d));
        let copied = old.filter(|(_, d)| d.copied.is_some());
        let starts = copied.map(|(start, _)| *start).collect();
        self.by_start.retain(|_, departure| !is_old(departure));
        starts
    }

    /// Returns all departures in the form in which they are sent to other
    /// entry hosts.
    pub fn outgoing(&self, now_ms: u64) -> Vec<DepartureEntry> {
        let to_message = |(start, departure): (&StartId, &Departure)| {
            let Stamp { era, revision } = departure.removed;
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
        self.by_start.iter().map(to_message).collect()
    }

    /// Merges departures received from another entry host.
    pub fn merge_remote(
        &mut self,
        now_ms: u64,
        received: Vec<DepartureEntry>,
    ) {
        for one in received {
            let start = StartId(one.start);
            let departure = Departure {
                removed: Stamp::new(one.era, one.revision),
                at_ms: now_ms.saturating_sub(one.age_ms),
                copied: one.copied(),
            };
            if !self.by_start.contains_key(&start) {
                self.insert(start, departure);
            }
        }
    }
}
