//! Simulated callers, which discover the entry hosts, send requests and check
//! the answers.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use raildale::{http_client::HttpClient, request_path::RequestPath};
use serde_json::{Value, json};

use crate::truth::{GroundTruth, expected_answer, lock};

/// The time that a caller waits for an answer after its deadline.
const ANSWER_GRACE: Duration = Duration::from_secs(3);

/// A request to send.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The organisation's API key.
    pub key: String,
    /// The name of the model.
    pub model: String,
    /// The priority class.
    pub priority: &'static str,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the caller fetches a run key first, and sends the request again
    /// under it if the outcome is unknown.
    pub has_run_key: bool,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The number of tokens to generate.
    pub max_tokens: u32,
    /// The deadline of the request, in milliseconds from its start.
    pub deadline_ms: u64,
    /// The text of the prompt after the request id.
    pub text: String,
}

/// The outcome of a request, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole and correct answer.
    Whole,
    /// Not sent, or refused as not run.
    NotRun,
    /// Unknown: the answer was lost, or does not state whether the request
    /// ran.
    Unknown,
    /// A truncated answer that was reported as whole.
    UnreportedCut,
    /// A wrong answer, such as another request's.
    Crossed,
    /// A truncated answer that was reported as such.
    ReportedCut,
}

/// A request that has ended.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The request id in its prompt.
    pub request_id: String,
    /// The organisation's API key.
    pub key: String,
    /// The priority class.
    pub priority: &'static str,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When the caller began to send it.
    pub sent_at: Instant,
    /// The time until it ended.
    pub latency: Duration,
    /// The outcome.
    pub ending: Ending,
    /// The code at the end of the answer; 0 if there was none.
    pub code: u64,
}

/// A group of callers that share the list of entry hosts.
#[derive(Debug)]
pub struct Callers {
    http: HttpClient,
    seeds: Vec<SocketAddr>,
    entry_hosts: Mutex<EntryHosts>,
    finished: Mutex<Vec<SentRequest>>,
    next_id: AtomicU64,
    in_flight: AtomicU64,
    is_stopped: AtomicBool,
}

/// The entry hosts that discovery returned.
#[derive(Debug)]
struct EntryHosts {
    addresses: Vec<SocketAddr>,
    expires_at: Instant,
}

impl Callers {
    /// Returns callers that send from `ip` and discover entry hosts through
    /// `seeds`.
    pub fn new(ip: IpAddr, seeds: Vec<SocketAddr>) -> Arc<Callers> {
        Arc::new(Callers {
            http: HttpClient::new(Some(ip)),
            entry_hosts: Mutex::new(EntryHosts {
                addresses: seeds.clone(),
                expires_at: Instant::now(),
            }),
            seeds,
            finished: Mutex::default(),
            next_id: AtomicU64::new(1),
            in_flight: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
        })
    }

    /// Sends `per_s` requests per second in the background until
    /// [`Callers::stop`]. `spec` returns the request with a given number,
    /// counted from 0.
    pub fn run(
        self: &Arc<Self>,
        per_s: f64,
        spec: impl Fn(u64) -> RequestSpec + Send + 'static,
    ) {
        let callers = self.clone();
        tokio::spawn(async move {
            let interval = Duration::from_secs_f64(1.0 / per_s);
            let mut tick = tokio::time::interval(interval);
            let mut number = 0;
            while !callers.is_stopped.load(Ordering::Relaxed) {
                tick.tick().await;
                let spec = spec(number);
                number += 1;
                let callers = callers.clone();
                tokio::spawn(async move { callers.send(spec).await });
            }
        });
    }

    /// Stops [`Callers::run`] and waits until all requests in flight have
    /// ended.
    pub async fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        while self.in_flight.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the requests that have ended, in the order of their ends.
    pub fn finished(&self) -> Vec<SentRequest> {
        lock(&self.finished).clone()
    }

    /// Sends a request and checks its answer.
    pub async fn send(&self, spec: RequestSpec) -> SentRequest {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let request_id = format!("m{number}");
        let prompt = format!("{request_id} {}", spec.text);
        let sent_at = Instant::now();
        let (ending, code) = self.exchange(&spec, &prompt).await;
        let request = SentRequest {
            request_id,
            key: spec.key,
            priority: spec.priority,
            repeatable: spec.repeatable,
            sent_at,
            latency: sent_at.elapsed(),
            ending,
            code,
        };
        lock(&self.finished).push(request.clone());
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        request
    }

