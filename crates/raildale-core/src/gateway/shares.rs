//! Divides the slots of targets among the entry hosts.
//!
//! Entry hosts hear of a target's load 0.1 s late, and all hear the same, so
//! that in an overload all of them would send to the same free slot. Each
//! therefore owns a part of every target's slots that the others leave alone.
//! All compute the same parts from the demand in heartbeats: each host gets
//! slots in proportion to its demand, first those in its own data centre.

use super::{notices::quota::OwnPart, target::Competitors};
use crate::Name;

/// An entry host that sends to targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Sender {
    /// The data centre of the entry host.
    pub data_centre: Name,
    /// The recent rate of requests to the entry host, per second.
    pub demand: f64,
}

/// The minimum demand that an entry host counts for: one without requests may
/// get some before the next heartbeat.
const MIN_DEMAND: f64 = 0.5;

/// The minimum demand where callers are concentrated: dozens of entry hosts
/// that get requests only by chance must not own a tenth of the slots.
const IDLE_DEMAND: f64 = 0.05;

/// The entry hosts, in the same order on all of them.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    senders: Vec<Sender>,
    own: usize,
    /// The number of entry hosts in this one's data centre, itself included.
    near_count: usize,
    /// The demand below which an entry host does not compete; 0 if all do.
    min_demand: f64,
}

impl Shares {
    /// Creates the shares of `senders`, of which this host has index `own`.
    pub fn new(senders: Vec<Sender>, own: usize) -> Shares {
        let shares = Shares { senders, own, near_count: 0, min_demand: 0.0 };
        Shares { near_count: shares.count_near(), ..shares }
    }

    /// Returns the shares if entry hosts without requests leave targets to the
    /// others, as they do where callers are concentrated on some.
    pub fn among_active(self) -> Shares {
        let shares = Shares { min_demand: MIN_DEMAND, ..self };
        Shares { near_count: shares.count_near(), ..shares }
    }

    /// Returns the entry hosts that compete for targets.
    fn competing(&self) -> impl Iterator<Item = &Sender> {
        let senders = self.senders.iter().enumerate();
        let competing = senders.filter(|(index, sender)| {
            *index == self.own || sender.demand >= self.min_demand
        });
        competing.map(|(_, sender)| sender)
    }

    fn count_near(&self) -> usize {
        let own = self.senders.get(self.own);
        own.map_or(0, |own| {
            let is_near = |s: &&Sender| s.data_centre == own.data_centre;
            self.competing().filter(is_near).count()
        })
    }

    /// Returns the index of this entry host.
    pub fn own_index(&self) -> usize {
        self.own
    }

    /// Returns the number of entry hosts that compete for targets.
    pub fn competitor_count(&self) -> usize {
        self.competing().count()
    }

    /// Returns the number of entry hosts.
    pub fn count(&self) -> usize {
        self.senders.len()
    }

    /// Returns the entry hosts that compete for the targets of a data centre:
    /// those in it if this host is there as well, else all.
    pub fn competitors(&self, data_centre: &str) -> Competitors {
        let own = self.senders.get(self.own);
        let is_near = own.is_some_and(|own| *own.data_centre == *data_centre);
        let count =
            if is_near { self.near_count } else { self.competitor_count() };
        Competitors { count, own_index: self.own }
    }

