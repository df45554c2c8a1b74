//! The faults of a pattern.

use rand::{RngExt, seq::SliceRandom};

use super::{
    links::{MICROS_PER_MS, micros},
    pattern::Fault,
    world::{Event, World},
};

/// The time within which the processes of a kill start again, in
/// microseconds.
const START_SPREAD_US: u64 = 300 * MICROS_PER_MS;

impl World<'_> {
    /// Schedules the beginning and the end of every fault.
    pub(super) fn schedule_faults(&mut self) {
        for (number, fault) in self.pattern.faults.iter().enumerate() {
            let (at_s, lasts_s) = match *fault {
                Fault::Kill { at_s, down_s, .. } => (at_s, down_s),
                Fault::Cut { at_s, lasts_s, .. }
                | Fault::StoreAway { at_s, lasts_s, .. }
                | Fault::NarrowLinks { at_s, lasts_s, .. } => (at_s, lasts_s),
            };
            let at_us = micros(at_s);
            let end_us = at_us + micros(lasts_s);
            self.schedule(at_us, Event::FaultBegins(number));
            self.schedule(end_us, Event::FaultEnds(number));
        }
    }

    /// Begins the fault with a number.
    pub(super) fn begin_fault(&mut self, number: usize) {
        match self.pattern.faults[number] {
            Fault::Kill { share, .. } => self.kill(share),
            Fault::Cut { data_centre, .. } => {
                self.is_cut[data_centre] = true;
            }
            Fault::StoreAway { share, .. } => {
                for host in self.drawn_hosts(share) {
                    self.is_store_away[host] = true;
                    self.hosts[host].watching.clear();
                }
            }
            Fault::NarrowLinks { share, .. } => self.link_share = share,
        }
    }

    /// Ends the fault with a number.
    pub(super) fn end_fault(&mut self, number: usize) {
        match self.pattern.faults[number] {
            Fault::Kill { .. } => self.start_killed(),
            Fault::Cut { data_centre, .. } => {
                self.is_cut[data_centre] = false;
            }
            Fault::StoreAway { .. } => self.is_store_away.fill(false),
            Fault::NarrowLinks { .. } => self.link_share = 1.0,
        }
    }

    fn kill(&mut self, share: f64) {
        for host in self.drawn_hosts(share) {
            self.hosts[host].is_up = false;
        }
        self.killed_us = Some(self.now_us);
    }

    fn start_killed(&mut self) {
        let down = self.hosts.iter().enumerate().filter(|(_, h)| !h.is_up);
        let down: Vec<usize> = down.map(|(host, _)| host).collect();
        for host in down {
            let wait_us = self.rng.random_range(0..START_SPREAD_US);
            self.schedule(self.now_us + wait_us, Event::Start(host));
        }
    }

    /// Draws a share of all entry hosts.
    fn drawn_hosts(&mut self, share: f64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.hosts.len()).collect();
        all.shuffle(&mut self.rng);
        let count = (share * all.len() as f64).round() as usize;
        all.truncate(count);
        all
    }
}
