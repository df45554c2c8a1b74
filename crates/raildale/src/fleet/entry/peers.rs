//! Heartbeats to other entry hosts, datagrams to agents, and what comes back.
//! What passes between the data centres of a large fleet is in
//! [`super::digests`].

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use raildale_core::{
    LogEvent, Name,
    catalog::Kind,
    fleet_message::{Hello, Note, Report, ToldVersion},
    members::{Heartbeat, MemberEntry},
};
use tokio::net::UdpSocket;

use super::{
    EntryHost, briefings, culprits, digests, host::unix_ms, snapshots,
};
use crate::{
    error::Error,
    fleet::{
        edge::{Dialect, Store},
        frames::{self, NoteReceiver},
        steady_clock::now_ms,
    },
};

/// Time between two heartbeats: three of them fit into the silence after
/// which an entry host counts as gone.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(400);

/// Time between two heartbeats after which the process, or its machine, stood
/// still, in milliseconds: three heartbeats and a bit, as for the others.
const STOOD_STILL_MS: u64 = 1_400;

/// Pause after news was told, so that one heartbeat tells more: a cut of power
/// ends hundreds of targets within a fifth of a second.
const NEWS_GATHER: Duration = Duration::from_millis(50);

/// Starts sending and receiving.
///
/// # Errors
///
/// [`crate::ErrorKind::Io`] if the port is taken.
pub async fn start<P>(host: &Rc<EntryHost<P>>) -> Result<(), Error>
where
    P: Dialect + Store + 'static,
{
    let address = SocketAddr::new(host.node.ip, host.node.entry_port());
    let socket = Rc::new(UdpSocket::bind(address).await?);
    tokio::task::spawn_local(receive(host.clone(), socket.clone()));
    tokio::task::spawn_local(send_regularly(host.clone(), socket.clone()));
    tokio::task::spawn_local(send_news(host.clone(), socket));
    Ok(())
}

async fn receive<P>(host: Rc<EntryHost<P>>, socket: Rc<UdpSocket>)
where
    P: Dialect + Store + 'static,
{
    let mut notes = NoteReceiver::new(socket.clone());
    loop {
        match notes.next().await {
            (Note::Hello(hello), from) => {
                if take_hello(&host, from.ip(), hello) {
                    send(&socket, &hello_note(&host), from).await;
                }
            }
            (Note::Report(report), from) => take_report(&host, from, report),
            (Note::AskBriefing(ask), from) => {
                if let Some(note) = briefings::one(&host, from.ip(), &ask) {
                    send(&socket, &note, from).await;
                }
            }
            (Note::Digest(digest), from) => {
                digests::take(&host, &socket, from.ip(), digest).await;
                catch_up(&host);
            }
            (Note::Briefing(_), from) => {
                log::debug!("a briefing from {from}, out of place");
            }
        }
    }
}

/// Takes a heartbeat in; says whether its sender may know nothing yet, and
/// is answered at once.
fn take_hello<P>(host: &Rc<EntryHost<P>>, ip: IpAddr, hello: Hello) -> bool
where
    P: Dialect + Store + 'static,
{
    let is_new = note_hello(host, ip, hello);
    catch_up(host);
    is_new
}

/// Notes what a heartbeat tells; says whether its sender was not heard just
/// before.
pub(super) fn note_hello<P>(
    host: &EntryHost<P>,
    ip: IpAddr,
    hello: Hello,
) -> bool
where
    P: Dialect + Store + 'static,
{
    let extents = hello.extents();
    let entry = MemberEntry {
        name: Name::from(hello.name),
        ip,
        data_centre: Name::from(hello.data_centre),
    };
    let heartbeat = Heartbeat {
        is_leaving: hello.is_leaving,
        is_ready: hello.is_ready,
        extents,
        sees_store: hello.sees_store,
        demand_per_s: f64::from(hello.demand_per_s),
    };
    host.take_told_versions(hello.versions, hello.versions_heard_age_ms);
    host.take_told_suspects(hello.suspects);
    host.take_told_notices(ip, hello.notices);
    host.members.borrow_mut().on_heartbeat(now_ms(), entry, heartbeat)
}

