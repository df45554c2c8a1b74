//! The status of an entry host, for operators.

use std::collections::BTreeMap;

use raildale_core::{Digest, entry::Entry};
use serde::{Deserialize, Serialize};

/// An entry host's view of the fleet.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Status {
    /// The name of the entry host.
    pub entry: String,
    /// Whether it serves requests.
    pub ready: bool,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// The settings' revision in force at the entry host.
    pub revision: u64,
    /// The revision in force at each other entry host.
    pub entries: BTreeMap<String, u64>,
    /// HTTP addresses of the entry hosts that accept requests, nearest first.
    pub addresses: Vec<String>,
    /// The number of requests that are not answered yet.
    pub in_progress: u64,
    /// The settings' text in force; cleared before the status is sent to
    /// operators.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub settings_text: String,
    /// The agents.
    pub hosts: Vec<HostStatus>,
}

/// A host, as an entry host sees it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct HostStatus {
    /// The agent's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its pool.
    pub pool: String,
    /// The settings' revision in force at the agent.
    pub revision: u64,
    /// Whether it is leaving and accepts no new runs.
    pub leaving: bool,
    /// Runs in progress, as known to the entry host.
    pub load: u64,
    /// The maximum number of concurrent runs.
    pub capacity: u64,
    /// The served models, each with its manifest's digest.
    pub served: BTreeMap<String, String>,
    /// Progress of the versions being fetched.
    pub progress: Vec<VersionProgress>,
}

/// A host's progress in fetching a version.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct VersionProgress {
    /// The manifest's digest, hexadecimal.
    pub manifest: String,
    /// The number of verified chunks.
    pub verified: u32,
    /// The total number of chunks; 0 until the manifest has arrived.
    pub total: u32,
}

impl Status {
    /// Removes the models of other organisations, so that an operator of one
    /// organisation cannot tell whether they exist, and all hosts without a
    /// model of `organisation`. Changes nothing if it is `None`.
    pub fn restrict_to(&mut self, organisation: Option<&str>) {
        let Some(own) = organisation else { return };
        let prefix = format!("{own}/");
        for host in &mut self.hosts {
            host.served.retain(|model, _| model.starts_with(&prefix));
            host.progress.clear();
        }
        self.hosts.retain(|host| !host.served.is_empty());
    }

    /// Creates the status from the state of a reducer.
    pub fn new(process: &str, entry: &Entry, now_ms: u64) -> Status {
        let revisions: BTreeMap<&str, u64> = entry
            .agent_revisions()
            .map(|(name, revision)| (&**name, revision))
            .collect();
        let progress: BTreeMap<&str, _> =
            entry.progress().map(|(name, rows)| (&**name, rows)).collect();
        let hosts = entry.agents().map(|agent| {
            let name = agent.name.as_str();
            let target = entry.router().target(name);
            HostStatus {
                name: agent.name.clone(),
                data_centre: agent.data_centre.clone(),
                pool: agent.pool.clone(),
                revision: revisions.get(name).copied().unwrap_or(0),
                leaving: target.is_some_and(|target| target.leaving),
                load: target.map_or(0, |target| target.load()),
                capacity: target.map_or(0, |target| target.capacity),
                served: target.map_or_else(BTreeMap::new, |target| {
                    let hex = |digest: &Option<Digest>| {
                        digest.map_or(String::new(), Digest::to_hex)
                    };
                    target
                        .served
                        .iter()
                        .map(|(model, d)| (model.to_string(), hex(d)))
                        .collect()
                }),
                progress: progress
                    .get(name)
                    .copied()
                    .unwrap_or_default()
                    .iter()
                    .map(|row| VersionProgress {
                        manifest: Digest::from_slice(&row.manifest)
                            .map_or(String::new(), Digest::to_hex),
                        verified: row.verified,
                        total: row.total,
                    })
                    .collect(),
            }
        });
        Status {
            entry: process.to_string(),
            ready: entry.may_serve(now_ms),
            leaving: entry.is_leaving(),
            revision: entry.revision(),
            entries: entry
                .entry_revisions()
                .map(|(name, revision)| (name.to_string(), revision))
                .collect(),
            addresses: entry
                .ranked_addresses()
                .into_iter()
                .map(|peer| peer.address)
                .collect(),
            in_progress: entry.in_progress() as u64,
            settings_text: entry.settings_text().to_string(),
            hosts: hosts.collect(),
        }
    }
}
