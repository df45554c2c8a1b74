//! The figures of one or more sizes of a fleet.

use std::fmt::{self, Write};

use super::{
    host::Host,
    tally::{Tally, Traffic},
    world::World,
};

/// The roles of an entry host, in the order in which one counts.
const ROLES: [&str; 3] = ["relay", "watcher", "other"];

/// A measured figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Its name, with the unit.
    pub name: String,
    /// Its value.
    pub value: f64,
}

/// The figures of one size.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlResult {
    /// The name of the pattern.
    pub pattern: String,
    /// The number of entry hosts.
    pub entry_hosts: usize,
    /// The number of targets.
    pub targets: usize,
    /// The figures, in the same order for all sizes of a pattern.
    pub figures: Vec<Figure>,
}

impl ControlResult {
    pub(super) fn new(world: &World<'_>) -> ControlResult {
        let pattern = world.pattern;
        let counted_s = pattern.length_s - pattern.warm_up_s;
        let mut figures = Figures { all: Vec::new(), counted_s };
        for role in ROLES {
            let hosts = world.hosts.iter().enumerate();
            let of_role =
                hosts.filter(|(_, host)| role_of(host, world) == role);
            let of_role: Vec<usize> = of_role.map(|(host, _)| host).collect();
            figures.add_traffic(role, "sent", &of_role, &world.tally.sent);
            figures.add_traffic(
                role,
                "received",
                &of_role,
                &world.tally.received,
            );
        }
        let agents: Vec<usize> = (0..pattern.agents).collect();
        figures.add_traffic("agent", "lists", &agents, &world.tally.lists);
        figures.add_rest(&world.tally);
        ControlResult {
            pattern: pattern.name.clone(),
            entry_hosts: pattern.entry_hosts,
            targets: pattern.targets,
            figures: figures.all,
        }
    }

    /// Returns the value of a figure; `None` if there is none of that name.
    pub fn value(&self, name: &str) -> Option<f64> {
        let mut figures = self.figures.iter();
        figures.find(|figure| figure.name == name).map(|found| found.value)
    }
}

/// Returns the role of an entry host at the end.
fn role_of(host: &Host, world: &World<'_>) -> &'static str {
    let now_ms = world.now_ms();
    if host.members.relay_index(now_ms, host.is_ready()).is_some() {
        return ROLES[0];
    }
    match host.members.is_watcher(now_ms) {
        true => ROLES[1],
        false => ROLES[2],
    }
}

/// Figures that are being collected.
struct Figures {
    all: Vec<Figure>,
    /// The time in which traffic was counted, in seconds.
    counted_s: f64,
}

impl Figures {
    fn add(&mut self, name: impl Into<String>, value: f64) {
        self.all.push(Figure { name: name.into(), value });
    }

    /// Adds the mean and the maximum of the traffic of some hosts.
    fn add_traffic(
        &mut self,
        role: &str,
        direction: &str,
        hosts: &[usize],
        traffic: &[Traffic],
    ) {
        let seconds = self.counted_s;
        let kb = |of: u64| of as f64 / 1e3 / seconds;
        let bytes = || hosts.iter().map(|host| traffic[*host].bytes);
        let messages: u64 =
            hosts.iter().map(|host| traffic[*host].messages).sum();
        let count = hosts.len().max(1) as f64;
        let mean = kb(bytes().sum()) / count;
        let most = kb(bytes().max().unwrap_or(0));
        self.add(format!("{role}: {direction}, KB/s, mean"), mean);
        self.add(format!("{role}: {direction}, KB/s, most"), most);
        let messages = messages as f64 / seconds / count;
        self.add(format!("{role}: {direction}, messages/s, mean"), messages);
    }

    fn add_rest(&mut self, tally: &Tally) {
        let crossing_kb = tally.crossing.bytes as f64 / 1e3 / self.counted_s;
        self.add("all between centres, KB/s", crossing_kb);
        let crossing = [
            ("lists of entry hosts", tally.crossing_lists),
            ("other objects", tally.crossing_objects),
        ];
        for (name, Traffic { messages, bytes }) in crossing {
            self.add(format!("{name} between centres"), messages as f64);
            let kb = bytes as f64 / 1e3;
            self.add(format!("{name} between centres, KB"), kb);
        }
        self.add("calls of the store for objects", tally.store_calls as f64);
        self.add("digests too large", tally.oversized_digests as f64);
        let ages = &tally.digest_ages_us;
        let age_ms = |quantile| ages.value_at_quantile(quantile) as f64 / 1e3;
        self.add("age of a digest, ms, half", age_ms(0.5));
        self.add("age of a digest, ms, 99 in 100", age_ms(0.99));
        self.add("age of a digest, ms, worst", ages.max() as f64 / 1e3);
        let wrong = tally.wrong_beliefs as f64 / tally.beliefs.max(1) as f64;
        self.add("wrong beliefs, of 1,000", wrong * 1e3);
        self.add("loss known to the last, ms", tally.loss_known_ms as f64);
        let changes: Vec<u64> = tally.changes_ms.concat();
        self.add_times("change known", changes);
        self.add_times("ready at first", tally.first_ready_ms.clone());
        self.add_times("ready again", tally.ready_again_ms.clone());
    }

    /// Adds the number, the median and the maximum of some times.
    fn add_times(&mut self, name: &str, mut times_ms: Vec<u64>) {
        times_ms.sort_unstable();
        let count = times_ms.len();
        let half = times_ms.get(count / 2).copied().unwrap_or(0);
        let last = times_ms.last().copied().unwrap_or(0);
        self.add(format!("{name}, entry hosts"), count as f64);
        self.add(format!("{name}, ms, half"), half as f64);
        self.add(format!("{name}, ms, last"), last as f64);
    }
}

/// The results of a pattern at several sizes, the smallest first.
#[derive(Clone, Debug, PartialEq)]
pub struct Sizes {
    /// The results.
    pub results: Vec<ControlResult>,
}

impl Sizes {
    /// Returns the power of the number of entry hosts with which a figure
    /// grows, by the last two sizes; `None` if there is only one, or one of
    /// the values is 0.
    pub fn power(&self, name: &str) -> Option<f64> {
        let [.., before, last] = &self.results[..] else { return None };
        let grown = last.value(name)? / before.value(name)?;
        let larger = last.entry_hosts as f64 / before.entry_hosts as f64;
        let power = grown.ln() / larger.ln();
        power.is_finite().then_some(power)
    }

    /// Returns all figures as comma-separated values with a header line.
    pub fn csv(&self) -> String {
        let mut text = String::from("entry_hosts,targets,figure,value\n");
        for result in &self.results {
            let ControlResult { entry_hosts, targets, .. } = result;
            for Figure { name, value } in &result.figures {
                // Writing to a string cannot fail.
                let _ = writeln!(
                    text,
                    "{entry_hosts},{targets},\"{name}\",{value:.3}"
                );
            }
        }
        text
    }
}

impl fmt::Display for Sizes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.results.first() else { return Ok(()) };
        let sizes: String = self
            .results
            .iter()
            .map(|r| {
                format!(" {:>12}", format!("{}/{}", r.entry_hosts, r.targets))
            })
            .collect();
        writeln!(f, "{:<38}{sizes}  power", first.pattern)?;
        for Figure { name, .. } in &first.figures {
            write!(f, "{name:<38}")?;
            for result in &self.results {
                let value = result.value(name).unwrap_or(0.0);
                write!(f, " {value:>12.1}")?;
            }
            match self.power(name) {
                Some(power) => writeln!(f, " {power:>6.2}")?,
                None => writeln!(f, "      -")?,
            }
        }
        Ok(())
    }
}
