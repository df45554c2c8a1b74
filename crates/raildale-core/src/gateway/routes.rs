//! Routes, services and API keys of a configuration.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use crate::Name;

/// A complete configuration that the operator has accepted.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// The version number of the configuration, which only increases.
    pub version: u64,
    /// Routes by HTTP host, each list with the longest prefix first.
    routes: HashMap<Name, Vec<Arc<Route>>>,
    /// Services by name.
    services: HashMap<Name, Arc<Service>>,
    /// The lowest and highest priority of the streams of each service.
    priorities: HashMap<Name, (u8, u8)>,
    /// Who may send requests on routes that are not public.
    access: Access,
    /// Limits on callers' requests.
    pub limits: Limits,
}

/// Who may send requests on routes that are not public.
#[derive(Clone, Debug, Default)]
enum Access {
    /// Everyone, without a key.
    #[default]
    Open,
    /// The holders of these keys; nobody while there are none.
    Keys(HashMap<Name, Arc<Organisation>>),
}

/// Whether a request of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answers with a stream of events.
    Streaming,
}

/// A route from an HTTP host and path prefix to services.
#[derive(Clone, Debug)]
pub struct Route {
    /// The operator's name of the route.
    pub name: Name,
    /// The HTTP host to which it applies.
    pub host: Name,
    /// The path prefix, with a slash at both ends.
    pub path_prefix: Name,
    /// Whether its requests may run more than once.
    pub kind: RouteKind,
    /// The maximum time for which a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// The latency goal for the first event or the answer, in milliseconds.
    pub goal_ms: u64,
    /// The goal for the longest pause between events, in milliseconds; 0 if
    /// there is none.
    pub gap_goal_ms: u64,
    /// The priority, 0 being the highest.
    pub priority: u8,
    /// The services with their weights.
    pub backends: Vec<(Name, u32)>,
    /// The maximum number of targets to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests without a key are accepted.
    pub is_public: bool,
    /// Whether a broken stream may be resumed at another target.
    pub is_resumable: bool,
    /// The regions in which its requests may be served; any if empty.
    pub regions: Vec<Name>,
}

impl Route {
    /// Returns whether a request that may have run may be sent again.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.is_resumable,
        }
    }

    /// Returns the service for a request, chosen by weight with the random
    /// number `draw`; `None` if there is none.
    pub fn service(&self, draw: u32) -> Option<&Name> {
        let weights = self.backends.iter().map(|(_, w)| u64::from(*w));
        let mut left = u64::from(draw).checked_rem(weights.sum())?;
        for (name, weight) in &self.backends {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(name);
            }
            left -= weight;
        }
        None
    }
}

/// One service.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// The operator's name of the service.
    pub name: Name,
    /// The path of its targets' health checks; empty if there are none.
    pub health_path: Name,
    /// The maximum number of connections that a target accepts from all
    /// callers together.
    pub max_connections: u32,
    /// The engine's figures if its targets run a model engine.
    pub engine: Option<EngineSpec>,
    /// The requests per second that a cold target bears; 0 if that does not
    /// matter.
    pub cold_rate_per_s: f64,
    /// The origin's address if the service is an origin of weights.
    pub origin: Option<SocketAddr>,
}

/// Published figures of a model engine and its weights.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// The number of requests that run at once.
    pub slots: u32,
    /// Names of the models that the service serves.
    pub models: Vec<Name>,
    /// The number of chunks of a version.
    pub chunk_count: u32,
    /// The size of a chunk in bytes.
    pub chunk_bytes: u32,
    /// The number of layers of a model; 0 if weights are not spread.
    pub layer_count: u32,
    /// The duration of one step of the batch, in milliseconds.
    pub step_ms: f64,
    /// The time that each running request adds to a step, in milliseconds.
    pub per_sequence_ms: f64,
    /// The number of steps between two events of a stream.
    pub stride: u32,
    /// Prompt tokens read per second.
    pub prefill_tokens_per_s: f64,
    /// The mean number of tokens of an answer.
    pub usual_answer_tokens: f64,
}

impl EngineSpec {
    /// Returns the usual time to generate an answer at a full target in
    /// milliseconds, with the time spent on other requests' prompts.
    pub fn usual_run_ms(&self) -> f64 {
        /// The time spent on reading prompts, relative to the steps of an
        /// answer.
        const PREFILL_SHARE: f64 = 0.25;
        let step_ms =
            self.step_ms + self.per_sequence_ms * f64::from(self.slots);
        self.usual_answer_tokens * step_ms * (1.0 + PREFILL_SHARE)
    }
}

