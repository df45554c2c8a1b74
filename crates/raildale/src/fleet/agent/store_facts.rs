//! What an agent asks the store for: the model and the origin, which only
//! the store tells, and at the start what briefings tell later.

use std::{net::SocketAddr, rc::Rc};

use raildale_core::{
    Name,
    catalog::{Kind, Snapshot},
    swarm::{Event, Peer},
};

use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

/// Time between two rounds of questions to the store, in milliseconds: calls
/// of the store are dear.
const STORE_PAUSE_MS: u64 = 2_000;

/// What the store told of the service of an agent's target.
#[derive(Debug)]
pub struct StoreFacts<P> {
    platform: Rc<P>,
    service: String,
    model: Option<Name>,
    origin: Option<SocketAddr>,
    asked_ms: u64,
}

impl<P: Dialect + Store> StoreFacts<P> {
    /// Nothing told yet of `service`.
    pub fn new(platform: Rc<P>, service: String) -> StoreFacts<P> {
        StoreFacts {
            platform,
            service,
            model: None,
            origin: None,
            asked_ms: 0,
        }
    }

    /// The model that the target loads.
    pub fn model(&self) -> Option<Name> {
        self.model.clone()
    }

    /// Where the origin of weights listens.
    pub fn origin(&self) -> Option<SocketAddr> {
        self.origin
    }

    /// Whether both the model and the origin are known.
    pub fn is_complete(&self) -> bool {
        self.model.is_some() && self.origin.is_some()
    }

    /// Whether the store may be asked again.
    pub fn may_ask(&self, now_ms: u64) -> bool {
        now_ms > self.asked_ms + STORE_PAUSE_MS
    }

    /// Notes that a round of questions begins.
    pub fn begin_round(&mut self) {
        self.asked_ms = now_ms();
    }

    /// Asks for the configuration; tells how weights are spread.
    pub async fn ask_layout(&mut self) -> Option<Event> {
        let snapshot = self.list(Kind::Configuration).await?;
        let mut layout = None;
        for object in &snapshot.objects {
            let routing = match self.platform.routing(&object.body) {
                Ok(routing) => routing,
                Err(error) => {
                    log::warn!("configuration: {error}");
                    continue;
                }
            };
            self.origin =
                routing.services().find_map(|service| service.origin);
            let Some(service) = routing.service(&self.service) else {
                continue;
            };
            let Some(engine) = &service.engine else { continue };
            self.model = engine.models.first().cloned();
            layout = Some(Event::Layout {
                chunk_count: engine.chunk_count,
                may_cut: routing.is_resumable(&service.name),
                origin_connections: routing.origin_connections(),
            });
        }
        layout
    }

    /// Asks for the versions of the model that were named.
    pub async fn ask_versions(&self) -> Vec<Event> {
        let Some(snapshot) = self.list(Kind::Versions).await else {
            return Vec::new();
        };
        let named_ms = now_ms();
        let mut events = Vec::new();
        for object in &snapshot.objects {
            match self.platform.named_weights(&object.body) {
                Ok(named) if Some(&named.model) == self.model.as_ref() => {
                    let version = named.version;
                    events.push(Event::Named { version, named_ms });
                }
                Ok(_) => {}
                Err(error) => log::warn!("version: {error}"),
            }
        }
        events
    }

    /// Asks for the service's targets; tells their agents.
    pub async fn ask_peers(&self) -> Option<Event> {
        let snapshot = self.list(Kind::Targets).await?;
        let mut peers = Vec::new();
        for object in &snapshot.objects {
            let spec = match self.platform.target(object) {
                Ok(spec) => spec,
                Err(error) => {
                    log::warn!("target {}: {error}", object.name);
                    continue;
                }
            };
            if *spec.service != *self.service {
                continue;
            }
            peers.push(Peer {
                ip: spec.address.ip(),
                data_centre: spec.data_centre,
                // The list may be older than a loss of power: who holds
                // what is believed from briefings alone.
                whole_version: 0,
                serves_version: spec.serves_version.unwrap_or(0),
                is_slow: false,
            });
        }
        Some(Event::Peers(peers))
    }

    /// A list that may be stale: it costs the store less.
    async fn list(&self, kind: Kind) -> Option<Snapshot> {
        match self.platform.list(kind, true).await {
            Ok(snapshot) => Some(snapshot),
            Err(failure) => {
                log::info!("store: {kind:?}: {failure:?}");
                None
            }
        }
    }
}
