//! The state that the tasks of an entry host share.
//!
//! * [`store_mirror`]: the local copy of the store, by kind of object.
//! * `changes`: applies the store's changes to routing and members.
//! * `evacuations`: data centres that the operator evacuates.
//! * `naming_records`: stored records of when versions were named.
//! * `notices`: what targets announce in their answers.
//! * `restores`: detection of restores of the store from an older copy.
//! * `suspects`: losses and records of requests that end their targets.

mod changes;
mod evacuations;
mod naming_records;
mod notices;
mod restores;
pub mod store_mirror;
mod suspects;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use raildale_core::{
    LogEvent, Name,
    catalog::{HeardChanges, Kind, Stamp},
    gateway::{
        Admission, Fingerprint, Gateway, GatewayConfig, Service,
        evacuations::Evacuations, retry_budget::RetryBound, routes::Limits,
    },
    members::{MemberEntry, Members, joining::Joining, sources::Sources},
};
use tokio::sync::watch;

use self::store_mirror::StoreMirror;
pub use self::suspects::unix_ms;
use super::{
    answer_memory::AnswerMemory, bodies::Bodies, delays::Pauses, ports::Ports,
    resources::Resources, snapshots::PackedSnapshots, upstream::Pool,
};
use crate::{
    error::{Error, ErrorKind},
    fleet::{
        edge::{Dialect, Store},
        settings::{FleetFile, ListenSettings, NodeSettings},
        steady_clock::now_ms,
    },
    logs,
    metrics::Metrics,
};

/// The state that the tasks of an entry host share.
#[derive(Debug)]
pub struct EntryHost<P> {
    /// The platform's adapter.
    pub platform: P,
    /// The settings of this process.
    pub node: NodeSettings,
    /// The addresses on which it listens for callers.
    pub listen: ListenSettings,
    /// Routing, targets and the state of requests.
    pub gateway: RefCell<Gateway>,
    /// The entry hosts of the fleet.
    pub members: RefCell<Members>,
    /// Kept connections to targets.
    pub pool: Pool,
    /// The ports to which others connect.
    pub ports: Ports,
    /// The bodies of callers' requests.
    pub bodies: Rc<Bodies>,
    /// The memory for answers and events that are being read.
    pub answer_memory: AnswerMemory,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The times in which this process did not run.
    pub pauses: Pauses,
    /// The number of callers' requests in progress.
    pub in_progress: Cell<usize>,
    /// Set once callers' connections must close as soon as the answers in
    /// progress are written; each connection subscribes to it.
    pub closing: watch::Sender<bool>,
    /// Set once requests in progress must be answered because the process is
    /// about to exit.
    pub final_answers: watch::Sender<bool>,
    /// When it was told to stop, in milliseconds of the steady clock; `None`
    /// before that.
    pub leaving_since_ms: Cell<Option<u64>>,
    /// How long callers may cache the list of addresses, in seconds.
    pub address_ttl_s: f64,
    /// Wakes the task that sends heartbeats and briefings.
    pub briefing_due: tokio::sync::Notify,
    /// Wakes the task that sends urgent heartbeats, after a request has lost a
    /// target or a target has begun to take less.
    pub urgent_heartbeat_due: tokio::sync::Notify,
    /// Wakes every watch of the store after connections to it have gone
    /// silent.
    pub store_silent: tokio::sync::Notify,
    /// Wakes every watch of the store after it was restored, so that all kinds
    /// are listed again.
    pub store_restored: tokio::sync::Notify,
    /// The stamp of the last answer to the watch of versions: the store's last
    /// change of any kind at that time.
    pub store_head: watch::Sender<Stamp>,
    /// The changes that the answers of the store have shown.
    pub heard_changes: RefCell<HeardChanges>,
    /// The local copy of the store.
    pub store_mirror: StoreMirror,
    /// Cached snapshots, packed for other entry hosts.
    pub packed: RefCell<PackedSnapshots>,
    /// The number of consecutive fetches from other entry hosts that timed
    /// out, limited to the maximum number of doublings plus one.
    pub fetch_timeouts: Cell<u32>,
    /// Kinds that are being fetched from another entry host.
    fetching: RefCell<BTreeSet<Kind>>,
    /// Fingerprints whose stored records are being written or deleted.
    pub claimed_records: RefCell<BTreeSet<Fingerprint>>,
    /// Whom it asks, and when, while it knows nothing yet.
    pub joining: RefCell<Joining>,
    /// Since when the store has not answered; `None` while it does.
    store_down_since_ms: Cell<Option<u64>>,
    /// The kinds whose last read from the store failed.
    failed_reads: RefCell<BTreeSet<Kind>>,
    /// When the store last recovered from an outage or was restored; 0 if
    /// neither has happened.
    store_recovered_ms: Cell<u64>,
    /// The highest era of the store that is known; `None` before the first.
    store_era: Cell<Option<u64>>,
    /// The stamps of the last answers of the store that were older than the
    /// local copy, by kind.
    older_answers: RefCell<BTreeMap<Kind, Stamp>>,
    /// The time from the signal to stop until the process is killed, in
    /// milliseconds.
    grace_ms: u64,
    /// When the records of each model's namings may be written again.
    naming_writes_ms: RefCell<BTreeMap<Name, u64>>,
    /// Whether the operator may evacuate data centres.
    has_evacuations: bool,
    name: Name,
}

