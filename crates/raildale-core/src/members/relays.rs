//! Communication between entry hosts in a fleet of many data centres.
//!
//! In a small fleet every entry host sends heartbeats to every other one and
//! receives the reports of every agent. The cost grows with the square of the
//! fleet: 149 entry hosts with 120 agents would exchange 270,000 datagrams a
//! second, four in five of them between regions. In a large fleet an entry
//! host therefore communicates only within its own data centre. Two relays of
//! each data centre send the state of their data centre to those of the others
//! as one digest, and the recipient distributes it within its data centre
//! ([`super::fan_out`]).

use std::{cmp::Reverse, collections::BTreeMap, net::IpAddr};

use rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom};

use super::{
    Heartbeat, Member, Members, ReceivedHeartbeat, SILENT_MS,
    WATCHER_TIMEOUT_MS, heartbeat_within,
};
use crate::{
    Name,
    fleet_message::{DigestEntryHost, Echo},
};

/// The maximum number of entry hosts that all communicate with each other and
/// with every agent. 48 of them exchange 5,600 heartbeats a second, 117 each.
const MAX_MESH_MEMBERS: usize = 48;

/// The number of relays of a data centre. The second one covers for a relay
/// that has died or frozen without this being detected yet.
pub const RELAYS: usize = 2;

/// The number of heartbeats between two digests of a relay. The relays of a
/// data centre take turns, so that one digest is sent with every heartbeat.
pub const HEARTBEATS_PER_DIGEST: u64 = RELAYS as u64;

/// How long a measured round trip to another data centre is valid, in
/// milliseconds: three digests.
const MAX_ROUND_TRIP_AGE_MS: u64 = 2_400;

impl Members {
    /// Returns whether the fleet is too large for all entry hosts to
    /// communicate with each other.
    pub fn is_large(&self) -> bool {
        self.others.len() >= MAX_MESH_MEMBERS
    }

    /// Returns whether this entry host exchanges heartbeats with those of a
    /// data centre and receives the reports of its agents.
    pub fn reaches_data_centre(&self, data_centre: &str) -> bool {
        !self.is_large() || *self.own.data_centre == *data_centre
    }

    /// Returns whether this entry host exchanges heartbeats with the one at
    /// `ip`.
    pub(super) fn reaches_member(&self, ip: IpAddr) -> bool {
        let member = self.others.get(&ip);
        member.is_none_or(|m| self.reaches_data_centre(&m.entry.data_centre))
    }

