//! A simulated model engine with a limit on concurrent runs, a prefix cache,
//! streaming and activation orders that may be fenced.

use std::{
    collections::{HashMap, VecDeque},
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Method, Request, Response, StatusCode, body::Frame, body::Incoming,
};
use raildale::target::{ActivateOrder, Generate, ServedModel};
use raildale_core::Digest;
use tokio::{net::TcpListener, sync::mpsc};

use crate::{
    http_server::{self, Body, answer},
    truth::{GroundTruth, lock, request_id, token},
};

/// The configuration of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The name of its host.
    pub host: String,
    /// The batch size. Up to twice as many runs are accepted at the same time.
    pub batch: usize,
    /// The time to read a prompt whose prefix is not cached; a quarter of it
    /// if the prefix is cached.
    pub prefill: Duration,
    /// The time per token of a run alone in the batch.
    pub token: Duration,
    /// The time that each further run adds to each token.
    pub token_per_run: Duration,
    /// The maximum number of prefixes in the cache.
    pub cached_prefixes: usize,
    /// Whether an order with a lower fence than a previous one is refused.
    pub checks_fences: bool,
}

impl EngineConfig {
    /// Returns the configuration of a small engine on `host`.
    pub fn new(host: &str) -> EngineConfig {
        EngineConfig {
            host: host.to_string(),
            batch: 8,
            prefill: Duration::from_millis(20),
            token: Duration::from_millis(5),
            token_per_run: Duration::from_micros(300),
            cached_prefixes: 32,
            checks_fences: true,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    /// The digests of the staged chunks, by manifest.
    slots: HashMap<Digest, Vec<Option<Digest>>>,
    /// The served manifest, by model.
    active: HashMap<String, Digest>,
    /// The highest fence seen, by model: revision and incarnation.
    fences: HashMap<String, (u64, u64)>,
    running: usize,
    prefixes: VecDeque<String>,
    last_run_ended: Option<Instant>,
}

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    config: EngineConfig,
    truth: Arc<GroundTruth>,
    state: Mutex<State>,
}

impl Engine {
    /// Starts an engine that listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if `address` cannot be bound.
    pub async fn start(
        address: SocketAddr,
        config: EngineConfig,
        truth: Arc<GroundTruth>,
    ) -> std::io::Result<Arc<Engine>> {
        let listener = TcpListener::bind(address).await?;
        let state = Mutex::default();
        let engine = Arc::new(Engine { config, truth, state });
        let shared = engine.clone();
        http_server::serve(listener, move |from, request| {
            shared.clone().handle(from, request)
        });
        Ok(engine)
    }

    /// Returns the number of runs in progress.
    pub fn running(&self) -> usize {
        lock(&self.state).running
    }

    /// Returns when a run last ended or was cancelled; `None` if none has.
    pub fn last_run_ended(&self) -> Option<Instant> {
        lock(&self.state).last_run_ended
    }

    /// Returns the manifest that it serves for `model`.
    pub fn active(&self, model: &str) -> Option<Digest> {
        lock(&self.state).active.get(model).copied()
    }

    async fn handle(
        self: Arc<Self>,
        _from: IpAddr,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let path = request.uri().path().to_string();
        let method = request.method().clone();
        let body = http_server::read(request.into_body()).await;
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (method, parts.as_slice()) {
            (Method::PUT, ["slots", manifest, "chunks", index]) => {
                self.stage(manifest, index, &body)
            }
            (Method::POST, ["models", owner, model, "activate"]) => {
                self.activate(&format!("{owner}/{model}"), &body)
            }
            (Method::GET, ["models"]) => self.models(),
            (Method::POST, ["generate"]) => self.generate(&body),
            _ => answer(StatusCode::NOT_FOUND, ""),
        }
    }

    /// Stores the digest of a chunk in the slot of its manifest.
    fn stage(
        &self,
        manifest: &str,
        index: &str,
        body: &[u8],
    ) -> Response<Body> {
        let (Some(manifest), Ok(index)) =
            (Digest::from_hex(manifest), index.parse::<usize>())
        else {
            return answer(StatusCode::BAD_REQUEST, "");
        };
        let mut state = lock(&self.state);
        let slot = state.slots.entry(manifest).or_default();
        if slot.len() <= index {
            slot.resize(index + 1, None);
        }
        slot[index] = Some(Digest::of(body));
        answer(StatusCode::OK, "")
    }