    /// Returns this entry host's part of the slots of each data centre.
    /// `supplies` holds the number of slots in each.
    pub fn parts(&self, supplies: &[(Name, f64)]) -> Parts {
        let min_demand =
            if self.min_demand > 0.0 { IDLE_DEMAND } else { MIN_DEMAND };
        let demand = |sender: &Sender| sender.demand.max(min_demand);
        let all_demand: f64 = self.senders.iter().map(demand).sum();
        let all_supply: f64 = supplies.iter().map(|(_, slots)| slots).sum();
        let needs: Vec<f64> = self
            .senders
            .iter()
            .map(|sender| demand(sender) * all_supply / all_demand)
            .collect();
        let centres: Vec<CentreNeed> = supplies
            .iter()
            .map(|(centre, slots)| self.centre_need(centre, *slots, &needs))
            .collect();
        let unmet = self.unmet(&centres, &needs);
        let all_unmet: f64 = unmet.iter().sum();
        let parts = centres.iter().map(|centre| {
            let part = |place: usize| {
                let is_here = self.senders[place].data_centre == centre.name;
                let own = if is_here {
                    centre.met_share * needs[place]
                } else {
                    0.0
                };
                let borrowed = match all_unmet > 0.0 {
                    true => centre.excess * unmet[place] / all_unmet,
                    false => 0.0,
                };
                (own + borrowed) / centre.slots.max(1.0)
            };
            let before: f64 = (0..self.own).map(part).sum();
            let own =
                self.senders.get(self.own).map_or(1.0, |_| part(self.own));
            Part { data_centre: centre.name.clone(), before, own }
        });
        Parts(parts.collect())
    }

    fn centre_need(
        &self,
        name: &Name,
        slots: f64,
        needs: &[f64],
    ) -> CentreNeed {
        let here = self.senders.iter().zip(needs);
        let need: f64 = here
            .filter(|(sender, _)| sender.data_centre == *name)
            .map(|(_, need)| need)
            .sum();
        CentreNeed {
            name: name.clone(),
            slots,
            met_share: if need > slots { slots / need } else { 1.0 },
            excess: (slots - need).max(0.0),
        }
    }

    /// Returns the slots that each entry host needs outside its own data
    /// centre.
    fn unmet(&self, centres: &[CentreNeed], needs: &[f64]) -> Vec<f64> {
        let met_share = |sender: &Sender| {
            let centre = centres.iter().find(|c| c.name == sender.data_centre);
            centre.map_or(0.0, |centre| centre.met_share)
        };
        self.senders
            .iter()
            .zip(needs)
            .map(|(sender, need)| need * (1.0 - met_share(sender)))
            .collect()
    }
}

/// A data centre's slots and its own entry hosts' need of them.
#[derive(Debug)]
struct CentreNeed {
    name: Name,
    slots: f64,
    /// The part of their need that its own entry hosts get here, from 0 to 1.
    met_share: f64,
    /// Slots that are left for entry hosts elsewhere.
    excess: f64,
}

/// The part of each data centre's slots that this entry host owns.
#[derive(Clone, Debug, Default)]
pub struct Parts(Vec<Part>);

#[derive(Clone, Debug)]
struct Part {
    data_centre: Name,
    /// The sum of the parts of the entry hosts with a lower index.
    before: f64,
    own: f64,
}

impl Parts {
    /// Returns this entry host's part of what the targets of a data centre
    /// take.
    pub fn own_part(&self, data_centre: &str) -> OwnPart {
        let part = self.0.iter().find(|p| *p.data_centre == *data_centre);
        part.map_or(OwnPart { before: 0.0, width: 0.0 }, |part| OwnPart {
            before: part.before,
            width: part.own,
        })
    }

    /// Returns the number of slots that this entry host owns at a target with
    /// `slots` slots, which has index `place` among the service's targets.
    /// Fractions are rounded up at some targets and down at others, so that
    /// every slot has one owner.
    pub fn own_slots(
        &self,
        data_centre: &str,
        slots: u32,
        place: usize,
    ) -> u32 {
        /// The fractional part of the golden ratio, whose multiples spread the
        /// rounding offsets evenly.
        const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;
        let part = self.0.iter().find(|p| *p.data_centre == *data_centre);
        let Some(part) = part else { return 0 };
        let offset = (place as f64 * GOLDEN_RATIO_FRACTION).fract();
        let slots = f64::from(slots);
        let first = (part.before * slots + offset).floor();
        let end = ((part.before + part.own) * slots + offset).floor();
        (end - first).max(0.0) as u32
    }
}
