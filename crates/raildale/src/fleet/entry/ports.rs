//! The ports of an entry host, whose connections have a limit.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::{Rc, Weak},
    time::Duration,
};

use raildale_core::{
    callers::connections::{Admittance, ConnectionId, Connections, Use},
    gateway::routes::Limits,
};
use tokio::sync::Notify;

use super::{answer_memory::AnswerReservation, resources::Resources};
use crate::fleet::steady_clock::now_ms;

/// The size up to which the head of a request counts as part of its connection,
/// in bytes.
const SHORT_HEAD_BYTES: usize = 32 << 10;

/// Added to the time that a head has to arrive: callers keep to it as they
/// measure it.
const HEAD_TIMEOUT_MARGIN: Duration = Duration::from_millis(2_000);

/// The ports of an entry host to which others connect.
#[derive(Debug)]
pub struct Ports {
    /// For requests.
    pub callers: Rc<Port>,
    /// For readiness checks and metrics.
    pub readiness: Rc<Port>,
    /// For queries for addresses.
    pub addresses: Rc<Port>,
    /// For other entry hosts.
    pub peers: Rc<Port>,
}

impl Ports {
    /// Creates the ports of an entry host.
    pub fn new(resources: &Resources) -> Ports {
        let service_port = || {
            let max_connections = resources.service_connections;
            Port::new(max_connections, resources.head_bytes)
        };
        let max_connections = resources.caller_connections;
        Ports {
            callers: Port::new(max_connections, resources.head_bytes),
            readiness: service_port(),
            addresses: service_port(),
            peers: Port::new(resources.peer_connections, resources.head_bytes),
        }
    }

    /// Sets the limits on callers' requests.
    pub fn set_limits(&self, limits: Limits) {
        for port in [&self.callers, &self.readiness, &self.addresses] {
            port.head_timeout.set(head_timeout(limits));
        }
    }
}

fn head_timeout(limits: Limits) -> Duration {
    Duration::from_millis(limits.header_timeout_ms) + HEAD_TIMEOUT_MARGIN
}

/// A port and its connections.
#[derive(Debug)]
pub struct Port {
    connections: RefCell<Connections>,
    places: RefCell<HashMap<ConnectionId, Weak<Place>>>,
    /// Wakes a connection that waits for a place.
    freed: Notify,
    /// What is left for heads beyond [`SHORT_HEAD_BYTES`], in bytes.
    free_head_bytes: Cell<usize>,
    /// The time in which a head has to arrive.
    head_timeout: Cell<Duration>,
}

impl Port {
    /// Creates a port for `max_connections`, whose long heads share
    /// `head_bytes`.
    pub fn new(max_connections: usize, head_bytes: usize) -> Rc<Port> {
        Rc::new(Port {
            connections: RefCell::new(Connections::new(max_connections)),
            places: RefCell::default(),
            freed: Notify::new(),
            free_head_bytes: Cell::new(head_bytes),
            head_timeout: Cell::new(head_timeout(Limits::default())),
        })
    }

    /// Returns a place for a connection that was accepted, once there is one.
    /// Another connection may have to close.
    pub async fn admit(self: &Rc<Port>) -> Rc<Place> {
        loop {
            let admittance = self.connections.borrow_mut().admit(now_ms());
            match admittance {
                Admittance::Free(id) => return self.place(id),
                Admittance::Instead(id, closed) => {
                    self.close(closed);
                    return self.place(id);
                }
                Admittance::Wait => self.freed.notified().await,
            }
        }
    }

    fn place(self: &Rc<Port>, id: ConnectionId) -> Rc<Place> {
        let place = Rc::new(Place {
            port: self.clone(),
            id,
            closer: Notify::new(),
            head_bytes: Cell::new(0),
            has_answer: Cell::new(false),
            reservation: RefCell::default(),
        });
        self.places.borrow_mut().insert(id, Rc::downgrade(&place));
        place
    }

    /// Returns the place of a connection that is open.
    fn find(&self, id: ConnectionId) -> Option<Rc<Place>> {
        self.places.borrow().get(&id)?.upgrade()
    }

    fn close(&self, id: ConnectionId) {
        if let Some(place) = self.find(id) {
            place.closer.notify_one();
        }
    }

    /// Closes the connections whose callers have read nothing for `ms` or
    /// longer of answers with reserved memory. Returns how many.
    pub fn close_unread(&self, ms: u64) -> usize {
        let blocked = self.connections.borrow().blocked_for(now_ms(), ms);
        let places = blocked.into_iter().filter_map(|id| self.find(id));
        let unread = places.filter(|place| place.has_reservation());
        unread.inspect(|place| place.closer.notify_one()).count()
    }
}

