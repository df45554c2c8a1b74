//! The settings tree: defaults, organisations, models and versions.
//!
//! A child overrides only the rules that it sets and inherits the others from
//! its parent. The `raildale` crate reads the tree from TOML text. Unknown
//! names are refused.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::{Digest, Name};

/// Whether a spread favours an early finish or few bytes from the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Favour {
    /// The origin's spare capacity may be used to finish earlier.
    Time,
    /// Each chunk is fetched from the origin only once.
    OriginBytes,
}

impl Favour {
    /// Returns the value as settings spell it.
    pub fn as_str(self) -> &'static str {
        match self {
            Favour::Time => "time",
            Favour::OriginBytes => "origin-bytes",
        }
    }
}

/// The kind of back end that serves a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine, which needs weights.
    #[default]
    Engine,
    /// A plain service, which needs no weights.
    Plain,
}

/// Rules that may be set at every level of the tree. `None` inherits the rule
/// from the level above.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Whether a spread favours an early finish or few bytes from the origin.
    pub favour: Option<Favour>,
    /// The maximum rate of requests a second, over all entry hosts.
    pub requests_per_s: Option<u64>,
    /// The maximum number of requests in progress, over all entry hosts.
    pub concurrency: Option<u64>,
    /// The maximum number of an organisation's requests queued in one class at
    /// one entry host.
    pub queue_places: Option<u64>,
    /// The maximum number of tokens of an answer.
    pub max_tokens: Option<u64>,
    /// The deadline of a request that states none, and the maximum of one that
    /// does.
    pub deadline_ms: Option<u64>,
    /// The number of retries allowed for every hundred requests.
    pub retry_percent: Option<u64>,
    /// How long a run key is valid, from its issue or, if it was not issued in
    /// advance, from the request's deadline.
    pub run_key_ttl_ms: Option<u64>,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The manifest's digest, 64 hexadecimal digits.
    pub manifest: String,
    /// The version's path at the origin.
    pub origin_path: String,
    /// Whether the version's spread is paused.
    #[serde(default)]
    pub paused: bool,
    /// Rules that this version overrides.
    #[serde(default)]
    pub rules: Rules,
}

/// A model or a plain service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The kind of back end that serves it.
    #[serde(default)]
    pub kind: Kind,
    /// The pool of hosts that serve it.
    pub pool: String,
    /// The name of the version to serve; `None` for a plain service.
    pub version: Option<String>,
    /// Rules that this model overrides.
    #[serde(default)]
    pub rules: Rules,
    /// The model's versions by name.
    #[serde(default)]
    pub versions: BTreeMap<String, Version>,
}

/// An organisation.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// BLAKE3 of each key of its callers, hexadecimal. There are two while a
    /// key is being replaced.
    #[serde(default)]
    pub key_hashes: Vec<String>,
    /// Rules that this organisation overrides.
    #[serde(default)]
    pub rules: Rules,
    /// Its models by name.
    #[serde(default)]
    pub models: BTreeMap<String, Model>,
}

/// An operator's permissions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// May read.
    Viewer,
    /// May read and make changes.
    Editor,
}

/// An operator.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// BLAKE3 of each of the operator's keys, hexadecimal.
    pub key_hashes: Vec<String>,
    /// The operator's permissions.
    pub role: Role,
    /// The only organisation that the operator may see; `None` for all.
    pub organisation: Option<String>,
}

/// The root of the settings tree.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tree {
    /// Rules for all organisations.
    #[serde(default)]
    pub rules: Rules,
    /// Operators by name.
    #[serde(default)]
    pub operators: BTreeMap<String, Operator>,
    /// Organisations by name.
    #[serde(default)]
    pub organisations: BTreeMap<String, Organisation>,
}

/// The level of the tree that set a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// None: the value is the program's default.
    BuiltIn,
    /// The root.
    Root,
    /// The organisation.
    Organisation,
    /// The model.
    Model,
    /// The version.
    Version,
}

impl Level {
    /// Returns the level's name, as shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Level::BuiltIn => "built-in",
            Level::Root => "root",
            Level::Organisation => "organisation",
            Level::Model => "model",
            Level::Version => "version",
        }
    }
}

/// A value and the level that set it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sourced<T> {
    /// The value in force.
    pub value: T,
    /// The level that set it.
    pub level: Level,
}

/// The rules in force for a model or an organisation, each with the level that
/// set it.
#[derive(Clone, Debug, PartialEq)]
pub struct Effective {
    /// See [`Rules::favour`].
    pub favour: Sourced<Favour>,
    /// See [`Rules::requests_per_s`].
    pub requests_per_s: Sourced<u64>,
    /// See [`Rules::concurrency`].
    pub concurrency: Sourced<u64>,
    /// See [`Rules::queue_places`].
    pub queue_places: Sourced<u64>,
    /// See [`Rules::max_tokens`].
    pub max_tokens: Sourced<u64>,
    /// See [`Rules::deadline_ms`].
    pub deadline_ms: Sourced<u64>,
    /// See [`Rules::retry_percent`].
    pub retry_percent: Sourced<u64>,
    /// See [`Rules::run_key_ttl_ms`].
    pub run_key_ttl_ms: Sourced<u64>,
}

/// A model version or plain service that the hosts of a pool are to serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// `organisation/model`.
    pub model: Name,
    /// The manifest's digest; `None` for a plain service.
    pub manifest: Option<Digest>,
    /// The version's path at the origin; empty for a plain service.
    pub origin_path: String,
    /// Whether the version's spread is paused.
    pub paused: bool,
}

impl Tree {
    /// Returns the model at `organisation/model`.
    pub fn model(&self, path: &str) -> Option<&Model> {
        let (organisation, model) = path.split_once('/')?;
        self.organisations.get(organisation)?.models.get(model)
    }

