//! Queries of an agent to the store while no entry host sends it briefings.
//!
//! Entry hosts send briefings to every agent in the list of targets, so an
//! agent only needs the store while it receives none. After a loss of power
//! all machines of a fleet start at once: if each agent then read the
//! configuration, the store and the agents' links would be busy for seconds.

use std::{cell::Cell, rc::Rc};

use raildale_core::{
    catalog::{Kind, StoredObject},
    swarm::{Event, Peer},
};
use tokio::sync::mpsc;

use super::service_info::ServiceInfo;
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
    store_list::{self, Listing},
};

/// The minimum pause between two rounds of queries, in milliseconds: calls of
/// the store are costly.
const QUERY_PAUSE_MS: u64 = 2_000;

/// The pause after a round that took long, as a multiple of its time. Entry
/// hosts may be reading the same long list over the same link, and once they
/// have it no agent needs it.
const LONG_QUERY_PAUSE: u64 = 2;

/// The queries of an agent to the store.
#[derive(Debug)]
pub struct StoreQueries<P> {
    platform: Rc<P>,
    service: String,
    service_info: Rc<ServiceInfo>,
    events: mpsc::UnboundedSender<Event>,
    is_running: Cell<bool>,
    /// The earliest time of the next round, in milliseconds of the steady
    /// clock.
    due_ms: Cell<u64>,
}

impl<P: Dialect + Store + 'static> StoreQueries<P> {
    /// Creates queries about `service`, whose results go to `service_info` and
    /// `events`.
    pub fn new(
        platform: Rc<P>,
        service: String,
        service_info: Rc<ServiceInfo>,
        events: mpsc::UnboundedSender<Event>,
    ) -> StoreQueries<P> {
        StoreQueries {
            platform,
            service,
            service_info,
            events,
            is_running: Cell::new(false),
            due_ms: Cell::new(0),
        }
    }

    /// Starts a round of queries, unless one is running or has just ended. The
    /// answers may take seconds, so the round runs in its own task.
    pub fn start(self: &Rc<Self>) {
        let started_ms = now_ms();
        if self.is_running.get() || started_ms < self.due_ms.get() {
            return;
        }
        self.is_running.set(true);
        let queries = self.clone();
        tokio::task::spawn_local(async move {
            queries.query_all().await;
            let ended_ms = now_ms();
            let took_ms = ended_ms.saturating_sub(started_ms);
            let pause_ms = QUERY_PAUSE_MS.max(LONG_QUERY_PAUSE * took_ms);
            queries.due_ms.set(ended_ms + pause_ms);
            queries.is_running.set(false);
        });
    }

    async fn query_all(&self) {
        let layout = self.query_layout().await;
        for event in self.query_versions().await {
            self.send_event(event);
        }
        if let Some(peers) = self.query_peers().await {
            self.send_event(peers);
        }
        if let Some(layout) = layout {
            self.send_event(layout);
        }
    }

    fn send_event(&self, event: Event) {
        // The main loop, which receives events, only ends with the process.
        let _ = self.events.send(event);
    }

    /// Reads the configuration. Returns how the service's weights are spread;
    /// `None` if unknown.
    async fn query_layout(&self) -> Option<Event> {
        let objects = self.list(Kind::Configuration).await?;
        let mut layout = None;
        for object in &objects {
            let routing = match self.platform.routing(&object.body) {
                Ok(routing) => routing,
                Err(error) => {
                    log::warn!("configuration: {error}");
                    continue;
                }
            };
            self.service_info.update(None, routing.origin());
            let Some(service) = routing.service(&self.service) else {
                continue;
            };
            let Some(engine) = &service.engine else { continue };
            self.service_info.update(engine.models.first().cloned(), None);
            self.service_info.set_health_path(&service.health_path);
            layout = Some(Event::Layout {
                chunk_count: engine.chunk_count,
                may_cut: routing.is_resumable(&service.name),
                origin_connections: routing.origin_connections(),
            });
        }
        layout
    }

    /// Reads the named versions of the target's model.
    async fn query_versions(&self) -> Vec<Event> {
        let Some(objects) = self.list(Kind::Versions).await else {
            return Vec::new();
        };
        let named_ms = now_ms();
        let model = self.service_info.model();
        let mut events = Vec::new();
        for object in &objects {
            match self.platform.named_weights(&object.body) {
                Ok(named) if Some(&named.model) == model.as_ref() => {
                    let version = named.version;
                    events.push(Event::Named { version, named_ms });
                }
                Ok(_) => {}
                Err(error) => log::warn!("version: {error}"),
            }
        }
        events
    }

    /// Reads the service's targets. Returns their agents; `None` if the list
    /// could not be read.
    async fn query_peers(&self) -> Option<Event> {
        let objects = self.list(Kind::Targets).await?;
        let mut peers = Vec::new();
        for object in &objects {
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
                // The list may be older than a loss of power, so which agents
                // hold a version is only taken from briefings.
                whole_version: 0,
                serves_version: spec.serves_version.unwrap_or(0),
                is_slow: false,
            });
        }
        Some(Event::Peers(peers))
    }

    /// Reads a list that may be stale, which costs the store less, as far as
    /// it can be read. Returns `None` after logging a failure.
    async fn list(&self, kind: Kind) -> Option<Vec<StoredObject>> {
        match store_list::list(&*self.platform, kind, true).await {
            Ok(Listing::Whole(snapshot)) => Some(snapshot.objects),
            Ok(Listing::Partial(part, failure)) => {
                let unread_after = part.unread_after;
                log::warn!(
                    "listing {kind:?} in the store after {unread_after:?}: \
                     {failure:?}"
                );
                Some(part.snapshot.objects)
            }
            Err(failure) => {
                log::info!("listing {kind:?} in the store: {failure:?}");
                None
            }
        }
    }
}