fn take_report<P>(host: &EntryHost<P>, from: SocketAddr, report: Report)
where
    P: Dialect + Store + 'static,
{
    let Some(address) = target_address(&report, from.ip()) else { return };
    let now = now_ms();
    let report = report.target_report(now);
    host.gateway.borrow_mut().targets.note_report(now, address, report);
    host.note_ends();
}

/// The address of the target that a report tells of; `None`, with a log line,
/// if it does not decode.
pub(super) fn target_address(
    report: &Report,
    from: IpAddr,
) -> Option<SocketAddr> {
    report
        .address
        .parse()
        .inspect_err(|error| {
            log::warn!("report from {from}: its address: {error}")
        })
        .ok()
}

async fn send_regularly<P>(host: Rc<EntryHost<P>>, socket: Rc<UdpSocket>)
where
    P: Dialect + Store + 'static,
{
    let mut beat = 0;
    let mut beaten_ms = now_ms();
    loop {
        let still_ms = now_ms().saturating_sub(beaten_ms);
        if still_ms > STOOD_STILL_MS {
            host.note_stood_still(still_ms);
        }
        beaten_ms = now_ms();
        send_all(&host, &socket).await;
        catch_up(&host);
        host.sweep();
        host.note_suspects();
        culprits::keep_records(&host);
        log_changes(&host);
        let due = host.briefing_due.notified();
        // Woken early when there is something that others must know.
        let is_early = tokio::time::timeout(HEARTBEAT, due).await.is_ok();
        if !is_early {
            beat += 1;
            digests::send(&host, &socket, beat).await;
        }
    }
}

/// Tells the entry hosts at once that requests have lost targets, or that
/// targets take less: with the next heartbeat, each of seven would lose one to
/// the same request first.
async fn send_news<P>(host: Rc<EntryHost<P>>, socket: Rc<UdpSocket>)
where
    P: Dialect + Store + 'static,
{
    loop {
        host.news_due.notified().await;
        let hello = hello_note(&host);
        let recipients = heartbeat_recipients(&host);
        send_to_hosts(&host, &socket, &hello, recipients).await;
        tokio::time::sleep(NEWS_GATHER).await;
    }
}

/// One line for each entry host and agent that came up or went silent.
fn log_changes<P>(host: &EntryHost<P>)
where
    P: Dialect + Store + 'static,
{
    let now = now_ms();
    let members = host.members.borrow_mut().take_changes(now);
    for (ip, is_up) in members {
        let event =
            if is_up { LogEvent::MemberUp } else { LogEvent::MemberDown };
        host.log(event, &format!("ip={ip}"));
    }
    let agents = host.gateway.borrow_mut().targets.agent_changes(now);
    for (target, is_up) in agents {
        let event =
            if is_up { LogEvent::AgentUp } else { LogEvent::AgentDown };
        let name =
            if is_up { "agents_up_total" } else { "agents_silent_total" };
        host.metrics.add(name, "", 1);
        host.log(event, &format!("target={target}"));
    }
}

async fn send_all<P>(host: &Rc<EntryHost<P>>, socket: &UdpSocket)
where
    P: Dialect + Store + 'static,
{
    let hello = hello_note(host);
    send_to_hosts(host, socket, &hello, heartbeat_recipients(host)).await;
    let port = host.node.agent_port();
    for (ip, note) in briefings::all(host) {
        send(socket, &note, SocketAddr::new(ip, port)).await;
    }
    let now = now_ms();
    let demand_per_s = host.gateway.borrow().demand_per_s(now);
    let (hosts, own) = host.members.borrow().senders(now, demand_per_s);
    let known = host.members.borrow().others().count() + 1;
    let mut gateway = host.gateway.borrow_mut();
    gateway.set_entry_hosts(hosts, own);
    gateway.set_known_entry_hosts(known);
    let is_fleet_known = host.known.is_known(Kind::EntryHosts);
    gateway.targets.set_fleet_known(is_fleet_known);
    gateway.targets.notices.set_time_of_day(now, unix_ms());
}

