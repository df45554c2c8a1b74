//! What callers got, with its tables.

use std::fmt::{self, Write};

use serde::{Deserialize, Serialize};

use super::{pattern::Pattern, sample::CallerRequest};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Its answer is whole.
    Whole,
    /// It was refused, after so many tries.
    Refused {
        /// Its caller's tries.
        tries: u32,
    },
    /// Its answer broke off.
    Cut,
    /// Its caller left.
    CallerLeft,
}

/// One request that was played.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// What was asked for.
    pub asked: CallerRequest,
    /// From its caller's first try to the first event, in milliseconds.
    pub first_event_ms: Option<f64>,
    /// The longest pause between two events, in milliseconds.
    pub longest_pause_ms: f64,
    /// How it ended.
    pub ending: Ending,
}

/// How a request counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mark {
    InTime,
    Late,
    Refused,
    Lost,
}

/// What a group of requests got.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct GroupStats {
    /// What the group is called.
    pub name: String,
    /// Requests.
    pub asked: u32,
    /// Answered whole and in time.
    pub in_time: u32,
    /// Answered whole and late.
    pub late: u32,
    /// Refused to the end.
    pub refused: u32,
    /// Cut, or left by their callers.
    pub lost: u32,
    /// The part of the credit owed that was earned.
    pub credit: f64,
}

/// What a load pattern came to.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadResult {
    /// The pattern.
    pub pattern: String,
    /// The seed of callers and draws.
    pub seed: u64,
    /// The share of the credit owed that no policy exceeds.
    pub bound: f64,
    /// Everything.
    pub all: GroupStats,
    /// By route.
    pub routes: Vec<GroupStats>,
    /// By organisation.
    pub organisations: Vec<GroupStats>,
    /// By data centre.
    pub data_centres: Vec<GroupStats>,
    /// By second of the first try.
    pub seconds: Vec<GroupStats>,
}

impl LoadResult {
    /// Adds up what was played.
    pub fn new(
        pattern: &Pattern,
        seed: u64,
        played: Vec<RequestResult>,
        bound: f64,
    ) -> LoadResult {
        let from_ms = pattern.warm_up_s * 1e3;
        let counted: Vec<&RequestResult> =
            played.iter().filter(|one| one.asked.at_ms >= from_ms).collect();
        let grouped =
            |count: usize,
             name: &dyn Fn(usize) -> String,
             key: &dyn Fn(&CallerRequest) -> usize| {
                let group = |place: usize| {
                    let of = counted
                        .iter()
                        .filter(|one| key(&one.asked) == place)
                        .copied();
                    share(pattern, name(place), of)
                };
                (0..count).map(group).collect::<Vec<GroupStats>>()
            };
        let organisations = pattern.organisation_shares.len().max(1);
        LoadResult {
            pattern: pattern.name.clone(),
            seed,
            bound,
            all: share(pattern, "all".into(), counted.iter().copied()),
            routes: grouped(
                pattern.routes.len(),
                &|place| pattern.routes[place].name.clone(),
                &|asked| asked.route,
            ),
            organisations: grouped(
                organisations,
                &|place| format!("organisation {place}"),
                &|asked| asked.organisation,
            ),
            data_centres: grouped(
                pattern.data_centre_count(),
                &|place| format!("data centre {place}"),
                &|asked| asked.data_centre,
            ),
            seconds: grouped(
                pattern.length_s.ceil() as usize,
                &|place| format!("second {place}"),
                &|asked| (asked.at_ms / 1e3) as usize,
            ),
        }
    }

    /// Every group but the seconds, the whole first.
    pub fn groups(&self) -> impl Iterator<Item = &GroupStats> {
        std::iter::once(&self.all)
            .chain(&self.routes)
            .chain(&self.organisations)
            .chain(&self.data_centres)
    }

    /// Every group, the seconds last.
    pub fn shares(&self) -> impl Iterator<Item = &GroupStats> {
        self.groups().chain(&self.seconds)
    }

    /// The lowest credit of a route.
    pub fn worst_route(&self) -> f64 {
        self.routes.iter().map(|share| share.credit).fold(1.0, f64::min)
    }

    /// All groups as comma-separated values.
    pub fn csv(&self) -> String {
        let mut text = String::from(
            "group,asked,in_time,late,refused,lost,credit,bound\n",
        );
        for share in self.shares() {
            let GroupStats {
                name,
                asked,
                in_time,
                late,
                refused,
                lost,
                credit,
            } = share;
            let bound = self.bound;
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "{name},{asked},{in_time},{late},{refused},{lost},\
                 {credit:.4},{bound:.4}",
            );
        }
        text
    }
}

impl fmt::Display for LoadResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}, seed {}: credit {:.3} of a bound of {:.3}, worst route {:.3}",
            self.pattern,
            self.seed,
            self.all.credit,
            self.bound,
            self.worst_route(),
        )?;
        writeln!(
            f,
            "{:<20} {:>7} {:>7} {:>6} {:>7} {:>5} {:>7}",
            "", "asked", "in time", "late", "refused", "lost", "credit"
        )?;
        for share in self.groups() {
            writeln!(
                f,
                "{:<20} {:>7} {:>7} {:>6} {:>7} {:>5} {:>7.3}",
                share.name,
                share.asked,
                share.in_time,
                share.late,
                share.refused,
                share.lost,
                share.credit,
            )?;
        }
        Ok(())
    }
}

fn share<'a>(
    pattern: &Pattern,
    name: String,
    played: impl Iterator<Item = &'a RequestResult>,
) -> GroupStats {
    let mut share = GroupStats { name, ..GroupStats::default() };
    let mut owed = 0.0;
    let mut earned = 0.0;
    for one in played {
        let route = &pattern.routes[one.asked.route];
        share.asked += 1;
        owed += route.worth;
        match mark(pattern, one) {
            Mark::InTime => {
                share.in_time += 1;
                earned += route.worth;
            }
            Mark::Late => {
                share.late += 1;
                earned += route.late_worth;
            }
            Mark::Refused => share.refused += 1,
            Mark::Lost => share.lost += 1,
        }
    }
    share.credit = if owed > 0.0 { earned / owed } else { 1.0 };
    share
}

fn mark(pattern: &Pattern, one: &RequestResult) -> Mark {
    let route = &pattern.routes[one.asked.route];
    let is_first_in_time =
        one.first_event_ms.is_some_and(|ms| ms <= route.goal_ms as f64);
    let is_steady = one.longest_pause_ms <= route.gap_goal_ms as f64;
    match one.ending {
        Ending::Whole if is_first_in_time && is_steady => Mark::InTime,
        Ending::Whole => Mark::Late,
        Ending::Refused { .. } => Mark::Refused,
        Ending::Cut | Ending::CallerLeft => Mark::Lost,
    }
}
