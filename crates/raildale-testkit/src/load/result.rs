//! The results of a load run and their tables.

use std::fmt::{self, Write};

use serde::{Deserialize, Serialize};

use super::{pattern::Pattern, sample::CallerRequest};

/// The end of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer arrived.
    Whole,
    /// It was refused at its caller's last try.
    Refused {
        /// The number of the caller's tries.
        tries: u32,
    },
    /// The answer broke off and could not be resumed.
    Cut,
    /// The caller left without the whole answer.
    CallerLeft,
}

/// The result of one request, over all tries of its caller.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// The request.
    pub request: CallerRequest,
    /// The time from the caller's first try to the first event, in
    /// milliseconds; `None` if there was no event.
    pub first_event_ms: Option<f64>,
    /// The longest pause between two events, in milliseconds.
    pub longest_pause_ms: f64,
    /// The end of the request.
    pub ending: Ending,
}

/// The column of the tables in which a request counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Column {
    InTime,
    Late,
    Refused,
    Lost,
}

/// The results of a group of requests.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct GroupStats {
    /// The name of the group.
    pub name: String,
    /// The number of requests.
    pub asked: u32,
    /// The number of whole answers in time.
    pub in_time: u32,
    /// The number of whole answers that were late.
    pub late: u32,
    /// The number of requests refused at their last try.
    pub refused: u32,
    /// The number of answers that broke off, and of requests whose callers
    /// left.
    pub lost: u32,
    /// The earned part of the credit for answering every request in time; 1 if
    /// there are no requests.
    pub credit: f64,
}

/// The results of one run of a load pattern.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadResult {
    /// The name of the pattern.
    pub pattern: String,
    /// The seed of the run.
    pub seed: u64,
    /// The maximum of `all.credit` that any policy can reach.
    pub bound: f64,
    /// All requests.
    pub all: GroupStats,
    /// Results by route.
    pub routes: Vec<GroupStats>,
    /// Results by organisation.
    pub organisations: Vec<GroupStats>,
    /// Results by data centre of the caller.
    pub data_centres: Vec<GroupStats>,
    /// Results by the second of the first try.
    pub seconds: Vec<GroupStats>,
}

impl LoadResult {
    /// Aggregates the results of requests. Those that arrived during the
    /// warm-up are left out.
    pub fn new(
        pattern: &Pattern,
        seed: u64,
        results: Vec<RequestResult>,
        bound: f64,
    ) -> LoadResult {
        let from_ms = pattern.warm_up_s * 1e3;
        let counted: Vec<&RequestResult> = results
            .iter()
            .filter(|one| one.request.at_ms >= from_ms)
            .collect();
        let grouped =
            |count: usize,
             name: &dyn Fn(usize) -> String,
             key: &dyn Fn(&CallerRequest) -> usize| {
                let group = |index: usize| {
                    let members = counted
                        .iter()
                        .filter(|one| key(&one.request) == index)
                        .copied();
                    stats(pattern, name(index), members)
                };
                (0..count).map(group).collect::<Vec<GroupStats>>()
            };
        let organisations = pattern.organisation_shares.len().max(1);
        LoadResult {
            pattern: pattern.name.clone(),
            seed,
            bound,
            all: stats(pattern, "all".into(), counted.iter().copied()),
            routes: grouped(
                pattern.routes.len(),
                &|index| pattern.routes[index].name.clone(),
                &|request| request.route,
            ),
            organisations: grouped(
                organisations,
                &|index| format!("organisation {index}"),
                &|request| request.organisation,
            ),
            data_centres: grouped(
                pattern.data_centre_count(),
                &|index| format!("data centre {index}"),
                &|request| request.data_centre,
            ),
            seconds: grouped(
                pattern.length_s.ceil() as usize,
                &|index| format!("second {index}"),
                &|request| (request.at_ms / 1e3) as usize,
            ),
        }
    }

    /// Returns every group except those by second, `all` first.
    pub fn groups(&self) -> impl Iterator<Item = &GroupStats> {
        std::iter::once(&self.all)
            .chain(&self.routes)
            .chain(&self.organisations)
            .chain(&self.data_centres)
    }

    /// Returns every group, those by second last.
    pub fn all_groups(&self) -> impl Iterator<Item = &GroupStats> {
        self.groups().chain(&self.seconds)
    }

    /// Returns the lowest credit of a route.
    pub fn worst_route(&self) -> f64 {
        self.routes.iter().map(|share| share.credit).fold(1.0, f64::min)
    }

    /// Returns all groups as comma-separated values with a header line.
    pub fn csv(&self) -> String {
        let mut text = String::from(
            "group,asked,in_time,late,refused,lost,credit,bound\n",
        );
        for share in self.all_groups() {
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
            // Writing to a string cannot fail.
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

fn stats<'a>(
    pattern: &Pattern,
    name: String,
    results: impl Iterator<Item = &'a RequestResult>,
) -> GroupStats {
    let mut group = GroupStats { name, ..GroupStats::default() };
    let mut total_credit = 0.0;
    let mut earned = 0.0;
    for one in results {
        let route = &pattern.routes[one.request.route];
        group.asked += 1;
        total_credit += route.worth;
        match column(pattern, one) {
            Column::InTime => {
                group.in_time += 1;
                earned += route.worth;
            }
            Column::Late => {
                group.late += 1;
                earned += route.late_worth;
            }
            Column::Refused => group.refused += 1,
            Column::Lost => group.lost += 1,
        }
    }
    group.credit =
        if total_credit > 0.0 { earned / total_credit } else { 1.0 };
    group
}

fn column(pattern: &Pattern, one: &RequestResult) -> Column {
    let route = &pattern.routes[one.request.route];
    let is_first_in_time =
        one.first_event_ms.is_some_and(|ms| ms <= route.goal_ms as f64);
    let is_steady = one.longest_pause_ms <= route.gap_goal_ms as f64;
    match one.ending {
        Ending::Whole if is_first_in_time && is_steady => Column::InTime,
        Ending::Whole => Column::Late,
        Ending::Refused { .. } => Column::Refused,
        Ending::Cut | Ending::CallerLeft => Column::Lost,
    }
}
