//! Tracks which orders the target may still carry out.
//!
//! An unanswered order may be carried out at any later time, and then loads
//! whatever is staged. Each order therefore names the start of the target for
//! which it is intended and the number of orders that this start has begun.
//! The target refuses it once another order has begun or the target has
//! restarted. Until then only the version named in the order may be staged.

use super::{OrderGuard, OrderOutcome, TargetStart};
use crate::Name;

/// The minimum time between two queries of the target's start while it is not
/// known, in milliseconds: the time that one query may take.
const QUERY_INTERVAL_MS: u64 = 400;

/// An order sent to the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Order {
    /// The version to load.
    pub version: u64,
    /// The condition under which the target accepts it.
    pub guard: OrderGuard,
}

/// What is known about the target's current start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartKnowledge {
    /// It may differ from the known one.
    Uncertain {
        /// The target is not queried before this time.
        query_from_ms: u64,
    },
    /// A query is in progress.
    Queried,
    /// The known id is that of the current start.
    Known,
}

/// The change that an answer about the target's start shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartChange {
    /// No usable answer, or the start is the known one.
    Unchanged,
    /// The first start known to this agent.
    First,
    /// The target has restarted.
    Restarted,
}

/// The orders of this agent, and the start of the target to which they apply.
#[derive(Debug)]
pub(super) struct Orders {
    knowledge: StartKnowledge,
    /// Whether any answer about the start has been received.
    is_reported: bool,
    /// The id of the last known start.
    start: Option<Name>,
    /// The order whose answer is pending.
    sent: Option<Order>,
    /// An unanswered order that may still be carried out.
    open: Option<Order>,
}

impl Default for Orders {
    /// No order, and no known start.
    fn default() -> Orders {
        Orders {
            knowledge: StartKnowledge::Uncertain { query_from_ms: 0 },
            is_reported: false,
            start: None,
            sent: None,
            open: None,
        }
    }
}

impl Orders {
    /// Marks the start as uncertain because the target may have restarted.
    pub fn mark_start_uncertain(&mut self) {
        if self.knowledge == StartKnowledge::Known {
            self.knowledge = StartKnowledge::Uncertain { query_from_ms: 0 };
        }
    }

    /// Returns whether to query the target's start now. If so, the query is
    /// recorded as being in progress.
    pub fn begin_start_query(&mut self, now_ms: u64) -> bool {
        match self.knowledge {
            StartKnowledge::Uncertain { query_from_ms }
                if now_ms >= query_from_ms =>
            {
                self.knowledge = StartKnowledge::Queried;
                true
            }
            _ => false,
        }
    }

    /// Records which start is running. A new start invalidates orders for the
    /// previous one.
    pub fn record_start(
        &mut self,
        now_ms: u64,
        reported: TargetStart,
    ) -> StartChange {
        let start = match reported {
            TargetStart::Named(id) => Some(id),
            TargetStart::Untold if self.start.is_none() => None,
            // A target that has reported a start id keeps doing so; an answer
            // without one means that the target could not respond.
            TargetStart::Untold | TargetStart::Lost => {
                let query_from_ms = now_ms + QUERY_INTERVAL_MS;
                self.knowledge = StartKnowledge::Uncertain { query_from_ms };
                return StartChange::Unchanged;
            }
        };
        self.knowledge = StartKnowledge::Known;
        let change = match &self.start {
            _ if !self.is_reported => StartChange::First,
            _ if start == self.start => StartChange::Unchanged,
            // The same start may have run before it reported its id.
            None => StartChange::First,
            Some(_) => StartChange::Restarted,
        };
        self.is_reported = true;
        self.start = start;
        if change == StartChange::Restarted {
            let is_void = |order: &mut Order| order.guard.start.is_some();
            self.sent.take_if(is_void);
            self.open.take_if(is_void);
        }
        change
    }

    /// Returns the guard for a new order when the target has begun `orders`
    /// orders; `None` if no order can be sent now.
    pub fn guard(&self, orders: u64) -> Option<OrderGuard> {
        let is_free = self.is_start_known() && self.sent.is_none();
        is_free.then(|| OrderGuard { start: self.start.clone(), orders })
    }

    /// Records that an order is being sent.
    pub fn record_sent(&mut self, order: Order) {
        self.sent = Some(order);
    }

    /// Records the outcome of the order that was sent with `guard`, when the
    /// target has begun `orders` orders. Returns the order; `None` if it is no
    /// longer pending.
    pub fn record_outcome(
        &mut self,
        guard: &OrderGuard,
        outcome: OrderOutcome,
        orders: u64,
    ) -> Option<Order> {
        let order = self.sent.take_if(|sent| sent.guard == *guard)?;
        match outcome {
            OrderOutcome::Taken => self.open = None,
            OrderOutcome::Refused => {}
            OrderOutcome::Misdirected => self.mark_start_uncertain(),
            OrderOutcome::Unanswered if orders > order.guard.orders => {}
            OrderOutcome::Unanswered => self.open = Some(order.clone()),
        }
        Some(order)
    }

    /// Treats the pending order as unanswered because the target has
    /// restarted: its answer may never arrive, and it may still be carried
    /// out.
    pub fn on_target_restart(&mut self) {
        if let Some(sent) = self.sent.take() {
            self.open = Some(sent);
        }
    }

    /// Records the number of orders that the target has begun. Returns the
    /// version of an open order that can no longer be carried out, because it
    /// or its repetition has been.
    pub fn record_begun_count(&mut self, orders: u64) -> Option<u64> {
        let is_past = |order: &mut Order| orders > order.guard.orders;
        let open = self.open.take_if(is_past)?;
        // Its repetition has been refused by now, or is the order that was
        // carried out.
        self.sent.take_if(is_past);
        Some(open.version)
    }

    /// Returns the version of an open order that would change what the target
    /// serves.
    pub fn open_version(&self, served: u64) -> Option<u64> {
        let open = self.open.as_ref()?;
        (open.version > served).then_some(open.version)
    }

    /// Returns whether the current start of the target is known.
    pub fn is_start_known(&self) -> bool {
        self.knowledge == StartKnowledge::Known
    }
}
