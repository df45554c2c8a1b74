//! The callers' requests, drawn from a seed.

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::pattern::{Pattern, RoutePattern};

/// A request, over all tries of its caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The time of its first arrival at an entry host, in milliseconds.
    pub at_ms: f64,
    /// The index of its route in the pattern.
    pub route: usize,
    /// The index of its organisation.
    pub organisation: usize,
    /// The index of the data centre closest to the caller.
    pub data_centre: usize,
    /// The number of prompt tokens.
    pub prompt_tokens: f64,
    /// The number of events of its answer.
    pub events: u32,
    /// The maximum number of tries after the first.
    pub retries: u32,
    /// Whether its caller retries immediately, regardless of the retry time
    /// given to it.
    pub is_repeater: bool,
    /// Whether its prompt has the part that crashes targets.
    pub is_deadly: bool,
}

/// Draws all requests of a pattern, ordered by arrival time. Arrivals form a
/// Poisson process with the rate of the pattern.
pub fn requests(pattern: &Pattern, seed: u64) -> Vec<CallerRequest> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at_ms = 0.0;
    let mut drawn = Vec::new();
    loop {
        let per_s = pattern.rate_at(at_ms / 1e3).max(1e-3);
        at_ms += -rng.random::<f64>().max(1e-12).ln() * 1e3 / per_s;
        if at_ms >= pattern.length_s * 1e3 {
            return drawn;
        }
        drawn.push(draw_request(pattern, &mut rng, at_ms));
    }
}

fn draw_request(
    pattern: &Pattern,
    rng: &mut SmallRng,
    at_ms: f64,
) -> CallerRequest {
    let shares: Vec<f64> = pattern.routes.iter().map(|r| r.share).collect();
    let route = draw_index(rng, &shares);
    let spec: &RoutePattern = &pattern.routes[route];
    let repeaters = pattern.repeaters;
    let is_repeater = rng.random::<f64>() < repeaters.share;
    let centres = shares_or_equal(
        &pattern.fleet.caller_shares,
        pattern.data_centre_count(),
    );
    CallerRequest {
        at_ms,
        route,
        organisation: draw_index(
            rng,
            &shares_or_equal(&pattern.organisation_shares, 1),
        ),
        data_centre: draw_index(rng, &centres),
        prompt_tokens: draw_size(rng, spec.prompt_tokens, spec.spread),
        events: draw_size(rng, spec.events, spec.spread).round().max(1.0)
            as u32,
        retries: if is_repeater { repeaters.repeats } else { 1 },
        is_repeater,
        is_deadly: false,
    }
}

/// Draws the requests with the part that crashes targets, at even intervals.
pub fn deadly_requests(pattern: &Pattern, seed: u64) -> Vec<CallerRequest> {
    let Some(deadly) = pattern.deadly_part else { return Vec::new() };
    let mut rng = SmallRng::seed_from_u64(!seed);
    let span_s = (pattern.length_s - deadly.at_s).max(0.0);
    let count = (span_s * deadly.per_s) as u32;
    let at_ms =
        |number: u32| (deadly.at_s + f64::from(number) / deadly.per_s) * 1e3;
    let drawn = (0..count).map(|number| {
        let request = draw_request(pattern, &mut rng, at_ms(number));
        CallerRequest { is_deadly: true, ..request }
    });
    drawn.collect()
}

fn shares_or_equal(shares: &[f64], count: usize) -> Vec<f64> {
    match shares.is_empty() {
        true => vec![1.0; count],
        false => shares.to_vec(),
    }
}

/// Draws an index of `shares` with a probability proportional to its share.
fn draw_index(rng: &mut SmallRng, shares: &[f64]) -> usize {
    let mut left = rng.random::<f64>() * shares.iter().sum::<f64>();
    for (index, share) in shares.iter().enumerate() {
        left -= share;
        if left < 0.0 {
            return index;
        }
    }
    shares.len() - 1
}

/// Draws a size from a log-normal distribution with the given mean and
/// relative standard deviation, clamped to between 1 and three times the mean.
fn draw_size(rng: &mut SmallRng, mean: f64, spread: f64) -> f64 {
    /// The maximum size, as a multiple of the mean.
    const MAX_OVER_MEAN: f64 = 3.0;
    let variance = (1.0 + spread * spread).ln();
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    let radius = (-2.0 * rng.random::<f64>().max(1e-12).ln()).sqrt();
    let normal = radius * angle.cos();
    let drawn = mean * (normal * variance.sqrt() - variance / 2.0).exp();
    drawn.clamp(1.0, mean * MAX_OVER_MEAN)
}
