//! Briefings: what an entry host tells the agents of a service.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr},
};

use raildale_core::{
    Name,
    fleet_message::{AgentEntry, AskBriefing, Briefing, Named, Note},
    gateway::{Routing, Service},
};

use super::EntryHost;
use crate::fleet::{
    edge::{Dialect, Store},
    frames,
    steady_clock::now_ms,
};

/// A briefing with its list, encoded, for the agent at `ip` that asks;
/// `None` if no configuration tells of its service.
pub fn one<P>(
    host: &EntryHost<P>,
    ip: IpAddr,
    ask: &AskBriefing,
) -> Option<Vec<u8>>
where
    P: Dialect + Store + 'static,
{
    let routing = host.gateway.borrow().routing().cloned()?;
    let service = routing.service(&ask.service)?;
    let terms = terms(&routing, service)?;
    let (mut agents, mut data_centres) = agents(host, service);
    if let IpAddr::V4(ip) = ip {
        add_asker(&mut agents, &mut data_centres, u32::from(ip), ask);
    }
    let versions = named(host, service);
    let sent_ms = now_ms();
    let briefing =
        Briefing { versions, sent_ms, agents, data_centres, ..terms };
    Some(frames::encode_note(Note::Briefing(briefing)))
}

/// Adds the agent that asks, whose target may not be listed yet: a list is
/// never empty.
fn add_asker(
    agents: &mut Vec<AgentEntry>,
    data_centres: &mut Vec<String>,
    ip: u32,
    ask: &AskBriefing,
) {
    if agents.iter().any(|agent| agent.ip == ip) {
        return;
    }
    let known = data_centres.iter().position(|c| *c == ask.data_centre);
    let place = known.unwrap_or_else(|| {
        data_centres.push(ask.data_centre.clone());
        data_centres.len() - 1
    });
    let data_centre = place as u32;
    agents.push(AgentEntry { ip, data_centre, ..AgentEntry::default() });
}

/// A briefing, encoded, for each agent of a service whose weights are
/// spread, and the agent's address.
pub fn all<P>(host: &EntryHost<P>) -> Vec<(IpAddr, Vec<u8>)>
where
    P: Dialect + Store + 'static,
{
    let Some(routing) = host.gateway.borrow().routing().cloned() else {
        return Vec::new();
    };
    routing
        .services()
        .flat_map(|service| match terms(&routing, service) {
            Some(terms) => service_briefings(host, service, terms),
            None => Vec::new(),
        })
        .collect()
}

/// What every briefing of a service holds; `None` if its weights are not
/// spread.
fn terms(routing: &Routing, service: &Service) -> Option<Briefing> {
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
        ..Briefing::default()
    })
}

/// The briefings of a service's agents, which all hold its `terms`.
fn service_briefings<P>(
    host: &EntryHost<P>,
    service: &Service,
    terms: Briefing,
) -> Vec<(IpAddr, Vec<u8>)> {
    let (agents, centres) = agents(host, service);
    let versions = named(host, service);
    let short = Briefing { versions, sent_ms: now_ms(), ..terms };
    let listed: Vec<bool> = centres
        .iter()
        .map(|centre| host.members.borrow().is_nearest(now_ms(), centre))
        .collect();
    let full = Briefing {
        agents: agents.clone(),
        data_centres: centres,
        ..short.clone()
    };
    let short = frames::encode_note(Note::Briefing(short));
    let full = frames::encode_note(Note::Briefing(full));
    agents
        .iter()
        .map(|agent| {
            // The list goes to the agents next door, and to those of data
            // centres without a live entry host: bytes that cross are dear.
            let is_listed = listed[agent.data_centre as usize];
            let note = if is_listed { full.clone() } else { short.clone() };
            (IpAddr::V4(Ipv4Addr::from(agent.ip)), note)
        })
        .collect()
}

/// The versions of a service's models that were named, and how long ago.
fn named<P>(host: &EntryHost<P>, service: &Service) -> Vec<Named> {
    let now = now_ms();
    let models = service.engine.as_ref().map_or(&[][..], |e| &e.models);
    let gateway = host.gateway.borrow();
    gateway
        .versions()
        .filter(|(model, _)| models.contains(model))
        .flat_map(|(_, versions)| versions)
        .map(|v| Named {
            version: v.version,
            age_ms: now.saturating_sub(v.named_ms),
        })
        .collect()
}

/// The agents of a service, and the data centres to which they refer.
fn agents<P>(
    host: &EntryHost<P>,
    service: &Service,
) -> (Vec<AgentEntry>, Vec<String>) {
    let now = now_ms();
    let gateway = host.gateway.borrow();
    let mut centres: BTreeMap<Name, u32> = BTreeMap::new();
    let mut entries = Vec::new();
    for target in gateway.targets.iter() {
        let spec = &target.spec;
        let IpAddr::V4(ip) = spec.address.ip() else { continue };
        if spec.service != service.name || spec.is_draining {
            continue;
        }
        let count = centres.len() as u32;
        let place = *centres.entry(spec.data_centre.clone()).or_insert(count);
        let report = target.report(now);
        entries.push(AgentEntry {
            ip: u32::from(ip),
            data_centre: place,
            whole_version: report.map_or(0, |r| r.whole_version),
            serves_version: target.serves_version(now).unwrap_or(0),
            is_slow: target.is_slow(now),
        });
    }
    let mut names = vec![String::new(); centres.len()];
    for (name, place) in centres {
        names[place as usize] = name.to_string();
    }
    (entries, names)
}
