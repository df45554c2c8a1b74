//! The settings file of a process: addresses, data centre, link rates.
//!
//! The settings tree that operators share is separate; see
//! [`crate::settings_text`].

use std::{net::SocketAddr, path::Path};

use serde::{Deserialize, de::DeserializeOwned};

use crate::error::{Error, ErrorKind};

/// Settings that every process has.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeConfig {
    /// The name of the process, unique in the fleet.
    pub name: String,
    /// The data centre of the process.
    pub data_centre: String,
    /// The region of the process.
    pub region: String,
    /// The address to listen on for other processes of the fleet.
    pub listen: SocketAddr,
    /// The address that other processes dial; `listen` if absent.
    pub advertise: Option<SocketAddr>,
    /// The secret shared by the processes of the cluster.
    pub cluster_key: String,
    /// Addresses of entry hosts to dial at start.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// The number of threads of the async runtime.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// The log level: `error`, `warn`, `info`, `debug`.
    #[serde(default = "default_log")]
    pub log: String,
    /// Whether a span for each hop is written to the log, as a JSON line.
    #[serde(default)]
    pub spans: bool,
}

/// The settings file of an entry host.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryFile {
    /// Settings that every process has.
    pub node: NodeConfig,
    /// The HTTP API for callers and operators.
    pub http: HttpConfig,
    /// The platform's object API.
    pub platform: PlatformConfig,
    /// The origin of weights.
    pub origin: OriginConfig,
    /// Limits on spreads.
    #[serde(default)]
    pub spread: SpreadConfig,
}

/// The settings file of an agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentFile {
    /// Settings that every process has.
    pub node: NodeConfig,
    /// The origin of weights.
    pub origin: OriginConfig,
    /// The host's target.
    pub target: TargetConfig,
    /// The host's link.
    pub link: LinkConfig,
    /// The address that serves `/metrics`; not served if absent.
    pub metrics: Option<SocketAddr>,
}

/// The HTTP API of an entry host for callers and operators.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HttpConfig {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The address that `/v1/where` returns for this entry host; `listen` if
    /// absent.
    pub advertise: Option<SocketAddr>,
    /// BLAKE3 hash of the key that may write the first settings, hexadecimal.
    pub bootstrap_key_hash: Option<String>,
}

/// The platform's object API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformConfig {
    /// The address of the object API.
    pub address: SocketAddr,
    /// The maximum number of calls per second from this process.
    #[serde(default = "default_platform_calls")]
    pub calls_per_s: u32,
}

/// The origin of weights.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OriginConfig {
    /// The address of the origin.
    pub address: SocketAddr,
    /// The data centre of the origin, whose agents fetch chunks from it.
    #[serde(default)]
    pub data_centre: String,
}

/// Limits on spreads.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SpreadConfig {
    /// The maximum number of chunks that leave the origin at once.
    pub origin_slots: usize,
    /// The maximum number of chunks that enter a data centre at once.
    pub crossing_slots: usize,
    /// The maximum number of neighbours of an agent.
    pub max_neighbours: usize,
    /// How long joins are collected before the first grant.
    pub gather_ms: u64,
    /// Time after which an unreported grant is given to another agent.
    pub grant_timeout_ms: u64,
}

impl Default for SpreadConfig {
    fn default() -> SpreadConfig {
        SpreadConfig {
            origin_slots: 12,
            crossing_slots: 12,
            max_neighbours: 24,
            gather_ms: 300,
            grant_timeout_ms: 10_000,
        }
    }
}

/// A host's target.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetConfig {
    /// The address of the target.
    pub address: SocketAddr,
    /// The pool that the host belongs to.
    pub pool: String,
    /// The maximum number of concurrent runs.
    pub capacity: u32,
}

/// A host's link.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkConfig {
    /// The bandwidth of the link.
    pub bytes_per_s: u64,
    /// The percentage of the bandwidth that spreads may use.
    #[serde(default = "default_share")]
    pub spread_percent: u64,
    /// The maximum number of concurrent chunk uploads.
    #[serde(default = "default_slots")]
    pub upload_slots: usize,
    /// The maximum number of chunk uploads that wait for a slot.
    #[serde(default = "default_places")]
    pub upload_places: usize,
    /// The maximum number of outstanding chunk requests, grants not counted.
    #[serde(default = "default_window")]
    pub window: usize,
    /// The size of a chunk in bytes, from which deadlines are computed.
    #[serde(default = "default_chunk")]
    pub chunk_bytes: u64,
    /// Where chunks are fetched from.
    #[serde(default)]
    pub scheme: SchemeName,
}

/// Where chunks are fetched from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SchemeName {
    /// From neighbours, rarest first.
    #[default]
    Swarm,
    /// From the origin alone: the baseline.
    Origin,
}

impl NodeConfig {
    /// Returns the address that other processes dial.
    pub fn address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// [`ErrorKind::Config`], with the file, the line and, for an unknown name,
/// the most similar known name.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let file = path.display();
    let text = std::fs::read_to_string(path).map_err(|error| {
        Error::new(ErrorKind::Config, format!("{file}: {error}"))
    })?;
    parse(&text).map_err(|fault| {
        Error::new(ErrorKind::Config, format!("{file}, {fault}"))
    })
}

/// Parses TOML.
///
/// # Errors
///
/// A message with the line and, for an unknown name, the most similar known
/// name.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    toml::from_str(text).map_err(|error| {
        let line = error
            .span()
            .map(|span| text[..span.start].matches('\n').count() + 1)
            .unwrap_or(1);
        let message = error.message();
        match nearest(message) {
            Some(name) => {
                format!("line {line}: {message}; did you mean `{name}`?")
            }
            None => format!("line {line}: {message}"),
        }
    })
}

/// Returns the most similar expected name from a message of the form "unknown
/// field `x`, expected ... `a`, `b`"; `None` for other messages.
fn nearest(message: &str) -> Option<&str> {
    let mut quoted = message.split('`').skip(1).step_by(2);
    if !message.starts_with("unknown") {
        return None;
    }
    let unknown = quoted.next()?;
    quoted.min_by_key(|known| edit_distance(unknown, known))
}

/// Returns the Levenshtein edit_distance of two strings.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in b.iter().enumerate() {
            let changed = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = changed.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}

fn default_threads() -> usize {
    2
}

fn default_log() -> String {
    "info".into()
}

fn default_platform_calls() -> u32 {
    5
}

fn default_share() -> u64 {
    95
}

fn default_slots() -> usize {
    2
}

fn default_places() -> usize {
    2
}

fn default_window() -> usize {
    6
}

fn default_chunk() -> u64 {
    256 << 10
}
