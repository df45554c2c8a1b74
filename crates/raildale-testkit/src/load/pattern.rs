//! Load patterns: a fleet, its callers, and the events that affect targets.

use std::path::Path;

use serde::Deserialize;

/// A load pattern, as deserialized from its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pattern {
    /// The name shown in tables.
    pub name: String,
    /// The period in which callers arrive, in seconds.
    pub length_s: f64,
    /// The time before which arrivals are not counted, in seconds.
    #[serde(default)]
    pub warm_up_s: f64,
    /// The fleet.
    pub fleet: FleetPattern,
    /// The engines of all targets.
    pub engine: EnginePattern,
    /// The kinds of requests that callers send.
    #[serde(rename = "route")]
    pub routes: Vec<RoutePattern>,
    /// The arrival rate over time, in ascending order of `at_s`.
    #[serde(rename = "rate")]
    pub rates: Vec<RateStep>,
    /// Relative shares of the requests by organisation; a single organisation
    /// if empty.
    #[serde(default)]
    pub organisation_shares: Vec<f64>,
    /// Callers that retry immediately.
    #[serde(default)]
    pub repeaters: Repeaters,
    /// Temporary absences of targets.
    #[serde(default, rename = "absence")]
    pub absences: Vec<Absence>,
    /// Restores of the store from an older copy.
    #[serde(default, rename = "restore")]
    pub restores: Vec<StoreRestore>,
    /// Requests with a part of a prompt that crashes targets.
    pub deadly_part: Option<DeadlyPart>,
}

/// The hosts of the fleet by data centre, and the latencies between them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPattern {
    /// The number of entry hosts in each data centre.
    pub entry_hosts: Vec<usize>,
    /// The number of targets in each data centre.
    pub targets: Vec<usize>,
    /// Relative shares of the callers by data centre; equal shares if empty.
    #[serde(default)]
    pub caller_shares: Vec<f64>,
    /// The one-way latency between data centres, in milliseconds.
    pub crossing_ms: f64,
    /// The one-way latency from a caller to an entry host, in milliseconds.
    pub caller_way_ms: f64,
    /// The interval of an agent's reports, in milliseconds.
    pub report_every_ms: f64,
    /// Other data centres get every n-th report.
    pub far_report_every: u32,
    /// The interval of a data centre's digests, in milliseconds, for a large
    /// fleet. If set, agents report only to the entry hosts of their own data
    /// centre that use their targets; the others get digests.
    #[serde(default)]
    pub digest_every_ms: Option<f64>,
}

/// The capacity and speed of an engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePattern {
    /// The maximum number of requests in a batch.
    pub slots: usize,
    /// The maximum number of requests in the engine's queue.
    pub queue: usize,
    /// The duration of one step without requests, in milliseconds.
    pub step_ms: f64,
    /// The time that each request that generates adds to a step, in
    /// milliseconds.
    pub per_sequence_ms: f64,
    /// The number of steps, and of tokens, per event.
    pub stride: u32,
    /// The number of prompt tokens read per millisecond.
    pub prompt_tokens_per_ms: f64,
    /// The maximum number of prompt tokens read in one pass.
    pub chunk_tokens: f64,
}

/// A kind of request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePattern {
    /// The name of its route.
    pub name: String,
    /// Its relative share of the requests.
    pub share: f64,
    /// The maximum time to the first event of an answer in time, in
    /// milliseconds.
    pub goal_ms: u64,
    /// The maximum pause between two events of an answer in time, in
    /// milliseconds.
    pub gap_goal_ms: u64,
    /// The time limit of a request over all its caller's tries, in
    /// milliseconds.
    pub timeout_ms: u64,
    /// The credit for an answer in time.
    pub worth: f64,
    /// The credit for a late answer.
    pub late_worth: f64,
    /// The mean number of prompt tokens.
    pub prompt_tokens: f64,
    /// The mean number of events per answer.
    pub events: f64,
    /// The standard deviation of both numbers, divided by their mean.
    pub spread: f64,
    /// Its priority, 0 being the highest.
    #[serde(default = "default_priority")]
    pub priority: u8,
}

fn default_priority() -> u8 {
    1
}

/// An arrival rate and the time from which it applies.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateStep {
    /// The time from which it applies, in seconds.
    pub at_s: f64,
    /// The number of requests per second.
    pub per_s: f64,
}

/// Callers that retry immediately and ignore the retry time given to them.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Repeaters {
    /// Their share of the callers.
    pub share: f64,
    /// The number of retries of each.
    pub repeats: u32,
}

