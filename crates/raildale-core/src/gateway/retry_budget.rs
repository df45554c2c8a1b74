//! Bounds the repeats that one process may send to a service.

/// The bound on repeats that all entry hosts keep together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed in addition to these in any window, for all entry hosts
    /// together.
    pub extra: f64,
}

/// The part of `extra` that the buckets may hold. The rest covers requests and
/// repeats that are in flight when a window begins or ends.
const BUCKET_SHARE: f64 = 0.9;

/// A token bucket of repeats to one service, filled by its requests.
///
/// Each request adds `ratio` tokens, and the buckets of all entry hosts hold
/// `extra` together. In any time span, an entry host therefore sends no more
/// repeats than its requests in that span add and its bucket held before, and
/// the sum over all entry hosts stays within the bound. No state has to
/// survive a restart: a new process begins with an empty bucket, so that
/// killing nine processes in ten adds nothing. Counting repeats per window in
/// each process instead let 599 repeats through where 569 were allowed.
#[derive(Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    tokens: f64,
}

impl RetryBudget {
    /// Creates an empty bucket.
    pub fn new(bound: RetryBound) -> RetryBudget {
        RetryBudget { bound, tokens: 0.0 }
    }

    /// Counts a request on one of `entry_hosts` that share the bound.
    pub fn record_request(&mut self, entry_hosts: usize) {
        self.tokens += self.bound.ratio;
        self.cap(entry_hosts);
    }

    /// Takes a token and returns true if the bucket holds one.
    pub fn try_repeat(&mut self, entry_hosts: usize) -> bool {
        self.cap(entry_hosts);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Limits the bucket to the part of one of `entry_hosts`. The minimum is
    /// one token, since a smaller part could never be used.
    fn cap(&mut self, entry_hosts: usize) {
        let part = self.bound.extra * BUCKET_SHARE / entry_hosts.max(1) as f64;
        self.tokens = self.tokens.min(part.max(1.0));
    }
}