/// How long callers may cache the list of addresses, in seconds: short, so
/// that an entry host that dies is soon left out.
const ADDRESS_TTL_S: f64 = 2.0;

/// The interval at which a held request checks whether this entry host is
/// ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The interval at which a leaving entry host checks for requests in progress.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The time between the planned exit and the kill, in milliseconds.
const EXIT_MARGIN_MS: u64 = 500;

/// How long before the planned exit requests that still wait for a target are
/// refused, in milliseconds: time to write the refusals, with a margin for a
/// process that runs late. The value is an estimate.
const REFUSAL_MARGIN_MS: u64 = 500;

/// How long before it is killed a leaving entry host refuses new requests, in
/// milliseconds: most streams end within that time. Callers use other entry
/// hosts by then.
const NO_NEW_REQUESTS_MS: u64 = 5_000;

/// How long before the planned exit requests without an answer get one, in
/// milliseconds: time to write it.
const FINAL_ANSWER_MARGIN_MS: u64 = 200;

/// The minimum time that a leaving entry host stays, in milliseconds: callers
/// cache its address for a while.
const MIN_LEAVE_MS: u64 = 4_500;

impl<P: Dialect + Store + 'static> EntryHost<P> {
    /// Creates an entry host that knows nothing yet.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Config`] if the settings lack the `listen` section.
    pub fn new(file: &FleetFile, platform: P) -> Result<EntryHost<P>, Error> {
        let listen = file.listen.clone().ok_or_else(|| {
            Error::new(ErrorKind::Config, "listen: required for an entry host")
        })?;
        let node = file.node.clone();
        let data_centre = Name::from(node.data_centre.as_str());
        let own = MemberEntry {
            name: Name::from(node.name.as_str()),
            ip: node.ip,
            data_centre: data_centre.clone(),
            cpu_millis: file.machine.cpu_millis(),
        };
        let bounds = &file.bounds;
        let mut gateway = Gateway::new(GatewayConfig {
            data_centre,
            retries: RetryBound {
                ratio: bounds.retry_ratio,
                extra: bounds.retry_extra,
            },
            version_ms: bounds.version_ms,
            regions: file.regions(),
        });
        gateway.targets.set_fleet_known(false);
        let resources = Resources::new(&file.machine);
        let ports = Ports::new(&resources);
        let is_seed = node.seeds.iter().any(|seed| seed.ip() == node.ip);
        let has_evacuations = bounds.evacuate_ms > 0;
        if has_evacuations {
            gateway.targets.evacuations = Evacuations::pending();
        }
        Ok(EntryHost {
            platform,
            listen,
            gateway: RefCell::new(gateway),
            members: RefCell::new(Members::new(own)),
            pool: Pool::new(),
            bodies: Bodies::new(resources.body_bytes),
            answer_memory: AnswerMemory::new(
                &resources,
                ports.callers.clone(),
            ),
            ports,
            metrics: Metrics::new(),
            pauses: Pauses::default(),
            in_progress: Cell::new(0),
            closing: watch::Sender::new(false),
            final_answers: watch::Sender::new(false),
            leaving_since_ms: Cell::new(None),
            address_ttl_s: ADDRESS_TTL_S.min(bounds.ttl_max_s),
            briefing_due: tokio::sync::Notify::new(),
            urgent_heartbeat_due: tokio::sync::Notify::new(),
            store_silent: tokio::sync::Notify::new(),
            store_restored: tokio::sync::Notify::new(),
            store_head: watch::Sender::default(),
            heard_changes: RefCell::default(),
            store_mirror: StoreMirror::new(),
            packed: RefCell::default(),
            fetch_timeouts: Cell::default(),
            fetching: RefCell::default(),
            claimed_records: RefCell::default(),
            joining: RefCell::new(Joining::new(now_ms(), is_seed, |range| {
                rand::random_range(range)
            })),
            store_down_since_ms: Cell::new(None),
            failed_reads: RefCell::default(),
            store_recovered_ms: Cell::new(0),
            store_era: Cell::new(None),
            older_answers: RefCell::default(),
            grace_ms: (bounds.grace_s * 1e3) as u64,
            naming_writes_ms: RefCell::default(),
            has_evacuations,
            name: Name::from(node.name.as_str()),
            node,
        })
    }

    /// Returns the kinds of object that this fleet uses.
    pub fn kinds(&self) -> &'static [Kind] {
        Kind::in_use(self.has_evacuations)
    }

    /// Decides anew whether callers are named only some entry hosts.
    pub fn update_concentration(&self) {
        let slots = self.gateway.borrow().model_slots(None);
        let mut members = self.members.borrow_mut();
        if !members.update_concentration(now_ms(), slots) {
            return;
        }
        let is_on = members.is_concentrating();
        let hosts = members.others().count() + 1;
        drop(members);
        self.metrics.set("callers_concentrated", "", u64::from(is_on));
        let detail = format!("on={is_on} slots={slots} entry_hosts={hosts}");
        self.log(LogEvent::Concentration, &detail);
    }

    /// Logs a numbered event.
    pub fn log(&self, event: LogEvent, detail: &str) {
        logs::event(&self.name, event, detail);
    }

    /// Logs the start of the process.
    pub fn log_start(&self) {
        let detail = format!(
            "role=entry ip={} data_centre={}",
            self.node.ip, self.node.data_centre
        );
        self.log(LogEvent::Started, &detail);
    }

    /// Logs a signal to reload the settings file. Its values for a process,
    /// addresses and bounds, only take effect at a start.
    pub fn log_reload(&self) {
        self.log(
            LogEvent::Reloaded,
            "the settings file is only read at start",
        );
    }

    /// Returns the limits on callers' requests: those in force, or the
    /// defaults while no configuration is known.
    pub fn limits(&self) -> Limits {
        self.gateway
            .borrow()
            .routing()
            .map(|routing| routing.limits)
            .unwrap_or_default()
    }

    /// Whether it is ready for callers' requests.
    pub fn is_ready(&self) -> bool {
        let knows_targets = self.store_mirror.is_known(Kind::Targets);
        let has_routing = self.gateway.borrow().routing().is_some();
        let knows_evacuations = !self.has_evacuations
            || self.store_mirror.is_known(Kind::Evacuations);
        knows_targets && knows_evacuations && has_routing && !self.is_leaving()
    }

    /// Whether this entry host should read a kind from the store itself.
    pub fn may_ask_store(&self, kind: Kind) -> bool {
        self.with_sources(kind, |s| s.may_ask_store(now_ms(), kind))
    }

    /// Whether a kind may be fetched from another entry host.
    pub fn may_ask_peers(&self, kind: Kind) -> bool {
        self.with_sources(kind, |s| s.may_ask_peers(now_ms(), kind))
    }

    fn with_sources(
        &self,
        kind: Kind,
        decide: impl FnOnce(Sources<'_>) -> bool,
    ) -> bool {
        decide(Sources {
            members: &self.members.borrow(),
            joining: &self.joining.borrow(),
            is_known: self.store_mirror.is_known(kind),
            is_list_known: self.store_mirror.is_known(Kind::EntryHosts),
        })
    }

    /// Returns the milliseconds until the list of entry hosts may be fetched
    /// from the one at `ip`. A starting entry host gives those of its own data
    /// centre time to fetch it.
    pub fn list_wait_ms(&self, ip: IpAddr) -> u64 {
        let is_known = self.store_mirror.is_known(Kind::EntryHosts);
        if is_known || self.members.borrow().is_in_own_centre(ip) {
            return 0;
        }
        self.joining.borrow_mut().remote_wait_ms(now_ms())
    }

    /// Whether the store's list of entry hosts is known, or has been awaited
    /// for long enough.
    pub fn has_awaited_list(&self) -> bool {
        self.store_mirror.is_known(Kind::EntryHosts)
            || self.joining.borrow().writes_unlisted(now_ms())
    }

    /// Whether a kind is being fetched from another entry host.
    pub fn is_fetching(&self, kind: Kind) -> bool {
        self.fetching.borrow().contains(&kind)
    }

    /// Sets whether a kind is being fetched from another entry host.
    pub fn set_fetching(&self, kind: Kind, is_fetching: bool) {
        let mut fetching = self.fetching.borrow_mut();
        match is_fetching {
            true => fetching.insert(kind),
            false => fetching.remove(&kind),
        };
    }

    /// Returns until when a request may be held that arrives before this entry
    /// host can serve it, and whose caller waits for another `left_ms`.
    pub fn hold_end_ms(&self, left_ms: u64) -> u64 {
        let now = now_ms();
        now + self.joining.borrow().hold_ms(now, left_ms)
    }

    /// Waits until this entry host can serve requests, until `end_ms` at the
    /// latest.
    pub async fn wait_until_ready(&self, end_ms: u64) {
        self.wait_until(end_ms, || self.is_ready()).await;
    }

    /// Waits until it is known which requests are quarantined, and which
    /// versions of a service's weights there are, until `end_ms` at the latest.
    pub async fn wait_until_informed(&self, service: &Service, end_ms: u64) {
        let is_informed = || {
            let knows_versions =
                !self.gateway.borrow().awaits_versions(service);
            knows_versions && self.store_mirror.is_known(Kind::Quarantine)
        };
        self.wait_until(end_ms, is_informed).await;
    }

    /// Waits until `is_done` or this entry host leaves, until `end_ms` at the
    /// latest.
    async fn wait_until(&self, end_ms: u64, is_done: impl Fn() -> bool) {
        while !is_done() && !self.is_leaving() && now_ms() < end_ms {
            tokio::time::sleep(READY_CHECK_INTERVAL).await;
        }
    }

    /// Whether it has been told to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since_ms.get().is_some()
    }

    /// Whether it is leaving and new requests might not end in time.
    pub fn refuses_new_requests(&self) -> bool {
        self.exits_within(NO_NEW_REQUESTS_MS)
    }

    /// Whether requests that wait for a target must be refused because the
    /// process is about to exit.
    pub fn refuses_waiting_requests(&self) -> bool {
        self.exits_within(EXIT_MARGIN_MS + REFUSAL_MARGIN_MS)
    }

    fn exits_within(&self, left_ms: u64) -> bool {
        let stays_ms = self.grace_ms.saturating_sub(left_ms);
        self.leaving_since_ms
            .get()
            .is_some_and(|since_ms| now_ms() > since_ms + stays_ms)
    }

    /// Whether a request that is passed on now can be answered before this
    /// process exits.
    pub fn can_finish(&self, request: &Admission) -> bool {
        let now = now_ms();
        let end_ms = now + request.needed_ms(now);
        self.leaving_since_ms
            .get()
            .is_none_or(|since_ms| end_ms <= since_ms + self.stay_ms())
    }

    /// Returns the time from the signal to stop until requests without an
    /// answer get one, in milliseconds.
    fn stay_ms(&self) -> u64 {
        let margin_ms = EXIT_MARGIN_MS + FINAL_ANSWER_MARGIN_MS;
        self.grace_ms.saturating_sub(margin_ms)
    }

    /// Returns the address at which callers reach the entry host at `ip`: all
    /// listen on the same port.
    pub fn callers_address(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.listen.callers.port())
    }

    /// Shuts down: removes its entry, serves requests until none is in
    /// progress or the grace period is nearly over, then closes callers'
    /// connections.
    pub async fn leave(self: &Rc<Self>) {
        let start_ms = now_ms();
        self.leaving_since_ms.set(Some(start_ms));
        let running = self.in_progress.get();
        self.log(LogEvent::Stopping, &format!("in_progress={running}"));
        self.briefing_due.notify_one();
        let deleted = self.platform.delete_member(&self.node.name).await;
        if let Err(failure) = deleted {
            log::debug!("deleting the own entry: {failure:?}");
        }
        self.wait_until_idle(start_ms, start_ms + self.stay_ms()).await;
        self.final_answers.send_replace(true);
        let end_ms = start_ms + self.grace_ms.saturating_sub(EXIT_MARGIN_MS);
        self.wait_until_idle(start_ms, end_ms).await;
        self.end_connections(end_ms).await;
        let running = self.in_progress.get();
        self.log(LogEvent::Stopped, &format!("in_progress={running}"));
    }

    /// Waits until no request is in progress and the minimum stay since
    /// `start_ms` is over, but no later than `end_ms`.
    async fn wait_until_idle(&self, start_ms: u64, end_ms: u64) {
        let min_stay_ms = MIN_LEAVE_MS.min(self.grace_ms / 2);
        loop {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
            let now = now_ms();
            let is_idle =
                self.in_progress.get() == 0 && now > start_ms + min_stay_ms;
            if is_idle || now >= end_ms {
                return;
            }
        }
    }

    /// Closes callers' connections, each once its last answer is written, and
    /// waits for them until `end_ms`.
    async fn end_connections(&self, end_ms: u64) {
        self.closing.send_replace(true);
        let remaining = Duration::from_millis(end_ms.saturating_sub(now_ms()));
        let ended = self.closing.closed();
        if tokio::time::timeout(remaining, ended).await.is_err() {
            let open = self.closing.receiver_count();
            log::warn!("{open} callers' connections are still open");
        }
    }
}
