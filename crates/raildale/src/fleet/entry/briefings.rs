//! Briefings: what an entry host tells the agents of a service.

use std::net::{IpAddr, Ipv4Addr};

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

/// The agents of a service, and the data centres to which they refer by
/// place.
#[derive(Debug)]
struct AgentList {
    agents: Vec<AgentEntry>,
    data_centres: Vec<String>,
    /// Whether this entry host counts on slots beside each agent, or has
    /// requests there.
    is_used: Vec<bool>,
}

impl AgentList {
    /// The agents of a service's targets, without those that are leaving.
    fn of<P>(host: &EntryHost<P>, service: &Service) -> AgentList {
        let now = now_ms();
        let gateway = host.gateway.borrow();
        let mut list = AgentList {
            agents: Vec::new(),
            data_centres: Vec::new(),
            is_used: Vec::new(),
        };
        for target in gateway.targets.iter() {
            let spec = &target.spec;
            let IpAddr::V4(ip) = spec.address.ip() else { continue };
            if spec.service != service.name || spec.is_draining {
                continue;
            }
            let report = target.report(now);
            let data_centre = list.place_of(&spec.data_centre);
            list.agents.push(AgentEntry {
                ip: u32::from(ip),
                data_centre,
                whole_version: report.map_or(0, |r| r.whole_version),
                serves_version: target.serves_version(now).unwrap_or(0),
                is_slow: target.is_slow(now),
            });
            list.is_used.push(target.own_slots + target.in_flight > 0);
        }
        list
    }

    /// Adds the agent that asks, whose target may not be listed yet. Nobody
    /// else knows of it, so that it brings nothing in: it counts as slow.
    fn add_asker(&mut self, ip: u32, data_centre: &str) {
        if self.agents.iter().any(|agent| agent.ip == ip) {
            return;
        }
        let data_centre = self.place_of(data_centre);
        let is_slow = true;
        let entry =
            AgentEntry { ip, data_centre, is_slow, ..AgentEntry::default() };
        self.agents.push(entry);
        self.is_used.push(true);
    }

    /// The place of a data centre, which is added if it is new.
    fn place_of(&mut self, data_centre: &str) -> u32 {
        let known = self.data_centres.iter().position(|c| c == data_centre);
        let place = known.unwrap_or_else(|| {
            self.data_centres.push(data_centre.to_string());
            self.data_centres.len() - 1
        });
        place as u32
    }

    /// A briefing that holds this list as well.
    fn put_into(self, briefing: Briefing) -> Briefing {
        let AgentList { agents, data_centres, is_used: _ } = self;
        Briefing { agents, data_centres, ..briefing }
    }
}

/// A briefing with its list, encoded, for the agent at `ip` that asks;
/// `None` if no configuration tells of its service, or no agent of a large
/// fleet is listed yet: each of 204 that believed itself alone after a loss of
/// all took the whole version from the origin, which sent 25 copies.
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
    let mut list = AgentList::of(host, service);
    if list.agents.is_empty() && host.members.borrow().is_large() {
        return None;
    }
    if let IpAddr::V4(ip) = ip {
        list.add_asker(u32::from(ip), &ask.data_centre);
    }
    let mut briefing = list.put_into(short_briefing(host, service, terms));
    briefing.is_near = true;
    Some(frames::encode_note(Note::Briefing(briefing)))
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
        health_path: service.health_path.to_string(),
        ..Briefing::default()
    })
}

/// The briefings of a service's agents, which all hold its `terms`.
fn service_briefings<P>(
    host: &EntryHost<P>,
    service: &Service,
    terms: Briefing,
) -> Vec<(IpAddr, Vec<u8>)>
where
    P: Dialect + Store + 'static,
{
    let list = AgentList::of(host, service);
    let short = short_briefing(host, service, terms);
    let forms: Vec<Option<BriefingForm>> =
        list.data_centres.iter().map(|centre| form(host, centre)).collect();
    let agents = list.agents.clone();
    let is_used = list.is_used.clone();
    let is_near = true;
    let near = Briefing { is_near, ..short.clone() };
    let full = list.put_into(near.clone());
    let [short, near, full] = [short, near, full]
        .map(|briefing| frames::encode_note(Note::Briefing(briefing)));
    agents
        .iter()
        .zip(is_used)
        .filter_map(|(agent, is_used)| {
            let note = match forms[agent.data_centre as usize]? {
                BriefingForm::Far => short.clone(),
                BriefingForm::NearIfUsed if is_used => near.clone(),
                BriefingForm::NearIfUsed => return None,
                BriefingForm::NearWithList => full.clone(),
            };
            Some((IpAddr::V4(Ipv4Addr::from(agent.ip)), note))
        })
        .collect()
}

/// Which briefing the agents of a data centre get.
#[derive(Clone, Copy, Debug)]
enum BriefingForm {
    /// This entry host sends little there.
    Far,
    /// This entry host looks after those beside targets that it uses: with 30 entry hosts
    /// next door an agent would tell each ten times a second, and eight of
    /// them count on a slot there. The others hear from the relays.
    NearIfUsed,
    /// It also tells them of one another.
    NearWithList,
}

/// Which briefing the agents of a data centre get from this entry host; none
/// if others tell it what they report. The list goes to the agents next door,
/// and to those of data centres without a live entry host: bytes that cross
/// are dear. In a large fleet the relays send it, and nobody else.
fn form<P>(host: &EntryHost<P>, data_centre: &str) -> Option<BriefingForm>
where
    P: Dialect + Store + 'static,
{
    let now = now_ms();
    let members = host.members.borrow();
    let is_nearest = members.is_nearest(now, data_centre);
    let is_relay = members.relay_index(now, host.is_ready()).is_some();
    let reaches = members.reaches_data_centre(data_centre);
    match (members.is_large(), is_nearest) {
        (false, true) => Some(BriefingForm::NearWithList),
        (false, false) => Some(BriefingForm::Far),
        (true, true) if is_relay => Some(BriefingForm::NearWithList),
        (true, _) => reaches.then_some(BriefingForm::NearIfUsed),
    }
}

/// A briefing of a service without its list of agents.
fn short_briefing<P>(
    host: &EntryHost<P>,
    service: &Service,
    terms: Briefing,
) -> Briefing {
    Briefing { versions: named(host, service), sent_ms: now_ms(), ..terms }
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
