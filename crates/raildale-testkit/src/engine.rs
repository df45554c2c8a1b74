//! A model engine: batching, prefix cache, priorities, streaming, fenced
//! orders, and a kind that checks no fence.

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

/// How an engine works.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The host's name.
    pub host: String,
    /// Runs at once; more wait, urgent ones first.
    pub batch: usize,
    /// Time to take in a prompt whose prefix is not cached.
    pub prefill: Duration,
    /// Time for each token when alone.
    pub token: Duration,
    /// Time that each further run in the batch adds to a token.
    pub token_per_run: Duration,
    /// Prefixes that the cache holds.
    pub cached_prefixes: usize,
    /// Whether an order with a lower fence is refused.
    pub checks_fences: bool,
}

impl EngineConfig {
    /// A small engine.
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
    slots: HashMap<Digest, Vec<Option<Digest>>>,
    active: HashMap<String, Digest>,
    fences: HashMap<String, (u64, u64)>,
    running: usize,
    prefixes: VecDeque<String>,
    last_run_ended: Option<Instant>,
}

/// The stand-in.
#[derive(Debug)]
pub struct Engine {
    config: EngineConfig,
    truth: Arc<GroundTruth>,
    state: Mutex<State>,
}

impl Engine {
    /// Starts it at `address`.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
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

    /// Runs in progress.
    pub fn running(&self) -> usize {
        lock(&self.state).running
    }

    /// When a run last ended or was cancelled.
    pub fn last_run_ended(&self) -> Option<Instant> {
        lock(&self.state).last_run_ended
    }

    /// What it serves for `model`.
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

    /// Obeys whatever it is told, as engines do: it does not look whether
    /// the slot is whole. Only the fence is checked, and only by one kind.
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

    fn token_time(&self) -> Duration {
        let others = self.running().saturating_sub(1) as u32;
        self.config.token + self.config.token_per_run * others
    }
}

/// A run; dropped at its end, also when its reader goes away.
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

fn not_started(status: StatusCode) -> Response<Body> {
    let mut response = answer(status, "");
    let yes = "1".parse().expect("it is a header's value");
    response.headers_mut().insert("x-not-started", yes);
    response
}
