//! Briefings: messages from an entry host to the agents of a service.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use raildale_core::{
    Name,
    fleet_message::{AgentEntry, Briefing, BriefingRequest, Note, VersionAge},
    gateway::{Routing, Service, versions::AgedVersion},
    members::relays::ListTurn,
};

use super::EntryHost;
use crate::fleet::{
    edge::{Dialect, Store},
    frames,
    steady_clock::now_ms,
};

/// The agents of a service, and the data centres that their entries refer to
/// by index.
#[derive(Debug)]
struct AgentList {
    agents: Vec<AgentEntry>,
    data_centres: Vec<String>,
    /// For each agent, how this entry host relates to its target.
    uses: Vec<Use>,
}

/// How an entry host relates to the target of an agent.
#[derive(Clone, Copy, Debug)]
struct Use {
    /// The target's address.
    address: SocketAddr,
    /// Whether the entry host has slots or requests there.
    is_used: bool,
}

impl AgentList {
    /// Lists the agents of a service's targets, except those that are
    /// draining.
    fn of_service<P>(host: &EntryHost<P>, service: &Service) -> AgentList {
        let now = now_ms();
        let gateway = host.gateway.borrow();
        let mut list = AgentList {
            agents: Vec::new(),
            data_centres: Vec::new(),
            uses: Vec::new(),
        };
        for target in gateway.targets.iter() {
            let spec = &target.spec;
            let IpAddr::V4(ip) = spec.address.ip() else { continue };
            if spec.service != service.name || spec.is_draining {
                continue;
            }
            let report = target.report(now);
            let data_centre = list.index_of(&spec.data_centre);
            list.agents.push(AgentEntry {
                ip: u32::from(ip),
                data_centre,
                whole_version: report.map_or(0, |r| r.whole_version),
                serves_version: target.serves_version(now).unwrap_or(0),
                is_slow: target.is_slow(now),
            });
            list.uses.push(Use {
                address: spec.address,
                is_used: target.own_slots + target.in_flight > 0,
            });
        }
        list
    }

    /// Adds the requesting agent if its target is not listed yet. No other
    /// agent knows of it, so it is marked as slow: it must not be expected to
    /// fetch chunks for its data centre.
    fn add_requester(&mut self, ip: u32, data_centre: &str) {
        if self.agents.iter().any(|agent| agent.ip == ip) {
            return;
        }
        let data_centre = self.index_of(data_centre);
        let is_slow = true;
        let entry =
            AgentEntry { ip, data_centre, is_slow, ..AgentEntry::default() };
        self.agents.push(entry);
    }

    /// Returns the index of a data centre, which is added if it is new.
    fn index_of(&mut self, data_centre: &str) -> u32 {
        let known = self.data_centres.iter().position(|c| c == data_centre);
        let place = known.unwrap_or_else(|| {
            self.data_centres.push(data_centre.to_string());
            self.data_centres.len() - 1
        });
        place as u32
    }

    /// Returns `briefing` with this list added.
    fn add_to(self, briefing: Briefing) -> Briefing {
        let AgentList { agents, data_centres, uses: _ } = self;
        Briefing { agents, data_centres, ..briefing }
    }
}

/// Returns an encoded briefing with the list of agents for the requesting
/// agent at `ip`.
///
/// The briefing is pending while no configuration is known, or no agent of a
/// large fleet is listed. Agents that believe themselves alone each take the
/// whole version from the origin: after a loss of all, 204 of them made it
/// send 25 copies. Without an answer each would ask the store.
///
/// Returns `None` if the configuration does not name the service, or its
/// weights are not spread.
pub fn for_agent<P>(
    host: &EntryHost<P>,
    ip: IpAddr,
    request: &BriefingRequest,
) -> Option<Vec<u8>>
where
    P: Dialect + Store + 'static,
{
    let Some(routing) = host.gateway.borrow().routing().cloned() else {
        return Some(pending_briefing());
    };
    let service = routing.service(&request.service)?;
    let base = base(&routing, service)?;
    let mut list = AgentList::of_service(host, service);
    if list.agents.is_empty() && host.members.borrow().is_large() {
        return Some(pending_briefing());
    }
    if let IpAddr::V4(ip) = ip {
        list.add_requester(u32::from(ip), &request.data_centre);
    }
    let mut briefing = list.add_to(listless_briefing(host, service, base));
    briefing.is_near = true;
    Some(frames::encode_note(Note::Briefing(briefing)))
}

fn pending_briefing() -> Vec<u8> {
    let pending = Briefing { is_pending: true, ..Briefing::default() };
    frames::encode_note(Note::Briefing(pending))
}

/// Returns an encoded briefing, and the address to send it to, for each agent
/// of the services whose weights are spread.
pub fn for_all_agents<P>(host: &EntryHost<P>) -> Vec<(IpAddr, Vec<u8>)>
where
    P: Dialect + Store + 'static,
{
    let Some(routing) = host.gateway.borrow().routing().cloned() else {
        return Vec::new();
    };
    routing
        .services()
        .flat_map(|service| match base(&routing, service) {
            Some(base) => service_briefings(host, service, base),
            None => Vec::new(),
        })
        .collect()
}

/// Returns the fields that all briefings of a service share; `None` if its
/// weights are not spread.
fn base(routing: &Routing, service: &Service) -> Option<Briefing> {
    let engine = service.engine.as_ref()?;
    if engine.chunk_count == 0 {
        return None;
    }
    let model = engine.models.first();
    let origin = routing.origin();
    Some(Briefing {
        chunk_count: engine.chunk_count,
        model: model.map(Name::to_string).unwrap_or_default(),
        origin: origin.map(|at| at.to_string()).unwrap_or_default(),
        may_cut: routing.is_resumable(&service.name),
        origin_connections: routing.origin_connections(),
        health_path: service.health_path.to_string(),
        ..Briefing::default()
    })
}