/// Targets that stop accepting requests for a while, one after the other.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Absence {
    /// The time at which the first target stops accepting, in seconds.
    pub at_s: f64,
    /// The number of targets.
    pub count: usize,
    /// The data centre of the targets. If `None`, the data centres take turns.
    pub data_centre: Option<usize>,
    /// The time between one target and the next, in milliseconds.
    #[serde(default)]
    pub gap_ms: f64,
    /// The time for which a target reports that it accepts no new requests
    /// before its running ones are cut, in milliseconds; 0 if it stops without
    /// notice.
    #[serde(default)]
    pub drain_ms: f64,
    /// The time from the cut until the target serves again, in milliseconds.
    pub away_ms: f64,
}

/// A restore of the store that loses the entries of all targets.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreRestore {
    /// The time of the restore, in seconds.
    pub at_s: f64,
    /// The time from the restore until the last target has written its entry
    /// again, in milliseconds.
    pub again_most_ms: f64,
}

/// Requests that share a part of their prompts, which crashes each target that
/// begins to answer one. They count in no result.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeadlyPart {
    /// The time of the first one, in seconds.
    pub at_s: f64,
    /// The number of such requests per second.
    pub per_s: f64,
    /// The time until a target that crashed serves again, in milliseconds.
    pub down_ms: f64,
    /// The share of all answers that end with their connections, so that an
    /// entry host asks the target whether they are whole.
    #[serde(default)]
    pub unframed_share: f64,
}

/// Why a load pattern cannot be run.
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
    /// Reads and checks a pattern from a file.
    ///
    /// # Errors
    ///
    /// Returns a [`PatternError`] if the file cannot be read, cannot be parsed
    /// or holds a value out of range.
    pub fn read(path: &Path) -> Result<Pattern, PatternError> {
        let text = std::fs::read_to_string(path);
        text.map_err(PatternError::Unreadable)?.parse()
    }

    /// Returns the number of data centres.
    pub fn data_centre_count(&self) -> usize {
        self.fleet.targets.len()
    }

    /// Returns the arrival rate at `at_s` in requests per second; 0 before the
    /// first [`RateStep`].
    pub fn rate_at(&self, at_s: f64) -> f64 {
        let step = self.rates.iter().rev().find(|step| step.at_s <= at_s);
        step.map_or(0.0, |step| step.per_s)
    }

    fn check(&self) -> Result<(), PatternError> {
        let fleet = &self.fleet;
        let engine = &self.engine;
        let has_hosts = fleet.entry_hosts.iter().sum::<usize>() > 0;
        let has_equal_lengths = fleet.entry_hosts.len() == fleet.targets.len();
        let shares = fleet.caller_shares.len();
        let positive = [
            engine.step_ms,
            engine.prompt_tokens_per_ms,
            engine.chunk_tokens,
            fleet.report_every_ms,
        ];
        let checks = [
            (has_hosts, "entry_hosts must add up to more than 0"),
            (
                has_equal_lengths,
                "entry_hosts and targets must have the same length",
            ),
            (
                shares == 0 || shares == fleet.targets.len(),
                "caller_shares must be empty or have one for each data centre",
            ),
            (!self.routes.is_empty(), "at least one route is required"),
            (!self.rates.is_empty(), "at least one rate is required"),
            (engine.slots > 0, "engine.slots must be over 0"),
            (engine.stride > 0, "engine.stride must be over 0"),
            (fleet.far_report_every > 0, "far_report_every must be over 0"),
            (
                positive.iter().all(|value| *value > 0.0),
                "step_ms, prompt_tokens_per_ms, chunk_tokens and \
                 report_every_ms must be over 0",
            ),
            (
                self.deadly_part.is_none_or(|deadly| deadly.per_s > 0.0),
                "deadly_part.per_s must be over 0",
            ),
            (self.length_s > 0.0, "length_s must be over 0"),
            (self.length_s <= MAX_LENGTH_S, "length_s is over 600"),
        ];
        match checks.iter().find(|(holds, _)| !holds) {
            Some((_, reason)) => Err(PatternError::Invalid(reason)),
            None => Ok(()),
        }
    }
}

/// The maximum length of a pattern, in seconds.
const MAX_LENGTH_S: f64 = 600.0;

impl std::str::FromStr for Pattern {
    type Err = PatternError;

    fn from_str(text: &str) -> Result<Pattern, PatternError> {
        let pattern: Pattern =
            toml::from_str(text).map_err(PatternError::Malformed)?;
        pattern.check()?;
        Ok(pattern)
    }
}