    /// Sends a request, and again if its outcome is unknown and the caller has
    /// a run key. Returns its outcome and code.
    async fn exchange(
        &self,
        spec: &RequestSpec,
        prompt: &str,
    ) -> (Ending, u64) {
        let run_key = match spec.has_run_key {
            true => match self.fetch_key(spec).await {
                Some(key) => Some(key),
                None => return (Ending::NotRun, 0),
            },
            false => None,
        };
        let mut body = json!({
            "model": spec.model,
            "prompt": prompt,
            "max_tokens": spec.max_tokens,
            "priority": spec.priority,
            "deadline_ms": spec.deadline_ms,
            "repeatable": spec.repeatable,
            "stream": spec.stream,
        });
        if let Some(key) = &run_key {
            body["run_key"] = json!(key);
        }
        let first = self.submit(spec, &body, prompt).await;
        if run_key.is_none() || first.0 != Ending::Unknown {
            return first;
        }
        // A run key permits to send the request again, to any entry host.
        self.submit(spec, &body, prompt).await
    }

    async fn fetch_key(&self, spec: &RequestSpec) -> Option<String> {
        let body = json!({ "model": spec.model });
        let (_, value) = self.post("/v1/run-keys", spec, &body).await.ok()?;
        value.last()?["run_key"].as_str().map(str::to_string)
    }

    /// Sends a request once. Returns its outcome and code.
    async fn submit(
        &self,
        spec: &RequestSpec,
        body: &Value,
        prompt: &str,
    ) -> (Ending, u64) {
        let answered = self.post("/v1/requests", spec, body).await;
        let (is_whole_body, lines) = match answered {
            Ok(answered) => answered,
            Err(PostError::NotSent) => return (Ending::NotRun, 0),
            Err(PostError::Lost) => return (Ending::Unknown, 0),
        };
        let expected = expected_answer(prompt, spec.max_tokens);
        classify_answer(is_whole_body, &lines, &expected)
    }

    /// Posts to an entry host and follows redirects to others. Returns whether
    /// the body was received whole, and its JSON lines.
    async fn post(
        &self,
        path: &str,
        spec: &RequestSpec,
        body: &Value,
    ) -> Result<(bool, Vec<Value>), PostError> {
        let mut not_sent = 0;
        let mut address = self.address().await;
        loop {
            let limit = Duration::from_millis(spec.deadline_ms) + ANSWER_GRACE;
            let call = self.post_to(address, path, spec, body);
            let answered = tokio::time::timeout(limit, call)
                .await
                .unwrap_or(Err(PostError::Lost));
            match answered {
                Ok(PostResponse::Redirected(next)) => {
                    self.expire_entry_hosts();
                    address = next;
                }
                Ok(PostResponse::Answered(is_whole, lines)) => {
                    return Ok((is_whole, lines));
                }
                // Nothing was sent, so another entry host can be tried.
                Err(PostError::NotSent) if not_sent < 3 => {
                    not_sent += 1;
                    self.expire_entry_hosts();
                    address = self.address().await;
                }
                Err(failure) => return Err(failure),
            }
        }
    }

    async fn post_to(
        &self,
        address: SocketAddr,
        path: &str,
        spec: &RequestSpec,
        body: &Value,
    ) -> Result<PostResponse, PostError> {
        let request = Request::post(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", spec.key))
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("the request is valid");
        let response =
            self.http.open(request).await.map_err(
                |failure| match failure {
                    raildale::http_client::Failure::NotSent => {
                        PostError::NotSent
                    }
                    raildale::http_client::Failure::Lost
                    | raildale::http_client::Failure::Late
                    | raildale::http_client::Failure::TooLong => {
                        PostError::Lost
                    }
                },
            )?;
        if response.status() == 307 {
            let next = response
                .headers()
                .get("location")
                .and_then(|value| value.to_str().ok())
                .and_then(|url| url.strip_prefix("http://"))
                .and_then(|rest| rest.split('/').next())
                .and_then(|address| address.parse().ok());
            if let Some(next) = next {
                return Ok(PostResponse::Redirected(next));
            }
        }
        let mut body = response.into_body();
        let mut data = vec![];
        let mut is_whole = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => {
                    if let Ok(piece) = frame.into_data() {
                        data.extend_from_slice(&piece);
                    }
                }
                Err(_) => {
                    is_whole = false;
                    break;
                }
            }
        }
        let text = String::from_utf8_lossy(&data);
        let lines = text
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect();
        Ok(PostResponse::Answered(is_whole, lines))
    }

    /// Returns a random entry host. Discovers the entry hosts again if the
    /// known ones have expired.
    async fn address(&self) -> SocketAddr {
        let is_expired = lock(&self.entry_hosts).expires_at <= Instant::now();
        if is_expired {
            self.discover().await;
        }
        let addresses = lock(&self.entry_hosts).addresses.clone();
        addresses[rand::random_range(0..addresses.len())]
    }

    /// Replaces the list of entry hosts by the first answer of a known entry
    /// host or seed. Keeps the list if none answers.
    async fn discover(&self) {
        let known = lock(&self.entry_hosts).addresses.clone();
        for address in known.iter().chain(&self.seeds) {
            let answer = self
                .http
                .call(
                    hyper::Method::GET,
                    *address,
                    &RequestPath::new("/v1/where"),
                    Bytes::new(),
                    1 << 16,
                    Duration::from_millis(500),
                )
                .await;
            let Ok(answer) = answer else { continue };
            let Ok(value) = serde_json::from_slice::<Value>(&answer.body)
            else {
                continue;
            };
            let addresses: Vec<SocketAddr> = value["addresses"]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|address| address.as_str()?.parse().ok())
                .collect();
            if addresses.is_empty() {
                continue;
            }
            let ttl_ms = value["ttl_ms"].as_u64().unwrap_or(0);
            let expires_at = Instant::now() + Duration::from_millis(ttl_ms);
            *lock(&self.entry_hosts) = EntryHosts { addresses, expires_at };
            return;
        }
    }

    /// Makes the next request discover the entry hosts again.
    fn expire_entry_hosts(&self) {
        lock(&self.entry_hosts).expires_at = Instant::now();
    }
}