/// Returns the briefings of a service's agents, all built on `base`.
fn service_briefings<P>(
    host: &EntryHost<P>,
    service: &Service,
    base: Briefing,
) -> Vec<(IpAddr, Vec<u8>)>
where
    P: Dialect + Store + 'static,
{
    let list = AgentList::of_service(host, service);
    let listless = listless_briefing(host, service, base);
    let parts: Vec<Option<Part>> =
        list.data_centres.iter().map(|centre| part(host, centre)).collect();
    let agents = list.agents.clone();
    let uses = list.uses.clone();
    let sent_ms = listless.sent_ms;
    let is_near = true;
    let near = Briefing { is_near, ..listless.clone() };
    let full = list.add_to(near.clone());
    let [listless, near, full] = [listless, near, full]
        .map(|briefing| frames::encode_note(Note::Briefing(briefing)));
    let mut counts = vec![0; parts.len()];
    let mut briefings = Vec::new();
    for (agent, Use { address, is_used }) in agents.iter().zip(uses) {
        let centre = agent.data_centre as usize;
        let index = counts[centre];
        counts[centre] += 1;
        let form = parts[centre].and_then(|part| part.form(index, is_used));
        let note = match form {
            Some(BriefingForm::Far) => &listless,
            Some(BriefingForm::Near) => &near,
            Some(BriefingForm::NearWithList) => &full,
            None => continue,
        };
        let mut gateway = host.gateway.borrow_mut();
        gateway.targets.record_briefed(address, sent_ms);
        let ip = IpAddr::V4(Ipv4Addr::from(agent.ip));
        briefings.push((ip, note.clone()));
    }
    briefings
}

/// The form of a briefing.
#[derive(Clone, Copy, Debug)]
enum BriefingForm {
    /// Without the list, for one report in several.
    Far,
    /// Without the list, for every report.
    Near,
    /// With the list of agents, for every report.
    NearWithList,
}

/// The part of an entry host in briefing the agents of a data centre.
#[derive(Clone, Copy, Debug)]
enum Part {
    /// Others are nearer to it: short briefings keep the traffic to that data
    /// centre low.
    Distant,
    /// This entry host looks after all of its agents.
    Responsible,
    /// It briefs them together with its neighbours. With 30 entry hosts in a
    /// data centre an agent would report to each ten times a second, although
    /// only eight of them count on a slot there. The others hear from the
    /// relays, which get the reports of all agents. The lists of agents are
    /// divided among all.
    Shared { is_relay: bool, list_turn: Option<ListTurn> },
}

impl Part {
    /// Returns the form of the briefing for the agent with an index in the
    /// data centre; `None` if it gets none. `is_used` tells whether this entry
    /// host has slots or requests at its target.
    fn form(self, index: usize, is_used: bool) -> Option<BriefingForm> {
        match self {
            Part::Distant => Some(BriefingForm::Far),
            Part::Responsible => Some(BriefingForm::NearWithList),
            Part::Shared { is_relay, list_turn } => {
                let has_list =
                    list_turn.is_some_and(|turn| turn.includes(index));
                match (has_list, is_relay || is_used) {
                    (true, _) => Some(BriefingForm::NearWithList),
                    (false, true) => Some(BriefingForm::Near),
                    (false, false) => None,
                }
            }
        }
    }
}

/// Returns the part of this entry host in briefing the agents of a data
/// centre; `None` if others pass on their reports. The list goes to the agents
/// of the data centres to which no live entry host is nearer, because traffic
/// between data centres is costly. In a large fleet only the relays send it to
/// data centres without entry hosts.
fn part<P>(host: &EntryHost<P>, data_centre: &str) -> Option<Part>
where
    P: Dialect + Store + 'static,
{
    let now = now_ms();
    let members = host.members.borrow();
    let is_nearest = members.is_nearest(now, data_centre);
    let is_relay = members.relay_index(now, host.is_ready()).is_some();
    let is_own = *data_centre == *host.node.data_centre;
    match (members.is_large(), is_nearest) {
        (false, true) => Some(Part::Responsible),
        (false, false) => Some(Part::Distant),
        (true, _) if is_own => Some(Part::Shared {
            is_relay,
            list_turn: members.list_turn(now, host.is_ready()),
        }),
        (true, true) if is_relay => Some(Part::Responsible),
        (true, _) => None,
    }
}

/// Returns a briefing of a service without the list of agents.
fn listless_briefing<P>(
    host: &EntryHost<P>,
    service: &Service,
    base: Briefing,
) -> Briefing {
    Briefing {
        versions: named_versions(host, service),
        sent_ms: now_ms(),
        ..base
    }
}

/// Returns the named versions of a service's models, with their ages.
fn named_versions<P>(
    host: &EntryHost<P>,
    service: &Service,
) -> Vec<VersionAge> {
    let now = now_ms();
    let models = service.engine.as_ref().map_or(&[][..], |e| &e.models);
    let gateway = host.gateway.borrow();
    let named = |model: &Name| gateway.versions.for_agents(now, model);
    let versions = models.iter().flat_map(named);
    versions
        .map(|AgedVersion { version, age_ms }| VersionAge { version, age_ms })
        .collect()
}
