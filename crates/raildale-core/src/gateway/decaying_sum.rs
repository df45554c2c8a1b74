//! Exponentially decaying sums of recent values.

/// A sum and a count of values that decay with the same half-life.
#[derive(Clone, Copy, Debug)]
pub struct DecayingSum {
    half_life_ms: f64,
    sum: f64,
    count: f64,
    at_ms: u64,
}

impl DecayingSum {
    /// Creates an empty sum; a value's weight halves every `half_life_ms`.
    pub fn new(half_life_ms: f64) -> DecayingSum {
        DecayingSum { half_life_ms, sum: 0.0, count: 0.0, at_ms: 0 }
    }

    /// Adds a value.
    pub fn add(&mut self, now_ms: u64, value: f64) {
        let decay_factor = self.decay_factor(now_ms);
        self.sum = self.sum * decay_factor + value;
        self.count = self.count * decay_factor + 1.0;
        self.at_ms = now_ms;
    }

    /// Returns the weighted mean of the values and `prior`, which has a weight
    /// of `prior_count`.
    pub fn mean(&self, now_ms: u64, prior: f64, prior_count: f64) -> f64 {
        let decay_factor = self.decay_factor(now_ms);
        let sum = self.sum * decay_factor + prior * prior_count;
        sum / (self.count * decay_factor + prior_count)
    }

    /// Returns the recent rate of values per second.
    pub fn rate_per_s(&self, now_ms: u64) -> f64 {
        let seconds = self.half_life_ms / 1e3;
        self.count * self.decay_factor(now_ms) * std::f64::consts::LN_2
            / seconds
    }

    /// Returns the factor by which the sum has decayed since the last value.
    fn decay_factor(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        (-age_ms / self.half_life_ms * std::f64::consts::LN_2).exp()
    }
}
