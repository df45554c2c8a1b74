//! The tree: defaults, organisations, models, versions.
//!
//! A child overrides only what it must; everything else comes from its
//! parent. The text is TOML, read by the `raildale` crate; unknown names are
//! refused there, so this module need not skip any.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::{Digest, Name};

/// What a spread saves first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Favour {
    /// Spare capacity of the origin may be used to be ready earlier.
    Time,
    /// Each chunk leaves the origin once.
    OriginBytes,
}

impl Favour {
    /// The word in settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Favour::Time => "time",
            Favour::OriginBytes => "origin-bytes",
        }
    }
}

/// What kind of back end serves a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine, which needs weights.
    #[default]
    Engine,
    /// A plain service, which needs none.
    Plain,
}

/// Rules that every level of the tree may set.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// What a spread saves first.
    pub favour: Option<Favour>,
    /// Requests a second over all entry hosts.
    pub requests_per_s: Option<u64>,
    /// Requests in progress at once over all entry hosts.
    pub concurrency: Option<u64>,
    /// Requests waiting at one entry host.
    pub queue_places: Option<u64>,
    /// Tokens of one answer at most.
    pub max_tokens: Option<u64>,
    /// Deadline of a request that states none.
    pub deadline_ms: Option<u64>,
    /// Retries for each hundred requests.
    pub retry_percent: Option<u64>,
    /// How long a run key is good for.
    pub run_key_ttl_ms: Option<u64>,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The manifest's digest, 64 hexadecimal digits.
    pub manifest: String,
    /// Where the origin keeps the version.
    pub origin_path: String,
    /// Whether its spread rests.
    #[serde(default)]
    pub paused: bool,
    /// Rules that this version overrides.
    #[serde(default)]
    pub rules: Rules,
}

/// A model, or a plain service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// What serves it.
    #[serde(default)]
    pub kind: Kind,
    /// The pool of hosts that serve it.
    pub pool: String,
    /// The version that is to be served; none for a plain service.
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
    /// BLAKE3 of each key of its callers, hexadecimal. Two while one is
    /// replaced by the next.
    #[serde(default)]
    pub key_hashes: Vec<String>,
    /// Rules that this organisation overrides.
    #[serde(default)]
    pub rules: Rules,
    /// Its models by name.
    #[serde(default)]
    pub models: BTreeMap<String, Model>,
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Sees.
    Viewer,
    /// Sees and changes.
    Editor,
}

/// An operator.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// BLAKE3 of each of the operator's keys, hexadecimal.
    pub key_hashes: Vec<String>,
    /// What the operator may do.
    pub role: Role,
    /// The one organisation that the operator sees; all if absent.
    pub organisation: Option<String>,
}

/// The whole tree.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tree {
    /// Rules for everybody.
    #[serde(default)]
    pub rules: Rules,
    /// Operators by name.
    #[serde(default)]
    pub operators: BTreeMap<String, Operator>,
    /// Organisations by name.
    #[serde(default)]
    pub organisations: BTreeMap<String, Organisation>,
}

/// Where in the tree a value was set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Nowhere; the program's own default.
    BuiltIn,
    /// At the root.
    Root,
    /// At the organisation.
    Organisation,
    /// At the model.
    Model,
    /// At the version.
    Version,
}

impl Level {
    /// The word shown to operators.
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

/// A value and where it was set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sourced<T> {
    /// The value in force.
    pub value: T,
    /// The level that set it.
    pub level: Level,
}

/// The rules in force for one model, each with its source.
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

/// A version that hosts of a pool are to serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// `organisation/model`.
    pub model: Name,
    /// The manifest's digest; none for a plain service.
    pub manifest: Option<Digest>,
    /// Where the origin keeps it; empty for a plain service.
    pub origin_path: String,
    /// Whether its spread rests.
    pub paused: bool,
}

impl Tree {
    /// The model at `organisation/model`.
    pub fn model(&self, path: &str) -> Option<&Model> {
        let (organisation, model) = path.split_once('/')?;
        self.organisations.get(organisation)?.models.get(model)
    }

    /// The rules in force at `organisation/model`.
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

    /// The rules in force for the organisation as a whole.
    pub fn organisation_rules(&self, name: &str) -> Option<Effective> {
        let organisation = self.organisations.get(name)?;
        let levels = [
            (Level::Organisation, Some(&organisation.rules)),
            (Level::Root, Some(&self.rules)),
        ];
        Some(Effective::new(&levels))
    }

    /// What hosts of `pool` are to serve.
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

    /// What contradicts itself in the tree, in words for operators.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut faults = vec![];
        for (organisation, entry) in &self.organisations {
            check_name(organisation, &mut faults);
            for (name, model) in &entry.models {
                check_name(name, &mut faults);
                model.faults(&format!("{organisation}/{name}"), &mut faults);
            }
        }
        for (name, operator) in &self.operators {
            if let Some(organisation) = &operator.organisation
                && !self.organisations.contains_key(organisation)
            {
                faults.push(format!(
                    "operator {name}: no organisation {organisation}"
                ));
            }
        }
        faults
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

    fn faults(&self, path: &str, faults: &mut Vec<String>) {
        if let Some(version) = &self.version
            && !self.versions.contains_key(version)
        {
            faults.push(format!("{path}: version {version} is not listed"));
        }
        if self.kind == Kind::Plain && self.version.is_some() {
            faults.push(format!("{path}: a plain service has no version"));
        }
        for (name, version) in &self.versions {
            if Digest::from_hex(&version.manifest).is_none() {
                faults.push(format!(
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

    /// Every rule's name, value and source, for people.
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

fn check_name(name: &str, faults: &mut Vec<String>) {
    let is_sound = !name.is_empty()
        && name.len() <= 64
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b));
    if !is_sound {
        faults.push(format!(
            "name {name:?}: 1 to 64 letters, digits, - and _ only"
        ));
    }
}
