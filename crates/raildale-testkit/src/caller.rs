//! Callers: they ask where to go, send requests, and judge the answers.

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
use raildale::http_client::HttpClient;
use serde_json::{Value, json};

use crate::truth::{GroundTruth, expected_answer, lock};

/// How long a caller waits beyond its deadline for the last word.
const PATIENCE: Duration = Duration::from_secs(3);

/// What a caller sends.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The organisation's key.
    pub key: String,
    /// The model's name.
    pub model: String,
    /// The class.
    pub priority: &'static str,
    /// Whether the request may run twice.
    pub repeatable: bool,
    /// Whether a key is fetched first and the request sent again under it
    /// when its outcome is unknown.
    pub has_run_key: bool,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Tokens wanted.
    pub max_tokens: u32,
    /// How long it waits.
    pub deadline_ms: u64,
    /// The prompt's text after its mark.
    pub text: String,
}

/// How a request ended, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer, and the right one.
    Whole,
    /// Refused, and said not to have run.
    NotRun,
    /// Nobody knows.
    Unknown,
    /// Presented as whole, and is not.
    UnreportedCut,
    /// Another request's answer.
    Crossed,
    /// Ended as cut, and said so.
    ReportedCut,
}

/// A request that was sent.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The mark in its prompt.
    pub request_id: String,
    /// The organisation's key.
    pub key: String,
    /// The class.
    pub priority: &'static str,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// When.
    pub at: Instant,
    /// How long it took.
    pub latency: Duration,
    /// How it ended.
    pub ending: Ending,
    /// The code of the last word; 0 if there was none.
    pub code: u64,
}

/// A group of callers that share what they know.
#[derive(Debug)]
pub struct Callers {
    http: HttpClient,
    seeds: Vec<SocketAddr>,
    known: Mutex<Known>,
    sent: Mutex<Vec<SentRequest>>,
    next_mark: AtomicU64,
    in_flight: AtomicU64,
    is_stopped: AtomicBool,
}

#[derive(Debug)]
struct Known {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

impl Callers {
    /// Callers at `ip` who know the entry hosts `seeds` to begin with.
    pub fn new(ip: IpAddr, seeds: Vec<SocketAddr>) -> Arc<Callers> {
        Arc::new(Callers {
            http: HttpClient::new(Some(ip)),
            known: Mutex::new(Known {
                addresses: seeds.clone(),
                until: Instant::now(),
            }),
            seeds,
            sent: Mutex::default(),
            next_mark: AtomicU64::new(1),
            in_flight: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
        })
    }

    /// Sends requests at a rate until stopped; `plan` makes the n-th.
    pub fn run(
        self: &Arc<Self>,
        per_s: f64,
        plan: impl Fn(u64) -> RequestSpec + Send + 'static,
    ) {
        let callers = self.clone();
        tokio::spawn(async move {
            let gap = Duration::from_secs_f64(1.0 / per_s);
            let mut tick = tokio::time::interval(gap);
            let mut number = 0;
            while !callers.is_stopped.load(Ordering::Relaxed) {
                tick.tick().await;
                let plan = plan(number);
                number += 1;
                let callers = callers.clone();
                tokio::spawn(async move { callers.send(plan).await });
            }
        });
    }

    /// Sends no more requests and waits for the last words.
    pub async fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        while self.in_flight.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// The requests so far that have their last word.
    pub fn finished(&self) -> Vec<SentRequest> {
        lock(&self.sent).clone()
    }

    /// Sends one request and judges its answer.
    pub async fn send(&self, plan: RequestSpec) -> SentRequest {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let number = self.next_mark.fetch_add(1, Ordering::Relaxed);
        let request_id = format!("m{number}");
        let prompt = format!("{request_id} {}", plan.text);
        let at = Instant::now();
        let (ending, code) = self.exchange(&plan, &prompt).await;
        let sent = SentRequest {
            request_id,
            key: plan.key,
            priority: plan.priority,
            repeatable: plan.repeatable,
            at,
            latency: at.elapsed(),
            ending,
            code,
        };
        lock(&self.sent).push(sent.clone());
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        sent
    }

    async fn exchange(
        &self,
        plan: &RequestSpec,
        prompt: &str,
    ) -> (Ending, u64) {
        let run_key = match plan.has_run_key {
            true => match self.fetch_key(plan).await {
                Some(key) => Some(key),
                None => return (Ending::NotRun, 0),
            },
            false => None,
        };
        let mut body = json!({
            "model": plan.model,
            "prompt": prompt,
            "max_tokens": plan.max_tokens,
            "priority": plan.priority,
            "deadline_ms": plan.deadline_ms,
            "repeatable": plan.repeatable,
            "stream": plan.stream,
        });
        if let Some(key) = &run_key {
            body["run_key"] = json!(key);
        }
        let first = self.submit(plan, &body, prompt).await;
        if run_key.is_none() || first.0 != Ending::Unknown {
            return first;
        }
        // The caller that holds a key asks again under it, elsewhere.
        self.submit(plan, &body, prompt).await
    }

