//! What the stand-ins know to be true, and count.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use raildale_core::{Digest, Manifest};

/// A shared record of what really happened.
#[derive(Debug, Default)]
pub struct GroundTruth {
    manifests: Mutex<HashMap<Digest, Manifest>>,
    runs: Mutex<HashMap<String, u64>>,
    active: Mutex<BTreeMap<Activation, Instant>>,
    partial_served: AtomicU64,
}

/// A version that an engine began to serve.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Activation {
    /// The host's name.
    pub host: String,
    /// The manifest's digest.
    pub manifest: Digest,
}

impl GroundTruth {
    /// A record of nothing.
    pub fn new() -> Arc<GroundTruth> {
        Arc::default()
    }

    /// A version that was really published.
    pub fn publish(&self, manifest: Manifest) {
        lock(&self.manifests).insert(manifest.digest(), manifest);
    }

    /// Whether `chunks` are those of the published version `digest`.
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

    /// An engine answered from weights that were not whole.
    pub fn record_partial_answer(&self) {
        self.partial_served.fetch_add(1, Ordering::Relaxed);
    }

    /// Answers from weights that were not whole.
    pub fn partial_answers(&self) -> u64 {
        self.partial_served.load(Ordering::Relaxed)
    }

    /// A target started to run the request with this mark.
    pub fn record_run(&self, request_id: &str) {
        *lock(&self.runs).entry(request_id.to_string()).or_default() += 1;
    }

    /// How often the request with this mark ran.
    pub fn run_count(&self, request_id: &str) -> u64 {
        lock(&self.runs).get(request_id).copied().unwrap_or(0)
    }

    /// An engine began to serve a version.
    pub fn record_activation(&self, host: &str, manifest: Digest) {
        let activation = Activation { host: host.to_string(), manifest };
        lock(&self.active).entry(activation).or_insert_with(Instant::now);
    }

    /// When each host first served `manifest`.
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

/// Locks although another thread panicked; the bench reports what it can.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// The answer that a target gives to a prompt: a function of it, so that a
/// caller can tell its own whole answer from a cut or another's.
pub fn expected_answer(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

/// One token of the answer.
pub fn token(prompt: &str, index: u32) -> String {
    let digest = Digest::of(prompt.as_bytes()).to_hex();
    format!("{}.{index} ", &digest[..8])
}

/// The mark in a prompt that tells requests apart: its first word.
pub fn request_id(prompt: &str) -> &str {
    prompt.split(' ').next().unwrap_or("")
}
