//! What is played: a fleet, its callers, and what happens to targets.

use std::path::Path;

use serde::Deserialize;

/// A load pattern, as its file holds it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pattern {
    /// What it is called in tables.
    pub name: String,
    /// How long callers arrive, in seconds.
    pub length_s: f64,
    /// What arrives before this is not counted, in seconds.
    #[serde(default)]
    pub warm_up_s: f64,
    /// The fleet.
    pub fleet: FleetPattern,
    /// The engines of all targets.
    pub engine: EnginePattern,
    /// What callers ask for.
    #[serde(rename = "route")]
    pub routes: Vec<RoutePattern>,
    /// How many arrive, from when on.
    #[serde(rename = "rate")]
    pub rates: Vec<RateStep>,
    /// Organisations' shares of the requests; one alone if empty.
    #[serde(default)]
    pub organisation_shares: Vec<f64>,
    /// Callers that repeat at once and often.
    #[serde(default)]
    pub repeaters: Repeaters,
    /// Targets that leave for a while.
    #[serde(default, rename = "absence")]
    pub absences: Vec<Absence>,
    /// Restores of the store from an older copy.
    #[serde(default, rename = "restore")]
    pub restores: Vec<StoreRestore>,
}

/// Where everything stands.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPattern {
    /// Entry hosts of each data centre.
    pub entry_hosts: Vec<usize>,
    /// Targets of each data centre.
    pub targets: Vec<usize>,
    /// Shares of the callers, by data centre; equal ones if empty.
    #[serde(default)]
    pub caller_shares: Vec<f64>,
    /// From one data centre to another, in milliseconds.
    pub crossing_ms: f64,
    /// From a caller to an entry host, in milliseconds.
    pub caller_way_ms: f64,
    /// Time between two reports of an agent, in milliseconds.
    pub report_every_ms: f64,
    /// Of so many reports other data centres get one.
    pub far_report_every: u32,
    /// Time between two digests of a data centre, in milliseconds, for a large
    /// fleet: agents then report to entry hosts next door that use their
    /// targets, and the others hear by digest.
    #[serde(default)]
    pub digest_every_ms: Option<f64>,
}

/// Figures of an engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePattern {
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that may wait in it.
    pub queue: usize,
    /// Milliseconds of one step.
    pub step_ms: f64,
    /// Milliseconds that each running request adds to a step.
    pub per_sequence_ms: f64,
    /// Steps, and tokens, of one event.
    pub stride: u32,
    /// Prompt tokens read in a millisecond.
    pub prompt_tokens_per_ms: f64,
    /// Prompt tokens read in one pass at most.
    pub chunk_tokens: f64,
}

/// A kind of request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePattern {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// The time to the first event that is in time, in milliseconds.
    pub goal_ms: u64,
    /// The longest pause that is in time, in milliseconds.
    pub gap_goal_ms: u64,
    /// How long callers wait, in milliseconds.
    pub timeout_ms: u64,
    /// What an answer in time is worth.
    pub worth: f64,
    /// What a late one is worth.
    pub late_worth: f64,
    /// Mean tokens of a prompt.
    pub prompt_tokens: f64,
    /// Mean events of an answer.
    pub events: f64,
    /// Standard deviation of both over their mean.
    pub spread: f64,
}

/// From when on how many requests arrive.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateStep {
    /// When it begins, in seconds.
    pub at_s: f64,
    /// Requests in a second.
    pub per_s: f64,
}

/// Callers that do not come back when they are told to.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Repeaters {
    /// Their share of the callers.
    pub share: f64,
    /// How often each comes back, at once.
    pub repeats: u32,
}

/// Targets that take nothing for a while, one after the other.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Absence {
    /// When the first goes, in seconds.
    pub at_s: f64,
    /// How many go.
    pub count: usize,
    /// Those of this data centre only; neighbours in turn stand in different
    /// ones otherwise.
    pub data_centre: Option<usize>,
    /// Time between two that go, in milliseconds.
    #[serde(default)]
    pub gap_ms: f64,
    /// How long one says that it takes nothing new before what runs there is
    /// cut, in milliseconds; 0 if it goes without a word.
    #[serde(default)]
    pub drain_ms: f64,
    /// From then until it serves again, in milliseconds.
    pub away_ms: f64,
}

/// The store is restored, and the entries of all targets are lost.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreRestore {
    /// When, in seconds.
    pub at_s: f64,
    /// From then until the last target has written its entry again, in
    /// milliseconds.
    pub again_most_ms: f64,
}

/// Why a pattern cannot be played.
#[derive(Debug, displaydoc::Display)]
pub enum PatternError {
    /// 1401 the file cannot be read: {0}
    Unreadable(std::io::Error),
    /// 1402 the file is no load pattern: {0}
    Malformed(toml::de::Error),
    /// 1403 {0}
    Invalid(&'static str),
}

impl std::error::Error for PatternError {}

impl Pattern {
    /// Reads a pattern from a file.
    ///
    /// # Errors
    ///
    /// A [`PatternError`].
    pub fn read(path: &Path) -> Result<Pattern, PatternError> {
        let text = std::fs::read_to_string(path);
        text.map_err(PatternError::Unreadable)?.parse()
    }

    /// Data centres of the fleet.
    pub fn data_centre_count(&self) -> usize {
        self.fleet.targets.len()
    }

    /// Requests that arrive in a second at a time.
    pub fn rate_at(&self, at_s: f64) -> f64 {
        let step = self.rates.iter().rev().find(|step| step.at_s <= at_s);
        step.map_or(0.0, |step| step.per_s)
    }

    fn check(&self) -> Result<(), PatternError> {
        let fleet = &self.fleet;
        let engine = &self.engine;
        let has_hosts = fleet.entry_hosts.iter().sum::<usize>() > 0;
        let is_alike = fleet.entry_hosts.len() == fleet.targets.len();
        let shares = fleet.caller_shares.len();
        let paces = [
            engine.step_ms,
            engine.prompt_tokens_per_ms,
            engine.chunk_tokens,
            fleet.report_every_ms,
        ];
        let checks = [
            (has_hosts, "no entry host"),
            (is_alike, "entry_hosts and targets differ in data centres"),
            (shares == 0 || shares == fleet.targets.len(), "caller_shares"),
            (!self.routes.is_empty(), "no route"),
            (!self.rates.is_empty(), "no rate"),
            (engine.slots > 0, "engine.slots must be over 0"),
            (engine.stride > 0, "engine.stride must be over 0"),
            (fleet.far_report_every > 0, "far_report_every must be over 0"),
            (paces.iter().all(|pace| *pace > 0.0), "a pace is not over 0"),
            (self.length_s > 0.0, "length_s must be over 0"),
            (self.length_s <= LENGTH_MOST_S, "length_s is over 600"),
        ];
        match checks.iter().find(|(holds, _)| !holds) {
            Some((_, reason)) => Err(PatternError::Invalid(reason)),
            None => Ok(()),
        }
    }
}

/// The longest pattern that is played, in seconds.
const LENGTH_MOST_S: f64 = 600.0;

impl std::str::FromStr for Pattern {
    type Err = PatternError;

    fn from_str(text: &str) -> Result<Pattern, PatternError> {
        let pattern: Pattern =
            toml::from_str(text).map_err(PatternError::Malformed)?;
        pattern.check()?;
        Ok(pattern)
    }
}