    /// Returns the entry hosts with which this one exchanges heartbeats, alive
    /// or not.
    pub fn neighbours(&self) -> impl Iterator<Item = IpAddr> + '_ {
        let members = self.others.iter();
        members
            .filter(|(_, m)| self.reaches_data_centre(&m.entry.data_centre))
            .map(|(ip, _)| *ip)
    }

    /// Returns the recipients of heartbeats: the neighbours, and also the seeds
    /// in a small fleet or while no entry host is heard.
    pub fn heartbeat_recipients(
        &self,
        now_ms: u64,
        seeds: impl Iterator<Item = IpAddr>,
    ) -> Vec<IpAddr> {
        let mut recipients: Vec<IpAddr> = self.neighbours().collect();
        if !self.is_large() || self.is_isolated(now_ms) {
            recipients.extend(seeds.filter(|ip| *ip != self.own.ip));
        }
        recipients.sort_unstable();
        recipients.dedup();
        recipients
    }

    /// Returns whether no other entry host was heard recently. An entry host
    /// that has just started or was disconnected contacts the seeds.
    pub fn is_isolated(&self, now_ms: u64) -> bool {
        !self.others.values().any(|member| super::is_heard(member, now_ms))
    }

    /// Returns the index of this entry host among the relays of its data
    /// centre; `None` if it is not a relay, or the fleet needs none.
    pub fn relay_index(
        &self,
        now_ms: u64,
        is_own_ready: bool,
    ) -> Option<usize> {
        if !self.is_large() {
            return None;
        }
        let own = (self.own.ip, is_own_ready);
        let here = self.own.data_centre.clone();
        let heard_ms = WATCHER_TIMEOUT_MS;
        let relays = self.ranked(now_ms, &here, heard_ms, Some(own));
        relays.iter().take(RELAYS).position(|ip| *ip == self.own.ip)
    }

    /// Returns the recipients of the digest of the relay with `index`: in each
    /// other data centre the relay of the same index or, if none is heard
    /// there, a listed entry host selected by `draw`.
    pub fn digest_recipients(
        &self,
        now_ms: u64,
        index: usize,
        draw: usize,
    ) -> Vec<IpAddr> {
        let mut centres: BTreeMap<&Name, Vec<IpAddr>> = BTreeMap::new();
        for (ip, member) in &self.others {
            if member.entry.data_centre != self.own.data_centre {
                let listed = centres.entry(&member.entry.data_centre);
                listed.or_default().push(*ip);
            }
        }
        let recipient = |(centre, listed): (&Name, Vec<IpAddr>)| {
            let relays = self.ranked(now_ms, centre, SILENT_MS, None);
            match relays.len() {
                0 => listed[draw % listed.len()],
                count => relays[index.min(count - 1)],
            }
        };
        centres.into_iter().map(recipient).collect()
    }

    /// Returns the neighbours in the order in which a message is distributed
    /// among them: first those that are heard, shuffled by `seed`, so that
    /// each time others pass it on.
    pub fn audience(&self, now_ms: u64, seed: u64) -> Vec<IpAddr> {
        let is_heard = |ip: &IpAddr| {
            let member = self.others.get(ip);
            member
                .and_then(|m| heartbeat_within(m, now_ms, WATCHER_TIMEOUT_MS))
                .is_some()
        };
        let (mut heard, silent): (Vec<IpAddr>, Vec<IpAddr>) =
            self.neighbours().partition(is_heard);
        heard.shuffle(&mut SmallRng::seed_from_u64(seed));
        heard.into_iter().chain(silent).collect()
    }

    /// Returns the part of the own data centre's agents to which this entry
    /// host sends the list of agents in a large fleet; `None` if it is not
    /// ready, and so may not know them.
    pub fn list_turn(
        &self,
        now_ms: u64,
        is_own_ready: bool,
    ) -> Option<ListTurn> {
        if !is_own_ready {
            return None;
        }
        let ready_ip = |(ip, member): (&IpAddr, &Member)| {
            let is_here = member.entry.data_centre == self.own.data_centre;
            let beat = heartbeat_within(member, now_ms, WATCHER_TIMEOUT_MS)?;
            (is_here && beat.is_ready && !beat.is_leaving).then_some(*ip)
        };
        let ready: Vec<IpAddr> =
            self.others.iter().filter_map(ready_ip).collect();
        let own = ready.iter().filter(|ip| **ip < self.own.ip).count();
        Some(ListTurn { own, count: ready.len() + 1 })
    }

    /// Returns the entry hosts of a data centre that were heard within
    /// `heard_ms` and are not leaving: those that are ready first, then those
    /// with most processor time, then by address.
    fn ranked(
        &self,
        now_ms: u64,
        data_centre: &Name,
        heard_ms: u64,
        own: Option<(IpAddr, bool)>,
    ) -> Vec<IpAddr> {
        let here =
            |(_, m): &(&IpAddr, &Member)| m.entry.data_centre == *data_centre;
        let heard = self.others.iter().filter(here).filter_map(|(ip, m)| {
            let beat = heartbeat_within(m, now_ms, heard_ms)?;
            let cpu = Reverse(m.entry.cpu_millis);
            (!beat.is_leaving).then_some((!beat.is_ready, cpu, *ip))
        });
        let own_cpu = Reverse(self.own.cpu_millis);
        let own = own.map(|(ip, is_ready)| (!is_ready, own_cpu, ip));
        let mut ranked: Vec<_> = heard.chain(own).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, _, ip)| ip).collect()
    }

    /// Returns the entry hosts of the own data centre that are heard, for a
    /// digest.
    pub fn digest_entry_hosts(&self, now_ms: u64) -> Vec<DigestEntryHost> {
        let here = self.others.iter().filter(|(_, member)| {
            member.entry.data_centre == self.own.data_centre
        });
        here.filter_map(|(ip, member)| {
            let beat = heartbeat_within(member, now_ms, SILENT_MS)?;
            let IpAddr::V4(ip) = ip else { return None };
            Some(DigestEntryHost {
                ip: u32::from(*ip),
                is_ready: beat.is_ready,
                is_leaving: beat.is_leaving,
                demand_per_s: beat.demand_per_s as f32,
            })
        })
        .collect()
    }

    /// Records the state of another entry host from a digest. An entry host
    /// that is on no list is ignored. A digest does not carry its knowledge of
    /// the store, so that stays as it was.
    pub fn on_digest_entry(&mut self, now_ms: u64, entry: &DigestEntryHost) {
        let ip = IpAddr::V4(entry.ip.into());
        let Some(member) = self.others.get_mut(&ip) else { return };
        let previous = member.last_heartbeat.take();
        let known = previous.map(|heard| heard.heartbeat).unwrap_or_default();
        let heartbeat = Heartbeat {
            is_ready: entry.is_ready,
            is_leaving: entry.is_leaving,
            demand_per_s: f64::from(entry.demand_per_s),
            ..known
        };
        member.last_heartbeat =
            Some(ReceivedHeartbeat { at_ms: now_ms, heartbeat });
    }

    /// Returns the round trips to the relays of other data centres.
    pub fn round_trips(&mut self) -> &mut RelayRoundTrips {
        &mut self.round_trips
    }
}