    /// Activates a version. Like a real engine, it does not check whether the
    /// slot is complete. The fence is checked only if the configuration says
    /// so.
    fn activate(&self, model: &str, body: &[u8]) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<ActivateOrder>(body) else {
            return answer(StatusCode::BAD_REQUEST, "");
        };
        let Some(manifest) = Digest::from_hex(&order.manifest) else {
            return answer(StatusCode::BAD_REQUEST, "");
        };
        let fence = (order.revision, order.incarnation);
        let mut state = lock(&self.state);
        let highest = state.fences.get(model).copied().unwrap_or_default();
        if self.config.checks_fences && fence < highest {
            return answer(StatusCode::CONFLICT, "");
        }
        state.fences.insert(model.to_string(), fence.max(highest));
        state.active.insert(model.to_string(), manifest);
        drop(state);
        self.truth.record_activation(&self.config.host, manifest);
        answer(StatusCode::OK, "")
    }

    fn models(&self) -> Response<Body> {
        let state = lock(&self.state);
        let served: Vec<ServedModel> = state
            .active
            .iter()
            .map(|(model, manifest)| ServedModel {
                model: model.clone(),
                manifest: manifest.to_hex(),
            })
            .collect();
        let text = serde_json::to_vec(&served).unwrap_or_default();
        answer(StatusCode::OK, text)
    }

    fn generate(self: Arc<Self>, body: &[u8]) -> Response<Body> {
        let Ok(request) = serde_json::from_slice::<Generate>(body) else {
            return not_started(StatusCode::BAD_REQUEST);
        };
        let prefill = {
            let mut state = lock(&self.state);
            let Some(manifest) = state.active.get(&request.model).copied()
            else {
                return not_started(StatusCode::NOT_FOUND);
            };
            if state.running >= self.config.batch * 2 {
                return not_started(StatusCode::TOO_MANY_REQUESTS);
            }
            let slot = state.slots.get(&manifest).map_or(&[][..], |s| s);
            if !self.truth.is_whole(manifest, slot) {
                self.truth.record_partial_answer();
            }
            state.running += 1;
            self.prefill(&mut state, &request)
        };
        self.truth.record_run(request_id(&request.prompt));
        let (tx, rx) = mpsc::channel(4);
        let run = Run { engine: self.clone() };
        tokio::spawn(run.stream(request, prefill, tx));
        let frames = stream::unfold(rx, |mut rx| async move {
            let token: String = rx.recv().await?;
            Some((Ok(Frame::data(Bytes::from(token))), rx))
        });
        Response::new(StreamBody::new(frames).boxed_unsync())
    }

    /// Returns the time to read the prompt, and adds its prefix to the cache.
    fn prefill(&self, state: &mut State, request: &Generate) -> Duration {
        let start: String = request.prompt.chars().take(64).collect();
        let prefix = format!("{}\0{start}", request.cache_salt);
        if state.prefixes.contains(&prefix) {
            return self.config.prefill / 4;
        }
        state.prefixes.push_back(prefix);
        if state.prefixes.len() > self.config.cached_prefixes {
            state.prefixes.pop_front();
        }
        self.config.prefill
    }

    /// Returns the time per token with the current number of runs.
    fn token_time(&self) -> Duration {
        let others = self.running().saturating_sub(1) as u32;
        self.config.token + self.config.token_per_run * others
    }
}

/// A run in progress. Dropping it counts the run as ended, also if its reader
/// disconnects.
struct Run {
    engine: Arc<Engine>,
}

impl Run {
    async fn stream(
        self,
        request: Generate,
        prefill: Duration,
        tokens: mpsc::Sender<String>,
    ) {
        let mut at = tokio::time::Instant::now() + prefill;
        for index in 0..request.max_tokens {
            at += self.engine.token_time();
            tokio::select! {
                () = tokio::time::sleep_until(at) => {}
                () = tokens.closed() => return,
            }
            let token = token(&request.prompt, index);
            if tokens.send(token).await.is_err() {
                return;
            }
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut state = lock(&self.engine.state);
        state.running -= 1;
        state.last_run_ended = Some(Instant::now());
    }
}

/// Returns a refusal that states that the request was not started.
fn not_started(status: StatusCode) -> Response<Body> {
    let mut response = answer(status, "");
    let value = "1".parse().expect("a valid header value");
    response.headers_mut().insert("x-not-started", value);
    response
}
