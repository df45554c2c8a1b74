//! Stages complete versions and changes the target over to them.

use super::{
    Effect, MAX_RETRY_PAUSE_MS, OrderGuard, OrderOutcome, RETRY_PAUSE_MS,
    Swarm, TargetStart, TargetState,
    orders::{Order, StartChange},
    prior_staging::{NextOrder, PriorStaging},
};
use crate::{
    log_event::LogEvent,
    swarm::{
        swap::{LoadMethod, Staging, SwapPhase},
        version::Version,
    },
};

/// Chunks that were staged longer ago than this are staged again before the
/// order, in milliseconds: staged data may become corrupt in the target.
const STAGED_FRESH_MS: u64 = 2_000;

/// An order that shows no effect within this time is given again, in
/// milliseconds.
const LOAD_TIMEOUT_MS: u64 = 4_000;

impl Swarm {
    /// Queries which start of the target is running, if that is uncertain.
    pub(super) fn query_start(
        &mut self,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        if self.target.is_up && self.orders.begin_start_query(now_ms) {
            effects.push(Effect::QueryStart);
        }
    }

    pub(super) fn on_target_start(
        &mut self,
        now_ms: u64,
        start: TargetStart,
        effects: &mut Vec<Effect>,
    ) {
        let detail = format!("start={start:?} orders={}", self.target.orders);
        match self.orders.record_start(now_ms, start) {
            StartChange::Unchanged => return,
            StartChange::First => {}
            StartChange::Restarted => {
                // No order of an earlier agent names this start.
                self.prior_staging = PriorStaging::Obsolete;
                self.phase = SwapPhase::Idle;
                self.not_before_ms = now_ms;
            }
        }
        effects.push(Effect::Log(LogEvent::TargetStarted, detail));
    }

    pub(super) fn on_target_state(
        &mut self,
        now_ms: u64,
        state: TargetState,
        effects: &mut Vec<Effect>,
    ) {
        let is_changed = state.is_up != self.target.is_up
            || state.serves_version != self.target.serves_version;
        if self.has_restarted(state) {
            self.on_target_restart(now_ms, state, effects);
        } else {
            self.log_unexpected_order(state, effects);
            self.record_begun_orders(now_ms, state);
        }
        self.target = state;
        self.last_born_ms = state.born_ms.or(self.last_born_ms);
        if let SwapPhase::Loading { version, since_ms, .. } = self.phase {
            if state.serves_version >= version {
                self.phase = SwapPhase::Idle;
                let took_ms = now_ms.saturating_sub(since_ms);
                let detail = format!("version={version} took_ms={took_ms}");
                effects.push(Effect::Log(LogEvent::Activated, detail));
            } else if now_ms > since_ms + LOAD_TIMEOUT_MS {
                self.phase = SwapPhase::Idle;
                let detail = format!("version={version} reason=no effect");
                effects.push(Effect::Log(LogEvent::ActivationFailed, detail));
            }
        }
        if is_changed {
            effects.push(Effect::Report);
        }
    }

    /// Returns whether the reported start time has changed since the last
    /// report: the target has restarted, whether or not its start id is a new
    /// one.
    fn has_restarted(&self, state: TargetState) -> bool {
        let known_ms = self.last_born_ms;
        state.is_up && known_ms.is_some() && state.born_ms != known_ms
    }

    /// Handles a restart, after which nothing is staged in the target. An
    /// unanswered order may still match the target's state and be carried out,
    /// so it stays open.
    fn on_target_restart(
        &mut self,
        now_ms: u64,
        state: TargetState,
        effects: &mut Vec<Effect>,
    ) {
        self.orders.mark_start_uncertain();
        self.orders.on_target_restart();
        self.prior_staging = PriorStaging::Obsolete;
        self.phase = SwapPhase::Idle;
        self.not_before_ms = now_ms;
        let detail = format!("born_ms={:?}", state.born_ms);
        effects.push(Effect::Log(LogEvent::TargetStarted, detail));
    }

    /// Logs an order that the target has begun without an answer that reported
    /// it.
    fn log_unexpected_order(
        &self,
        state: TargetState,
        effects: &mut Vec<Effect>,
    ) {
        let is_loading = matches!(self.phase, SwapPhase::Loading { .. });
        let known = self.target.orders;
        if !self.target.is_up || is_loading || state.orders <= known {
            return;
        }
        let detail = format!(
            "orders={} known={known} serves={} served={}",
            state.orders, state.serves_version, self.target.serves_version,
        );
        effects.push(Effect::Log(LogEvent::UnexpectedOrder, detail));
    }

    /// Records the number of orders that the target has begun. If it has
    /// grown, an order without an answer may have been carried out, and no
    /// other order with that count can be.
    fn record_begun_orders(&mut self, now_ms: u64, state: TargetState) {
        let known = self.target.orders;
        if !state.is_up || state.orders < known {
            self.orders.mark_start_uncertain();
            return;
        }
        if self.target.is_up && state.orders > known {
            self.prior_staging = PriorStaging::Obsolete;
        }
        let Some(carried_out) = self.orders.record_begun_count(state.orders)
        else {
            return;
        };
        match self.phase {
            SwapPhase::Draining { version, staging, .. }
            | SwapPhase::Loading { version, staging, .. }
                if version == carried_out =>
            {
                let since_ms = now_ms;
                self.phase = SwapPhase::Loading { version, since_ms, staging };
            }
            _ => {}
        }
    }