/// The agents of a data centre to which one entry host sends the list of
/// agents. Each agent gets it from [`LISTERS`] entry hosts, so that the lists
/// that an entry host sends don't grow with the data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListTurn {
    /// The index of the entry host among those that are ready.
    pub own: usize,
    /// The number of entry hosts that are ready.
    pub count: usize,
}

/// The number of entry hosts that send the list of agents to an agent. The
/// second one covers for one that has died or is cut off.
pub const LISTERS: usize = 2;

impl ListTurn {
    /// Returns whether the entry host sends the list to the agent with index
    /// `agent` in its data centre.
    pub fn includes(&self, agent: usize) -> bool {
        let distance = (self.count / LISTERS).max(1);
        (0..LISTERS)
            .any(|turn| (agent + turn * distance) % self.count == self.own)
    }
}

/// Round trips to the relays of other data centres, measured by the timestamps
/// that each side echoes.
#[derive(Debug, Default)]
pub struct RelayRoundTrips {
    by_relay: BTreeMap<u32, RoundTrip>,
}

/// The round trip to one relay.
#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    /// The sending time of the relay's last digest, on its clock.
    sent_ms: u64,
    /// When that digest was received.
    received_ms: u64,
    /// The round trip in milliseconds; 0 if not measured.
    round_trip_ms: u64,
}

impl RelayRoundTrips {
    /// Records a digest that the relay at `relay_ip` sent at `sent_ms` on its
    /// clock, with its `echoes` of digests from here. Returns the round trip
    /// in milliseconds, 0 if it has not been measured yet.
    pub fn record(
        &mut self,
        now_ms: u64,
        relay_ip: u32,
        sent_ms: u64,
        own_ip: IpAddr,
        echoes: &[Echo],
    ) -> u64 {
        let own = echoes.iter().find(|e| IpAddr::V4(e.ip.into()) == own_ip);
        let previous = self.by_relay.get(&relay_ip);
        let previous_ms = previous
            .filter(|measured| {
                now_ms < measured.received_ms + MAX_ROUND_TRIP_AGE_MS
            })
            .map_or(0, |measured| measured.round_trip_ms);
        let round_trip_ms = own.map_or(previous_ms, |echo| {
            let since_ms = now_ms.saturating_sub(echo.sent_ms);
            since_ms.saturating_sub(echo.age_ms)
        });
        let measured =
            RoundTrip { sent_ms, received_ms: now_ms, round_trip_ms };
        self.by_relay.insert(relay_ip, measured);
        round_trip_ms
    }

    /// Returns the echoes for the relays that were heard recently.
    pub fn echoes(&self, now_ms: u64) -> Vec<Echo> {
        self.by_relay
            .iter()
            .filter(|(_, measured)| {
                now_ms < measured.received_ms + MAX_ROUND_TRIP_AGE_MS
            })
            .map(|(ip, measured)| Echo {
                ip: *ip,
                sent_ms: measured.sent_ms,
                age_ms: now_ms.saturating_sub(measured.received_ms),
            })
            .collect()
    }
}