/// The organisation that sends requests with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: Name,
    /// Overrides the route's priority if set.
    pub priority: Option<u8>,
    /// The regions in which its requests may be served; any if empty.
    pub regions: Vec<Name>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a head in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a body in bytes.
    pub max_body_bytes: usize,
    /// The maximum time in which a head must arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// The maximum time for which a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// Returns the limits in force until a configuration is known.
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Why no route was found for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRoute {
    /// No route matches its host and path.
    Unknown,
    /// The API key is missing or unknown.
    Unauthorised,
}

impl Routing {
    /// Creates an empty configuration with a version number.
    pub fn new(version: u64) -> Routing {
        Routing { version, ..Routing::default() }
    }

    /// Adds a route.
    pub fn with_route(mut self, route: Route) -> Routing {
        let is_stream = route.kind == RouteKind::Streaming;
        for (service, _) in route.backends.iter().filter(|_| is_stream) {
            let priority = route.priority;
            let known = self.priorities.entry(service.clone());
            let range = known.or_insert((priority, priority));
            *range = (range.0.min(priority), range.1.max(priority));
        }
        let routes = self.routes.entry(route.host.clone()).or_default();
        routes.push(Arc::new(route));
        routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        self
    }

    /// Adds a service.
    pub fn with_service(mut self, service: Service) -> Routing {
        self.services.insert(service.name.clone(), Arc::new(service));
        self
    }

    /// Requires a key on every route that is not public. Without an
    /// organisation that holds one, such routes accept no request.
    pub fn with_keys_required(mut self) -> Routing {
        if let Access::Open = self.access {
            self.access = Access::Keys(HashMap::new());
        }
        self
    }

    /// Adds an organisation with its keys, and requires a key as
    /// [`Routing::with_keys_required`] does.
    pub fn with_organisation(
        self,
        organisation: Organisation,
        keys: impl IntoIterator<Item = Name>,
    ) -> Routing {
        let mut routing = self.with_keys_required();
        if let Access::Keys(known) = &mut routing.access {
            let organisation = Arc::new(organisation);
            let keys = keys.into_iter();
            known.extend(keys.map(|key| (key, organisation.clone())));
        }
        routing
    }

    /// Sets the limits on callers' requests.
    pub fn with_limits(mut self, limits: Limits) -> Routing {
        self.limits = limits;
        self
    }

    /// Returns the route for a host and path, and the organisation of the key.
    ///
    /// # Errors
    ///
    /// [`NoRoute`] if no route matches, or if the key is missing or unknown
    /// and the route is not public.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(Arc<Route>, Option<Arc<Organisation>>), NoRoute> {
        let route = self
            .routes
            .get(host)
            .and_then(|routes| {
                routes.iter().find(|r| path.starts_with(&*r.path_prefix))
            })
            .ok_or(NoRoute::Unknown)?;
        let organisation = match &self.access {
            Access::Open => return Ok((route.clone(), None)),
            Access::Keys(keys) => key.and_then(|key| keys.get(key)).cloned(),
        };
        if organisation.is_none() && !route.is_public {
            return Err(NoRoute::Unauthorised);
        }
        Ok((route.clone(), organisation))
    }

    /// Returns whether the streams of a service have different priorities, so
    /// that its requests have ranks. Other requests hold a target for some
    /// tens of milliseconds, so that their order hardly matters.
    pub fn is_ranked(&self, service: &str) -> bool {
        let range = self.priorities.get(service);
        range.is_some_and(|(lowest, highest)| lowest < highest)
    }

    /// Returns the regions to which a route of an HTTP host limits its
    /// requests; empty if none does.
    pub fn bound_regions(&self, host: &str) -> Vec<Name> {
        let routes = self.routes.get(host).into_iter().flatten();
        let mut regions: Vec<Name> =
            routes.flat_map(|route| route.regions.iter().cloned()).collect();
        regions.sort_unstable();
        regions.dedup();
        regions
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns all routes in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Returns the address of the origin of weights, if there is one.
    pub fn origin(&self) -> Option<SocketAddr> {
        self.services().find_map(|service| service.origin)
    }

    /// Returns the number of connections that the origins of weights accept
    /// together.
    pub fn origin_connections(&self) -> u32 {
        self.services()
            .filter(|service| service.origin.is_some())
            .map(|service| service.max_connections)
            .sum()
    }

    /// Returns whether every request that a service answers may be sent again.
    pub fn is_resumable(&self, service: &str) -> bool {
        self.routes()
            .filter(|r| r.backends.iter().any(|(name, _)| &**name == service))
            .all(|r| r.may_repeat())
    }
}