    async fn fetch_key(&self, plan: &RequestSpec) -> Option<String> {
        let body = json!({ "model": plan.model });
        let (_, value) = self.post("/v1/run-keys", plan, &body).await.ok()?;
        value.last()?["run_key"].as_str().map(str::to_string)
    }

    async fn submit(
        &self,
        plan: &RequestSpec,
        body: &Value,
        prompt: &str,
    ) -> (Ending, u64) {
        let answered = self.post("/v1/requests", plan, body).await;
        let (is_whole_body, lines) = match answered {
            Ok(answered) => answered,
            Err(NotAnswered::NotSent) => return (Ending::NotRun, 0),
            Err(NotAnswered::Lost) => return (Ending::Unknown, 0),
        };
        let expected = expected_answer(prompt, plan.max_tokens);
        judge(is_whole_body, &lines, &expected)
    }

    /// Posts to an entry host, following one that is leaving to the next;
    /// returns whether the body came whole, and its JSON lines.
    async fn post(
        &self,
        path: &str,
        plan: &RequestSpec,
        body: &Value,
    ) -> Result<(bool, Vec<Value>), NotAnswered> {
        let mut not_sent = 0;
        let mut address = self.address().await;
        loop {
            let limit = Duration::from_millis(plan.deadline_ms) + PATIENCE;
            let call = self.post_to(address, path, plan, body);
            let answered = tokio::time::timeout(limit, call)
                .await
                .unwrap_or(Err(NotAnswered::Lost));
            match answered {
                Ok(Posted::Redirected(next)) => {
                    self.forget_where();
                    address = next;
                }
                Ok(Posted::Answered(is_whole, lines)) => {
                    return Ok((is_whole, lines));
                }
                // Nothing was sent: another entry host may be asked.
                Err(NotAnswered::NotSent) if not_sent < 3 => {
                    not_sent += 1;
                    self.forget_where();
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
        plan: &RequestSpec,
        body: &Value,
    ) -> Result<Posted, NotAnswered> {
        let request = Request::post(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", plan.key))
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("the parts are sound");
        let response =
            self.http.open(request).await.map_err(
                |failure| match failure {
                    raildale::http_client::Failure::NotSent => {
                        NotAnswered::NotSent
                    }
                    raildale::http_client::Failure::Lost
                    | raildale::http_client::Failure::Late => {
                        NotAnswered::Lost
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
                return Ok(Posted::Redirected(next));
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
        Ok(Posted::Answered(is_whole, lines))
    }

    /// One of the addresses that `where` gave, asked again when its answer
    /// is too old.
    async fn address(&self) -> SocketAddr {
        let is_old = lock(&self.known).until <= Instant::now();
        if is_old {
            self.ask_where().await;
        }
        let addresses = lock(&self.known).addresses.clone();
        addresses[rand::random_range(0..addresses.len())]
    }

    async fn ask_where(&self) {
        let seeds = lock(&self.known).addresses.clone();
        for address in seeds.iter().chain(&self.seeds) {
            let answer = self
                .http
                .call(
                    hyper::Method::GET,
                    *address,
                    "/v1/where",
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
            let until = Instant::now() + Duration::from_millis(ttl_ms);
            *lock(&self.known) = Known { addresses, until };
            return;
        }
    }

    fn forget_where(&self) {
        lock(&self.known).until = Instant::now();
    }
}

enum Posted {
    Answered(bool, Vec<Value>),
    Redirected(SocketAddr),
}

enum NotAnswered {
    NotSent,
    Lost,
}

fn judge(
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

/// What a group of requests came to.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Tally {
    /// Requests sent.
    pub requests_sent: u64,
    /// Answered whole and right.
    pub requests_whole: u64,
    /// Refused as not run.
    pub requests_not_run: u64,
    /// Of unknown outcome, ended as cut included.
    pub requests_unknown: u64,
    /// That may not be repeated and ran more than once.
    pub requests_doubled: u64,
    /// Presented as whole and were not.
    pub requests_cut: u64,
    /// Answered with another's answer.
    pub requests_crossed: u64,
    /// Refused as not run although they ran.
    pub requests_not_run_lies: u64,
}

impl Tally {
    /// Counts endings, and real runs by the targets' own record.
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
            let lied = request.ending == Ending::NotRun
                && runs > 0
                && !request.repeatable;
            if lied {
                tally.requests_not_run_lies += 1;
            }
        }
        tally
    }
}

/// The quantile of how long requests took, in milliseconds.
pub fn latency_quantile_ms(sent: &[&SentRequest], quantile: f64) -> f64 {
    let mut times: Vec<Duration> =
        sent.iter().map(|request| request.latency).collect();
    times.sort_unstable();
    if times.is_empty() {
        return 0.0;
    }
    let place = ((times.len() - 1) as f64 * quantile).ceil() as usize;
    times[place].as_secs_f64() * 1000.0
}
