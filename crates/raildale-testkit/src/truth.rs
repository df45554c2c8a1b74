//! The ground truth that the simulated systems record.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use raildale_core::{Digest, Manifest};

/// A shared record of published versions, activations and runs.
#[derive(Debug, Default)]
pub struct GroundTruth {
    manifests: Mutex<HashMap<Digest, Manifest>>,
    runs: Mutex<HashMap<String, u64>>,
    active: Mutex<BTreeMap<Activation, Instant>>,
    partial_served: AtomicU64,
}

/// The activation of a version by an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Activation {
    /// The name of the engine's host.
    pub host: String,
    /// The digest of the version's manifest.
    pub manifest: Digest,
}

impl GroundTruth {
    /// Returns an empty record.
    pub fn new() -> Arc<GroundTruth> {
        Arc::default()
    }

    /// Records a published version.
    pub fn publish(&self, manifest: Manifest) {
        lock(&self.manifests).insert(manifest.digest(), manifest);
    }

    /// Returns whether `chunks` are exactly those of the published version
    /// `digest`.
    pub fn is_whole(&self, digest: Digest, chunks: &[Option<Digest>]) -> bool {
        lock(&self.manifests).get(&digest).is_some_and(|manifest| {
            manifest.chunks.len() == chunks.len()
                && manifest
                    .chunks
                    .iter()
                    .zip(chunks)
                    .all(|(expected, held)| Some(*expected) == *held)
        })
    }

    /// Records an answer generated from incomplete weights.
    pub fn record_partial_answer(&self) {
        self.partial_served.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of answers generated from incomplete weights.
    pub fn partial_answers(&self) -> u64 {
        self.partial_served.load(Ordering::Relaxed)
    }

    /// Records that a target started to run a request.
    pub fn record_run(&self, request_id: &str) {
        *lock(&self.runs).entry(request_id.to_string()).or_default() += 1;
    }

    /// Returns how often a request was run.
    pub fn run_count(&self, request_id: &str) -> u64 {
        lock(&self.runs).get(request_id).copied().unwrap_or(0)
    }

    /// Records that an engine began to serve a version.
    pub fn record_activation(&self, host: &str, manifest: Digest) {
        let activation = Activation { host: host.to_string(), manifest };
        lock(&self.active).entry(activation).or_insert_with(Instant::now);
    }

    /// Returns when each host first served `manifest`, by name; hosts that
    /// never did are left out.
    pub fn activation_times(
        &self,
        manifest: Digest,
    ) -> Vec<(String, Instant)> {
        lock(&self.active)
            .iter()
            .filter(|(activation, _)| activation.manifest == manifest)
            .map(|(activation, at)| (activation.host.clone(), *at))
            .collect()
    }
}

/// Locks a mutex even if it is poisoned, so that results can be reported after
/// a panic.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Returns the answer of a target to a prompt. It is a function of the prompt,
/// so that a caller can distinguish its own whole answer from a truncated one
/// or another request's.
pub fn expected_answer(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

/// Returns one token of the answer to a prompt.
pub fn token(prompt: &str, index: u32) -> String {
    let digest = Digest::of(prompt.as_bytes()).to_hex();
    format!("{}.{index} ", &digest[..8])
}

/// Returns the id of the request in a prompt: its first word.
pub fn request_id(prompt: &str) -> &str {
    prompt.split(' ').next().unwrap_or("")
}