/// The place of a connection, which is free for others once this is dropped.
#[derive(Debug)]
pub struct Place {
    port: Rc<Port>,
    id: ConnectionId,
    /// Tells the connection that it has to close.
    closer: Notify,
    /// The bytes of a head that has not arrived whole.
    head_bytes: Cell<usize>,
    /// Whether an answer has been handed over and is being written.
    has_answer: Cell<bool>,
    /// The memory of that answer.
    reservation: RefCell<Option<AnswerReservation>>,
}

impl Place {
    /// Waits until another connection needs the place.
    pub async fn closed(&self) {
        self.closer.notified().await;
    }

    /// Returns the time in which a head has to arrive.
    pub fn head_timeout(&self) -> Duration {
        self.port.head_timeout.get()
    }

    /// Keeps the memory of an answer until it has been written.
    pub fn hold(&self, reservation: AnswerReservation) {
        *self.reservation.borrow_mut() = Some(reservation);
    }

    fn has_reservation(&self) -> bool {
        self.reservation.borrow().is_some()
    }

    /// Records that the whole answer to a request has been handed over to be
    /// written.
    pub fn record_answer(&self) {
        self.has_answer.set(true);
    }

    /// Records that all that was handed over has been written.
    pub fn record_written(&self) {
        if self.has_answer.take() {
            self.reservation.take();
            self.set_use(Use::Idle { since_ms: now_ms() });
        }
    }

    /// Returns since when a request's head has been arriving; `None` if none
    /// is.
    pub fn head_since_ms(&self) -> Option<u64> {
        match self.port.connections.borrow().used(self.id)? {
            Use::Head { since_ms } => Some(since_ms),
            Use::Idle { .. } | Use::Body { .. } | Use::Answer { .. } => None,
        }
    }

    /// Records bytes that have arrived. Returns whether there is room for them
    /// if they are part of a head.
    pub fn record_read(&self, bytes: usize) -> bool {
        let used = self.port.connections.borrow().used(self.id);
        match used {
            Some(Use::Idle { .. }) => {
                self.set_use(Use::Head { since_ms: now_ms() });
                self.grow_head(bytes)
            }
            Some(Use::Head { .. }) => self.grow_head(bytes),
            Some(Use::Body { .. } | Use::Answer { .. }) | None => true,
        }
    }

    fn grow_head(&self, bytes: usize) -> bool {
        let before = excess(self.head_bytes.get());
        self.head_bytes.set(self.head_bytes.get() + bytes);
        let more = excess(self.head_bytes.get()) - before;
        let free = self.port.free_head_bytes.get();
        self.port.free_head_bytes.set(free.saturating_sub(more));
        if more > free {
            // The part that there was room for is given back.
            let held = self.head_bytes.get() - (more - free);
            self.head_bytes.set(held);
        }
        more <= free
    }

    /// Records that a caller reads nothing of an answer, or that it does again.
    pub fn record_blocked(&self, is_blocked: bool) {
        let used = self.port.connections.borrow().used(self.id);
        let Some(Use::Answer { blocked_since_ms }) = used else { return };
        if is_blocked == blocked_since_ms.is_some() {
            return;
        }
        let blocked_since_ms = is_blocked.then(now_ms);
        self.set_use(Use::Answer { blocked_since_ms });
    }

    /// Records what the connection is used for. A head that was arriving has
    /// arrived. A request may arrive before the answer to the one before it has
    /// been written.
    pub fn set_use(&self, used: Use) {
        if !matches!(used, Use::Head { .. }) {
            self.release_head();
        }
        if let Use::Body { .. } = used {
            self.has_answer.set(false);
        }
        self.port.connections.borrow_mut().set_use(self.id, used);
    }

    fn release_head(&self) {
        let held = excess(self.head_bytes.take());
        let free = self.port.free_head_bytes.get();
        self.port.free_head_bytes.set(free + held);
    }
}

/// Returns the bytes of a head that come from the common memory.
fn excess(head_bytes: usize) -> usize {
    head_bytes.saturating_sub(SHORT_HEAD_BYTES)
}

impl Drop for Place {
    fn drop(&mut self) {
        self.release_head();
        self.port.connections.borrow_mut().end(self.id);
        self.port.places.borrow_mut().remove(&self.id);
        self.port.freed.notify_one();
    }
}
