//! Reports, digests and heartbeats sent to entry hosts, with their latencies.

use std::rc::Rc;

use raildale_core::gateway::{
    TargetReport,
    shares::{Sender, Shares},
};
use rand::RngExt;

use super::world::{
    Event, HEARTBEAT_MS, LOCAL_LATENCY_MS, RelayedReport, TargetHost, VERSION,
    World, data_centre_name, target_id,
};

impl World<'_> {
    /// Delivers to an entry host the demand of all entry hosts.
    pub(super) fn on_heartbeat(&mut self, host: usize) {
        let now_ms = self.clock_ms();
        let senders = self.hosts.iter().map(|host| Sender {
            data_centre: data_centre_name(host.data_centre),
            demand: host.gateway.demand_per_s(now_ms),
        });
        let senders = senders.collect();
        let known = self.hosts.len();
        let gateway = &mut self.hosts[host].gateway;
        let shares = Shares::new(senders, host);
        gateway.set_shares(match self.named.is_concentrated {
            true => shares.among_active(),
            false => shares,
        });
        gateway.set_known_entry_hosts(known);
        self.merge_suspects(host);
        self.schedule(HEARTBEAT_MS, Event::Heartbeat(host));
    }

    /// Sends the regular report of an agent.
    pub(super) fn on_report_due(&mut self, target: usize) {
        let every_ms = self.pattern.fleet.report_every_ms;
        self.targets[target].report_count += 1;
        let far_every = self.pattern.fleet.far_report_every;
        let is_far_due =
            self.targets[target].report_count.is_multiple_of(far_every);
        self.send_report(target, is_far_due);
        self.schedule(every_ms, Event::ReportDue(target));
    }

    /// Sends a target's report to the entry hosts of its data centre, and to
    /// the others if `is_far_due`.
    pub(super) fn send_report(&mut self, target: usize, is_far_due: bool) {
        let fleet = &self.pattern.fleet;
        for host in 0..self.hosts.len() {
            let known = &self.targets[target];
            let is_near = self.hosts[host].data_centre == known.data_centre;
            if !is_near && !is_far_due || !self.reports_directly(host, target)
            {
                continue;
            }
            let latency_ms =
                if is_near { LOCAL_LATENCY_MS } else { fleet.crossing_ms };
            let every = if is_near { 1 } else { fleet.far_report_every };
            let every_ms = fleet.report_every_ms as u32 * every;
            let report = known.report(every_ms, latency_ms);
            self.schedule(
                latency_ms,
                Event::ReportReceived { host, target, report },
            );
        }
    }

    /// Returns whether an agent reports to an entry host directly.
    fn reports_directly(&self, host: usize, target: usize) -> bool {
        if self.pattern.fleet.digest_every_ms.is_none() {
            return true;
        }
        let known = self.hosts[host].gateway.targets.get(&target_id(target));
        let is_used = known.is_some_and(|t| t.own_slots + t.in_flight > 0);
        let centre = self.targets[target].data_centre;
        is_used && self.hosts[host].data_centre == centre
    }

    /// Sends the state of a data centre's targets, as of their last reports,
    /// to all entry hosts.
    pub(super) fn send_digest(&mut self, centre: usize) {
        let fleet = &self.pattern.fleet;
        let Some(every_ms) = fleet.digest_every_ms else { return };
        let (report_ms, crossing_ms) =
            (fleet.report_every_ms, fleet.crossing_ms);
        let mut ages_ms = Vec::new();
        for target in 0..self.targets.len() {
            if self.targets[target].data_centre == centre {
                let age_ms = self.rng.random::<f64>() * report_ms;
                ages_ms.push((target, age_ms as u64));
            }
        }
        // In other data centres an entry host relays the digest.
        let far_ms = crossing_ms + LOCAL_LATENCY_MS;
        let [near, far] = [LOCAL_LATENCY_MS, far_ms].map(|latency_ms| {
            let reports = self.relayed_reports(&ages_ms, latency_ms);
            (latency_ms, reports)
        });
        for host in 0..self.hosts.len() {
            let is_near = self.hosts[host].data_centre == centre;
            let (latency_ms, reports) = if is_near { &near } else { &far };
            let reports = reports.clone();
            let received = Event::DigestReceived { host, reports };
            self.schedule(*latency_ms, received);
        }
        self.schedule(every_ms, Event::DigestDue(centre));
    }

    /// Returns the reports of targets, with their ages, as entry hosts at a
    /// latency of `latency_ms` receive them in a digest.
    fn relayed_reports(
        &self,
        ages_ms: &[(usize, u64)],
        latency_ms: f64,
    ) -> Rc<[RelayedReport]> {
        let every_ms = self.pattern.fleet.digest_every_ms.unwrap_or(0.0);
        let now_ms = self.clock_ms();
        let relayed = |(target, age_ms): &(usize, u64)| RelayedReport {
            at_ms: now_ms - age_ms,
            target: *target,
            report: self.targets[*target].report(every_ms as u32, latency_ms),
        };
        ages_ms.iter().map(relayed).collect()
    }
}

impl TargetHost {
    /// Returns the report of its agent; `latency_ms` is the one-way latency to
    /// the entry host.
    fn report(&self, every_ms: u32, latency_ms: f64) -> TargetReport {
        TargetReport {
            is_up: true,
            is_accepting: self.is_accepting,
            serves_version: if self.is_up { VERSION } else { 0 },
            whole_version: VERSION,
            running: self.engine.running() as u32,
            queued: self.engine.waiting() as u32,
            pace: 1.0,
            missing_chunks: 0,
            round_trip_ms: (2.0 * latency_ms) as u64,
            every_ms,
        }
    }
}
