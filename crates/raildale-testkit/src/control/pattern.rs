//! The pattern of a simulated fleet, read from a TOML file.

use std::path::Path;

use serde::Deserialize;

/// The maximum length of a pattern, in seconds.
const MAX_LENGTH_S: f64 = 120.0;

/// The maximum number of entry hosts. The memory of a simulation grows with
/// the square of it.
const MAX_ENTRY_HOSTS: usize = 4_000;

/// The maximum number of targets.
const MAX_TARGETS: usize = 20_000;

/// A fleet, its links and what happens to it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlPattern {
    /// Its name.
    pub name: String,
    /// The simulated time, in seconds.
    pub length_s: f64,
    /// The time from which messages are counted, in seconds.
    pub warm_up_s: f64,
    /// The number of entry hosts.
    pub entry_hosts: usize,
    /// The number of targets.
    pub targets: usize,
    /// The number of agents, each beside one of the targets.
    pub agents: usize,
    /// The number of data centres; hosts are assigned to them in turn.
    pub data_centres: usize,
    /// The number of entry hosts, from the first on, that all others contact
    /// first.
    pub seeds: usize,
    /// The one-way latency within a data centre, in milliseconds.
    pub near_ms: f64,
    /// The one-way latency between data centres, in milliseconds.
    pub crossing_ms: f64,
    /// The rate of an entry host's link, in Mbit/s.
    pub link_mbps: f64,
    /// The rate of a data centre's link to all others, in Mbit/s.
    pub crossing_mbps: f64,
    /// The time of a call of the store without its data, in milliseconds.
    pub store_ms: f64,
    /// The size of a compressed configuration, in bytes.
    pub configuration_bytes: u64,
    /// The size of a target in the compressed list of targets, in bytes.
    pub target_bytes: u64,
    /// The times at which the configuration is changed, in seconds.
    #[serde(default)]
    pub changes_s: Vec<f64>,
    /// What fails.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// A fault. Times are in seconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Entry hosts end at one moment and start again.
    Kill {
        /// When they end.
        at_s: f64,
        /// Their share of all.
        share: f64,
        /// The time until they start again.
        down_s: f64,
    },
    /// A data centre and the others exchange no messages.
    Cut {
        /// When it begins.
        at_s: f64,
        /// The data centre.
        data_centre: usize,
        /// How long it lasts.
        lasts_s: f64,
    },
    /// The store does not answer some entry hosts.
    StoreAway {
        /// When it begins.
        at_s: f64,
        /// Their share of all.
        share: f64,
        /// How long it lasts.
        lasts_s: f64,
    },
    /// The links of all entry hosts are slower.
    NarrowLinks {
        /// When it begins.
        at_s: f64,
        /// The remaining share of their rate.
        share: f64,
        /// How long it lasts.
        lasts_s: f64,
    },
}

/// Why a pattern cannot be run.
#[derive(Debug, displaydoc::Display)]
pub enum PatternError {
    /// 1411 the file cannot be read: {0}
    Unreadable(std::io::Error),
    /// 1412 the file is no pattern of a fleet: {0}
    Malformed(toml::de::Error),
    /// 1413 {0}
    Invalid(&'static str),
}

impl std::error::Error for PatternError {}

impl ControlPattern {
    /// Reads and checks a pattern from a file.
    ///
    /// # Errors
    ///
    /// Returns a [`PatternError`] if the file cannot be read, cannot be parsed
    /// or holds a value out of range.
    pub fn read(path: &Path) -> Result<ControlPattern, PatternError> {
        let text = std::fs::read_to_string(path);
        text.map_err(PatternError::Unreadable)?.parse()
    }

    /// Returns the same pattern for a fleet of another size, with agents in
    /// proportion to targets.
    ///
    /// # Errors
    ///
    /// [`PatternError::Invalid`] if a size is out of range.
    pub fn with_size(
        &self,
        entry_hosts: usize,
        targets: usize,
    ) -> Result<ControlPattern, PatternError> {
        let agents = targets * self.agents / self.targets.max(1);
        let resized =
            ControlPattern { entry_hosts, targets, agents, ..self.clone() };
        resized.check()?;
        Ok(resized)
    }

    fn check(&self) -> Result<(), PatternError> {
        let positive = [
            self.near_ms,
            self.crossing_ms,
            self.link_mbps,
            self.crossing_mbps,
            self.store_ms,
        ];
        let hosts = self.data_centres..=MAX_ENTRY_HOSTS;
        let checks = [
            (self.data_centres > 0, "data_centres must be over 0"),
            (
                hosts.contains(&self.entry_hosts),
                "entry_hosts must be from data_centres to 4,000",
            ),
            (self.targets <= MAX_TARGETS, "targets must be 20,000 at most"),
            (self.agents <= self.targets, "agents must be targets at most"),
            (self.seeds > 0, "seeds must be over 0"),
            (
                positive.iter().all(|value| *value > 0.0),
                "near_ms, crossing_ms, link_mbps, crossing_mbps and store_ms \
                 must be over 0",
            ),
            (
                (0.0..self.length_s).contains(&self.warm_up_s),
                "warm_up_s must be from 0 to length_s",
            ),
            (self.length_s <= MAX_LENGTH_S, "length_s is over 120"),
            (
                self.faults.iter().all(|fault| self.is_valid(fault)),
                "a fault's share must be over 0 and at most 1, and its times \
                 and data centre must exist",
            ),
            (
                self.changes_s.iter().all(|at_s| *at_s >= 0.0),
                "changes_s must be 0 or more",
            ),
        ];
        match checks.iter().find(|(holds, _)| !holds) {
            Some((_, reason)) => Err(PatternError::Invalid(reason)),
            None => Ok(()),
        }
    }

    fn is_valid(&self, fault: &Fault) -> bool {
        let is_share = |share: f64| share > 0.0 && share <= 1.0;
        let is_time = |at_s: f64, lasts_s: f64| at_s >= 0.0 && lasts_s > 0.0;
        match *fault {
            Fault::Kill { at_s, share, down_s } => {
                is_share(share) && is_time(at_s, down_s)
            }
            Fault::Cut { at_s, data_centre, lasts_s } => {
                data_centre < self.data_centres && is_time(at_s, lasts_s)
            }
            Fault::StoreAway { at_s, share, lasts_s }
            | Fault::NarrowLinks { at_s, share, lasts_s } => {
                is_share(share) && is_time(at_s, lasts_s)
            }
        }
    }
}

impl std::str::FromStr for ControlPattern {
    type Err = PatternError;

    fn from_str(text: &str) -> Result<ControlPattern, PatternError> {
        let pattern: ControlPattern =
            toml::from_str(text).map_err(PatternError::Malformed)?;
        pattern.check()?;
        Ok(pattern)
    }
}
