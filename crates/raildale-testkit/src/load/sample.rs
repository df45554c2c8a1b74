//! What callers ask for, drawn from a seed.

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::pattern::{Pattern, RoutePattern};

/// One request, over all tries of its caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// When it first arrives, in milliseconds.
    pub at_ms: f64,
    /// The place of its route among the pattern's.
    pub route: usize,
    /// The organisation that asks.
    pub organisation: usize,
    /// The data centre next to the caller.
    pub data_centre: usize,
    /// Tokens of its prompt.
    pub prompt_tokens: f64,
    /// Events of its answer.
    pub events: u32,
    /// Tries after the first.
    pub retries: u32,
    /// Whether its caller comes back at once, whatever it is told.
    pub is_repeater: bool,
}

/// Everything that is asked for in a pattern, by time.
pub fn requests(pattern: &Pattern, seed: u64) -> Vec<CallerRequest> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at_ms = 0.0;
    let mut asked = Vec::new();
    loop {
        let per_s = pattern.rate_at(at_ms / 1e3).max(1e-3);
        at_ms += -rng.random::<f64>().max(1e-12).ln() * 1e3 / per_s;
        if at_ms >= pattern.length_s * 1e3 {
            return asked;
        }
        asked.push(request(pattern, &mut rng, at_ms));
    }
}

fn request(
    pattern: &Pattern,
    rng: &mut SmallRng,
    at_ms: f64,
) -> CallerRequest {
    let shares: Vec<f64> = pattern.routes.iter().map(|r| r.share).collect();
    let route = drawn_place(rng, &shares);
    let spec: &RoutePattern = &pattern.routes[route];
    let repeaters = pattern.repeaters;
    let is_repeater = rng.random::<f64>() < repeaters.share;
    let centres = equal_if_empty(
        &pattern.fleet.caller_shares,
        pattern.data_centre_count(),
    );
    CallerRequest {
        at_ms,
        route,
        organisation: drawn_place(
            rng,
            &equal_if_empty(&pattern.organisation_shares, 1),
        ),
        data_centre: drawn_place(rng, &centres),
        prompt_tokens: size(rng, spec.prompt_tokens, spec.spread),
        events: size(rng, spec.events, spec.spread).round().max(1.0) as u32,
        retries: if is_repeater { repeaters.repeats } else { 1 },
        is_repeater,
    }
}

fn equal_if_empty(shares: &[f64], count: usize) -> Vec<f64> {
    match shares.is_empty() {
        true => vec![1.0; count],
        false => shares.to_vec(),
    }
}

/// A place among `shares`, each as likely as its share.
fn drawn_place(rng: &mut SmallRng, shares: &[f64]) -> usize {
    let mut left = rng.random::<f64>() * shares.iter().sum::<f64>();
    for (place, share) in shares.iter().enumerate() {
        left -= share;
        if left < 0.0 {
            return place;
        }
    }
    shares.len() - 1
}

/// A size of log-normal spread around its mean, three times that at most.
fn size(rng: &mut SmallRng, mean: f64, spread: f64) -> f64 {
    /// The largest size over the mean.
    const MOST: f64 = 3.0;
    let variance = (1.0 + spread * spread).ln();
    let turn = std::f64::consts::TAU * rng.random::<f64>();
    let radius = (-2.0 * rng.random::<f64>().max(1e-12).ln()).sqrt();
    let normal = radius * turn.cos();
    let drawn = mean * (normal * variance.sqrt() - variance / 2.0).exp();
    drawn.clamp(1.0, mean * MOST)
}