/// Who gets a heartbeat: neighbours, and the seeds in a small fleet or while
/// nobody is heard.
fn heartbeat_recipients<P>(host: &EntryHost<P>) -> Vec<IpAddr> {
    let members = host.members.borrow();
    let mut recipients: Vec<IpAddr> = members.neighbours().collect();
    if !members.is_large() || members.is_isolated(now_ms()) {
        let seeds = host.node.seed_entry_hosts().map(|seed| seed.ip());
        recipients.extend(seeds.filter(|ip| *ip != host.node.ip));
    }
    recipients.sort_unstable();
    recipients.dedup();
    recipients
}

/// Sends a datagram to entry hosts.
pub(super) async fn send_to_hosts<P>(
    host: &EntryHost<P>,
    socket: &UdpSocket,
    note: &[u8],
    recipients: Vec<IpAddr>,
) {
    let port = host.node.entry_port();
    for ip in recipients {
        send(socket, note, SocketAddr::new(ip, port)).await;
    }
}

async fn send(socket: &UdpSocket, note: &[u8], to: SocketAddr) {
    if let Err(error) = socket.send_to(note, to).await {
        log::debug!("datagram to {to}: {error}");
    }
}

/// A heartbeat of this entry host, encoded.
fn hello_note<P>(host: &EntryHost<P>) -> Vec<u8>
where
    P: Dialect + Store + 'static,
{
    frames::encode_note(Note::Hello(hello(host)))
}

/// A heartbeat of this entry host.
pub(super) fn hello<P>(host: &EntryHost<P>) -> Hello
where
    P: Dialect + Store + 'static,
{
    let now = now_ms();
    let versions_heard_ms = host.gateway.borrow().versions_heard_ms();
    let extents = Kind::ALL.map(|kind| host.known.extent(kind));
    let hello = Hello {
        name: host.node.name.clone(),
        data_centre: host.node.data_centre.clone(),
        is_leaving: host.is_leaving(),
        is_ready: host.is_ready(),
        sees_store: host.sees_store(),
        versions: told_versions(host),
        versions_heard_age_ms: versions_heard_ms
            .map(|heard_ms| now.saturating_sub(heard_ms)),
        demand_per_s: host.gateway.borrow().demand_per_s(now) as f32,
        suspects: host.gateway.borrow().quarantine.told(now),
        notices: host.gateway.borrow().targets.notices.told(now),
        ..Hello::default()
    };
    hello.with_extents(&extents)
}

/// What a heartbeat tells of versions.
fn told_versions<P>(host: &EntryHost<P>) -> Vec<ToldVersion>
where
    P: Dialect + Store + 'static,
{
    let now = now_ms();
    let bounding = host.gateway.borrow().bounding_versions(now);
    bounding
        .into_iter()
        .map(|(model, named)| ToldVersion {
            model: model.to_string(),
            version: named.version,
            age_ms: now.saturating_sub(named.named_ms),
        })
        .collect()
}

/// Asks another entry host for what it knows and this one does not.
fn catch_up<P>(host: &Rc<EntryHost<P>>)
where
    P: Dialect + Store + 'static,
{
    for kind in Kind::ALL {
        if host.is_asking(kind) || !host.may_ask_peers(kind) {
            continue;
        }
        let own = host.known.extent(kind);
        let draw = rand::random_range(0..usize::from(u16::MAX));
        let ahead =
            host.members.borrow_mut().find_ahead(now_ms(), kind, own, draw);
        if let Some(ip) = ahead {
            host.set_asking(kind, true);
            tokio::task::spawn_local(snapshots::ask(host.clone(), ip, kind));
        }
    }
}