    /// Returns the rules in force at `organisation/model`; `None` if there is
    /// no such model.
    pub fn effective(&self, path: &str) -> Option<Effective> {
        let (organisation, _) = path.split_once('/')?;
        let organisation = self.organisations.get(organisation)?;
        let model = self.model(path)?;
        let version =
            model.version.as_ref().and_then(|v| model.versions.get(v));
        let levels = [
            (Level::Version, version.map(|version| &version.rules)),
            (Level::Model, Some(&model.rules)),
            (Level::Organisation, Some(&organisation.rules)),
            (Level::Root, Some(&self.rules)),
        ];
        Some(Effective::new(&levels))
    }

    /// Returns the rules in force for an organisation as a whole; `None` if
    /// there is no such organisation.
    pub fn organisation_rules(&self, name: &str) -> Option<Effective> {
        let organisation = self.organisations.get(name)?;
        let levels = [
            (Level::Organisation, Some(&organisation.rules)),
            (Level::Root, Some(&self.rules)),
        ];
        Some(Effective::new(&levels))
    }

    /// Returns what the hosts of `pool` are to serve. Models without a listed
    /// version or with an invalid digest are left out.
    pub fn wanted(&self, pool: &str) -> Vec<Wanted> {
        let mut wanted = vec![];
        for (organisation, entry) in &self.organisations {
            for (name, model) in &entry.models {
                if model.pool == pool {
                    let path = format!("{organisation}/{name}");
                    wanted.extend(model.wanted(path.as_str().into()));
                }
            }
        }
        wanted
    }

    /// Returns a message for operators for each invalid name, digest and
    /// reference in the tree; empty if the tree is valid.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut errors = vec![];
        for (organisation, entry) in &self.organisations {
            check_name(organisation, &mut errors);
            for (name, model) in &entry.models {
                check_name(name, &mut errors);
                model.collect_errors(
                    &format!("{organisation}/{name}"),
                    &mut errors,
                );
            }
        }
        for (name, operator) in &self.operators {
            if let Some(organisation) = &operator.organisation
                && !self.organisations.contains_key(organisation)
            {
                errors.push(format!(
                    "operator {name}: no organisation {organisation}"
                ));
            }
        }
        errors
    }
}

impl Model {
    fn wanted(&self, path: Name) -> Option<Wanted> {
        if self.kind == Kind::Plain {
            return Some(Wanted {
                model: path,
                manifest: None,
                origin_path: String::new(),
                paused: false,
            });
        }
        let version = self.versions.get(self.version.as_ref()?)?;
        Some(Wanted {
            model: path,
            manifest: Some(Digest::from_hex(&version.manifest)?),
            origin_path: version.origin_path.clone(),
            paused: version.paused,
        })
    }

    fn collect_errors(&self, path: &str, errors: &mut Vec<String>) {
        if let Some(version) = &self.version
            && !self.versions.contains_key(version)
        {
            errors.push(format!("{path}: version {version} is not listed"));
        }
        if self.kind == Kind::Plain && self.version.is_some() {
            errors.push(format!("{path}: a plain service has no version"));
        }
        for (name, version) in &self.versions {
            if Digest::from_hex(&version.manifest).is_none() {
                errors.push(format!(
                    "{path}/{name}: manifest is not 64 hexadecimal digits"
                ));
            }
        }
    }
}

impl Effective {
    fn new(levels: &[(Level, Option<&Rules>)]) -> Effective {
        Effective {
            favour: pick(levels, |rules| rules.favour, Favour::OriginBytes),
            requests_per_s: pick(levels, |rules| rules.requests_per_s, 1_000),
            concurrency: pick(levels, |rules| rules.concurrency, 1_000),
            queue_places: pick(levels, |rules| rules.queue_places, 256),
            max_tokens: pick(levels, |rules| rules.max_tokens, 4_096),
            deadline_ms: pick(levels, |rules| rules.deadline_ms, 30_000),
            retry_percent: pick(levels, |rules| rules.retry_percent, 10),
            run_key_ttl_ms: pick(
                levels,
                |rules| rules.run_key_ttl_ms,
                600_000,
            ),
        }
    }

    /// Returns the name, value and level of each rule, for display.
    pub fn rows(&self) -> Vec<(&'static str, String, Level)> {
        let favour = self.favour.value.as_str().to_string();
        let mut rows = vec![("favour", favour, self.favour.level)];
        for (name, rule) in [
            ("requests_per_s", self.requests_per_s),
            ("concurrency", self.concurrency),
            ("queue_places", self.queue_places),
            ("max_tokens", self.max_tokens),
            ("deadline_ms", self.deadline_ms),
            ("retry_percent", self.retry_percent),
            ("run_key_ttl_ms", self.run_key_ttl_ms),
        ] {
            rows.push((name, rule.value.to_string(), rule.level));
        }
        rows
    }
}

fn pick<T: Copy>(
    levels: &[(Level, Option<&Rules>)],
    get: impl Fn(&Rules) -> Option<T>,
    built_in: T,
) -> Sourced<T> {
    levels
        .iter()
        .find_map(|(level, rules)| {
            let value = get((*rules)?)?;
            Some(Sourced { value, level: *level })
        })
        .unwrap_or(Sourced { value: built_in, level: Level::BuiltIn })
}

fn check_name(name: &str, errors: &mut Vec<String>) {
    let is_valid = !name.is_empty()
        && name.len() <= 64
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b));
    if !is_valid {
        errors.push(format!(
            "name {name:?}: 1 to 64 letters, digits, - and _ only"
        ));
    }
}