    pub(super) fn on_staged(
        &mut self,
        now_ms: u64,
        version: u64,
        is_done: bool,
    ) {
        self.is_staging = false;
        let SwapPhase::Draining { version: next, since_ms, mut staging } =
            self.phase
        else {
            return;
        };
        if next != version {
            return;
        }
        if is_done {
            staging.is_done = true;
            self.phase = SwapPhase::Draining { version, since_ms, staging };
        } else {
            self.phase = SwapPhase::Idle;
            self.not_before_ms = now_ms + RETRY_PAUSE_MS;
        }
    }

    pub(super) fn on_order_outcome(
        &mut self,
        now_ms: u64,
        guard: &OrderGuard,
        outcome: OrderOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let orders = self.target.orders;
        let pending = self.orders.record_outcome(guard, outcome, orders);
        if pending.is_none() {
            return;
        }
        let pause_ms = match outcome {
            OrderOutcome::Taken => {
                self.prior_staging = PriorStaging::Obsolete;
                return;
            }
            OrderOutcome::Refused => MAX_RETRY_PAUSE_MS,
            OrderOutcome::Misdirected | OrderOutcome::Unanswered => {
                RETRY_PAUSE_MS
            }
        };
        let SwapPhase::Loading { version, since_ms, staging } = self.phase
        else {
            return;
        };
        self.not_before_ms = now_ms + pause_ms;
        let served = self.target.serves_version;
        // An order that may still be carried out is repeated until it has
        // been: nothing else may be staged before that.
        self.phase = match self.orders.open_version(served) {
            Some(_) => SwapPhase::Draining { version, since_ms, staging },
            None => SwapPhase::Idle,
        };
        let detail = format!(
            "version={version} reason={outcome:?} orders={orders} \
             expected={}",
            guard.orders,
        );
        effects.push(Effect::Log(LogEvent::ActivationFailed, detail));
    }

    pub(super) fn swap(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        match self.phase {
            SwapPhase::Idle => self.begin_swap(now_ms, effects),
            SwapPhase::Draining { version, since_ms, staging } => {
                self.order_if_drained(
                    now_ms, version, since_ms, staging, effects,
                );
            }
            SwapPhase::Loading { .. } => {}
        }
    }

    fn begin_swap(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let served = self.target.serves_version;
        let Some(next) = self.next_version(now_ms) else { return };
        let is_stale = next <= served || !self.target.is_up;
        let is_early = now_ms < self.not_before_ms;
        if is_stale || is_early || self.is_staging {
            return;
        }
        // The version of an open order may be staged again in any case.
        let is_open = self.orders.open_version(served).is_some();
        if !is_open && !self.orders.is_start_known() {
            return;
        }
        if served > 0 && now_ms < self.turn_ms(served, next) {
            return;
        }
        if self.next_order(now_ms) == NextOrder::Any {
            self.prior_staging = PriorStaging::Obsolete;
        }
        let staging = Staging { begun_ms: now_ms, is_done: false };
        let since_ms = now_ms;
        self.phase = SwapPhase::Draining { version: next, since_ms, staging };
        let detail = format!("version={next} serves={served}");
        effects.push(Effect::Log(LogEvent::SwapBegun, detail));
        effects.push(Effect::Report);
        self.stage(next, effects);
    }

    /// Returns the version to change over to, if all of its chunks are held.
    fn next_version(&self, now_ms: u64) -> Option<u64> {
        let whole =
            |version: &Version| version.is_whole().then_some(version.number);
        match self.next_order(now_ms) {
            NextOrder::Nothing => None,
            NextOrder::Only(version) => {
                self.versions.get(&version).and_then(whole)
            }
            NextOrder::Any => self.versions.values().rev().find_map(whole),
        }
    }

    /// Returns when this target's turn for the oldest outstanding version
    /// begins.
    fn turn_ms(&self, served: u64, next: u64) -> u64 {
        let (rank, count) = self.sources.rank();
        let held = self.versions.get(&next);
        let whole_ms = held.and_then(|held| held.whole_ms).unwrap_or(0);
        self.named
            .range(served + 1..=next)
            .map(|(_, named_ms)| {
                self.config.swap.turn_ms(*named_ms, whole_ms, rank, count)
            })
            .min()
            .unwrap_or(0)
    }

    /// Stages a version. Must not be called while another staging is active,
    /// whose chunks could overwrite those of this one.
    fn stage(&mut self, version: u64, effects: &mut Vec<Effect>) {
        let chunks = self.versions.get(&version).and_then(Version::chunks);
        if let Some(chunks) = chunks {
            self.is_staging = true;
            effects.push(Effect::Stage { version, chunks });
        }
    }

    fn order_if_drained(
        &mut self,
        now_ms: u64,
        version: u64,
        since_ms: u64,
        staging: Staging,
        effects: &mut Vec<Effect>,
    ) {
        if !staging.is_done || now_ms < self.not_before_ms {
            return;
        }
        let is_idle = self.target.running + self.target.queued == 0;
        let is_over = now_ms >= since_ms + self.config.swap.drain_ms;
        if !is_idle && !is_over && self.target.serves_version > 0 {
            return;
        }
        if now_ms > staging.begun_ms + STAGED_FRESH_MS {
            let staging = Staging { begun_ms: now_ms, is_done: false };
            self.phase = SwapPhase::Draining { version, since_ms, staging };
            self.stage(version, effects);
            return;
        }
        let Some(guard) = self.orders.guard(self.target.orders) else {
            return;
        };
        let method = match self.may_cut && !is_idle {
            true => LoadMethod::CutRunning,
            false => LoadMethod::AfterRunning,
        };
        self.phase = SwapPhase::Loading { version, since_ms: now_ms, staging };
        self.orders.record_sent(Order { version, guard: guard.clone() });
        effects.push(Effect::Order { version, method, guard });
    }
}