/// The response to a post.
enum PostResponse {
    Answered(bool, Vec<Value>),
    Redirected(SocketAddr),
}

/// Why a post has no response.
enum PostError {
    NotSent,
    Lost,
}

/// Returns the outcome and the code of a request, given its answer lines.
fn classify_answer(
    is_whole_body: bool,
    lines: &[Value],
    expected: &str,
) -> (Ending, u64) {
    let pieces: String =
        lines.iter().filter_map(|line| line["piece"].as_str()).collect();
    let Some(last) = lines.last().filter(|line| line["code"].is_u64()) else {
        return (Ending::Unknown, 0);
    };
    if !is_whole_body {
        return (Ending::Unknown, 0);
    }
    let code = last["code"].as_u64().unwrap_or(0);
    let whole = last["answer"].as_str().unwrap_or("");
    let answer = format!("{pieces}{whole}");
    let ending = match (code, last["ran"].as_str()) {
        (1000, _) if answer == expected => Ending::Whole,
        (1000, _) if expected.starts_with(&answer) => Ending::UnreportedCut,
        (1000, _) => Ending::Crossed,
        (4001, _) => Ending::ReportedCut,
        (_, Some("not run")) => Ending::NotRun,
        _ => Ending::Unknown,
    };
    (ending, code)
}

/// Counts of the outcomes of a group of requests.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Tally {
    /// Requests that were sent and have ended.
    pub requests_sent: u64,
    /// Requests with the whole and correct answer.
    pub requests_whole: u64,
    /// Requests that were refused as not run or could not be sent.
    pub requests_not_run: u64,
    /// Requests with an unknown outcome or an answer reported as truncated.
    pub requests_unknown: u64,
    /// Requests that are not repeatable and ran more than once.
    pub requests_doubled: u64,
    /// Requests with a truncated answer that was reported as whole.
    pub requests_cut: u64,
    /// Requests with a wrong answer, such as another request's.
    pub requests_crossed: u64,
    /// Requests that are not repeatable and were refused as not run although
    /// they ran.
    pub requests_not_run_lies: u64,
}

impl Tally {
    /// Counts the outcomes in `sent` and compares them with the runs recorded
    /// in `truth`.
    pub fn new(sent: &[SentRequest], truth: &GroundTruth) -> Tally {
        let mut tally = Tally::default();
        for request in sent {
            let runs = truth.run_count(&request.request_id);
            tally.requests_sent += 1;
            match request.ending {
                Ending::Whole => tally.requests_whole += 1,
                Ending::NotRun => tally.requests_not_run += 1,
                Ending::Unknown | Ending::ReportedCut => {
                    tally.requests_unknown += 1;
                }
                Ending::UnreportedCut => tally.requests_cut += 1,
                Ending::Crossed => tally.requests_crossed += 1,
            }
            if !request.repeatable && runs > 1 {
                tally.requests_doubled += 1;
            }
            let is_false_refusal = request.ending == Ending::NotRun
                && runs > 0
                && !request.repeatable;
            if is_false_refusal {
                tally.requests_not_run_lies += 1;
            }
        }
        tally
    }
}

/// Returns a quantile of the latencies of requests, in milliseconds; 0 if
/// there are none.
pub fn latency_quantile_ms(sent: &[&SentRequest], quantile: f64) -> f64 {
    let mut latencies: Vec<Duration> =
        sent.iter().map(|request| request.latency).collect();
    latencies.sort_unstable();
    if latencies.is_empty() {
        return 0.0;
    }
    let index = ((latencies.len() - 1) as f64 * quantile).ceil() as usize;
    latencies[index].as_secs_f64() * 1000.0
}
