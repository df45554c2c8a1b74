//! Heartbeats and other datagrams between entry hosts, and between entry hosts
//! and agents. Messages between the data centres of a large fleet are in
//! [`super::digests`].

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use raildale_core::{
    LogEvent, Name,
    catalog::{Extent, Kind},
    fleet_message::{Hello, Note, Report},
    gateway::shares::Shares,
    members::{HEARTBEAT_INTERVAL_MS, Heartbeat, MemberEntry},
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

/// The time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration =
    Duration::from_millis(HEARTBEAT_INTERVAL_MS);

/// The time between two own heartbeats, in milliseconds, above which the
/// process or its machine is taken to have been suspended: a little over three
/// heartbeats, as for the other entry hosts.
const STALL_MS: u64 = 1_400;

/// The pause after an urgent heartbeat, so that the next one carries several
/// changes: a power cut ends hundreds of targets within a fifth of a second.
const URGENT_HEARTBEAT_PAUSE: Duration = Duration::from_millis(50);

/// Starts the tasks that send and receive datagrams.
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
    tokio::task::spawn_local(run_heartbeats(host.clone(), socket.clone()));
    tokio::task::spawn_local(send_urgent_heartbeats(host.clone(), socket));
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
                if handle_hello(&host, from.ip(), hello) {
                    send(&socket, &hello_note(&host), from).await;
                }
            }
            (Note::Report(report), from) => handle_report(&host, from, report),
            (Note::BriefingRequest(request), from) => {
                if let Some(note) =
                    briefings::for_agent(&host, from.ip(), &request)
                {
                    send(&socket, &note, from).await;
                }
            }
            (Note::Digest(digest), from) => {
                digests::handle(&host, &socket, from.ip(), digest).await;
                fetch_newer_kinds(&host);
            }
            (Note::Briefing(_), from) => {
                log::debug!("unexpected briefing from {from}");
            }
        }
    }
}

/// Handles a heartbeat. Returns whether its sender may know nothing yet, so
/// that it is answered at once.
fn handle_hello<P>(host: &Rc<EntryHost<P>>, ip: IpAddr, hello: Hello) -> bool
where
    P: Dialect + Store + 'static,
{
    let is_new = record_hello(host, ip, hello);
    fetch_newer_kinds(host);
    is_new
}

/// Records the content of a heartbeat. Returns whether its sender had not been
/// heard recently.
pub(super) fn record_hello<P>(
    host: &EntryHost<P>,
    ip: IpAddr,
    hello: Hello,
) -> bool
where
    P: Dialect + Store + 'static,
{
    let extents = hello.extents();
    let told = hello.told_versions(now_ms());
    let entry = MemberEntry {
        name: Name::from(hello.name),
        ip,
        data_centre: Name::from(hello.data_centre),
        cpu_millis: None,
    };
    let heartbeat = Heartbeat {
        is_leaving: hello.is_leaving,
        is_ready: hello.is_ready,
        extents,
        sees_store: hello.sees_store,
        demand_per_s: f64::from(hello.demand_per_s),
        is_concentrating: hello.is_concentrating,
    };
    host.merge_told_versions(ip, told);
    host.handle_peer_suspects(hello.suspects);
    host.handle_peer_notices(ip, hello.notices);
    host.members.borrow_mut().on_heartbeat(now_ms(), entry, heartbeat)
}

fn handle_report<P>(host: &EntryHost<P>, from: SocketAddr, report: Report)
where
    P: Dialect + Store + 'static,
{
    let Some(address) = target_address(&report, from.ip()) else { return };
    let now = now_ms();
    let mut gateway = host.gateway.borrow_mut();
    let briefed_ms = gateway.targets.briefed_ms(address);
    let report = report.target_report(now, briefed_ms);
    gateway.targets.record_report(now, address, report);
    drop(gateway);
    host.handle_ended_targets();
}

/// Returns the address of the target that a report is about; `None`, with a
/// log line, if it does not parse.
pub(super) fn target_address(
    report: &Report,
    from: IpAddr,
) -> Option<SocketAddr> {
    report
        .address
        .parse()
        .inspect_err(|error| {
            log::warn!("report from {from}: invalid address: {error}")
        })
        .ok()
}

async fn run_heartbeats<P>(host: Rc<EntryHost<P>>, socket: Rc<UdpSocket>)
where
    P: Dialect + Store + 'static,
{
    let mut beat = 0;
    let mut last_beat_ms = now_ms();
    loop {
        let still_ms = now_ms().saturating_sub(last_beat_ms);
        if still_ms > STALL_MS {
            host.on_stall(still_ms);
        }
        last_beat_ms = now_ms();
        send_heartbeats_and_briefings(&host, &socket).await;
        fetch_newer_kinds(&host);
        host.sweep();
        host.publish_quarantine_changes();
        culprits::reconcile_records(&host);
        host.reconcile_naming_records();
        log_liveness_changes(&host);
        let due = host.briefing_due.notified();
        // Woken early when other processes must learn of a change.
        let is_early =
            tokio::time::timeout(HEARTBEAT_INTERVAL, due).await.is_ok();
        if !is_early {
            beat += 1;
            digests::send(&host, &socket, beat).await;
        }
    }
}

/// Sends a heartbeat at once when requests have lost targets, or when targets
/// take less. If this waited for the next regular heartbeat, each of seven
/// entry hosts would first lose a target to the same request.
async fn send_urgent_heartbeats<P>(
    host: Rc<EntryHost<P>>,
    socket: Rc<UdpSocket>,
) where
    P: Dialect + Store + 'static,
{
    loop {
        host.urgent_heartbeat_due.notified().await;
        let hello = hello_note(&host);
        let recipients = heartbeat_recipients(&host);
        send_to_hosts(&host, &socket, &hello, recipients).await;
        tokio::time::sleep(URGENT_HEARTBEAT_PAUSE).await;
    }
}

/// Logs each entry host and agent that came up or went silent.
fn log_liveness_changes<P>(host: &EntryHost<P>)
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

async fn send_heartbeats_and_briefings<P>(
    host: &Rc<EntryHost<P>>,
    socket: &UdpSocket,
) where
    P: Dialect + Store + 'static,
{
    let hello = hello_note(host);
    send_to_hosts(host, socket, &hello, heartbeat_recipients(host)).await;
    let port = host.node.agent_port();
    for (ip, note) in briefings::for_all_agents(host) {
        send(socket, &note, SocketAddr::new(ip, port)).await;
    }
    let now = now_ms();
    host.update_concentration();
    let demand_per_s = host.gateway.borrow().demand_per_s(now);
    let (hosts, own) = host.members.borrow().senders(now, demand_per_s);
    let known = host.members.borrow().others().count() + 1;
    let mut gateway = host.gateway.borrow_mut();
    let shares = Shares::new(hosts, own);
    gateway.set_shares(match host.members.borrow().is_concentrating() {
        true => shares.among_active(),
        false => shares,
    });
    gateway.set_known_entry_hosts(known);
    let is_fleet_known = host.store_mirror.is_known(Kind::EntryHosts);
    gateway.targets.set_fleet_known(is_fleet_known);
    gateway.targets.notices.set_time_of_day(now, unix_ms());
}

/// Returns the recipients of heartbeats.
fn heartbeat_recipients<P>(host: &EntryHost<P>) -> Vec<IpAddr> {
    let seeds = host.node.seed_entry_hosts().map(|seed| seed.ip());
    host.members.borrow().heartbeat_recipients(now_ms(), seeds)
}

/// Sends a datagram to the entry hosts at `recipients`.
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

/// Returns an encoded heartbeat of this entry host.
fn hello_note<P>(host: &EntryHost<P>) -> Vec<u8>
where
    P: Dialect + Store + 'static,
{
    frames::encode_note(Note::Hello(hello(host)))
}

/// Returns a heartbeat of this entry host.
pub(super) fn hello<P>(host: &EntryHost<P>) -> Hello
where
    P: Dialect + Store + 'static,
{
    let now = now_ms();
    let told = host.gateway.borrow().versions.told(now);
    let kinds = host.kinds().iter();
    let extents: Vec<Extent> =
        kinds.map(|kind| host.store_mirror.extent(*kind)).collect();
    let hello = Hello {
        name: host.node.name.clone(),
        data_centre: host.node.data_centre.clone(),
        is_leaving: host.is_leaving(),
        is_ready: host.is_ready(),
        sees_store: host.sees_store(),
        demand_per_s: host.gateway.borrow().demand_per_s(now) as f32,
        suspects: host.gateway.borrow().quarantine.outgoing(now),
        notices: host.gateway.borrow().targets.notices.outgoing(now),
        is_concentrating: host.members.borrow().is_concentrating(),
        ..Hello::default()
    };
    hello.with_extents(&extents).with_told_versions(now, told)
}

/// Fetches from other entry hosts the kinds of which they know more than this
/// one.
fn fetch_newer_kinds<P>(host: &Rc<EntryHost<P>>)
where
    P: Dialect + Store + 'static,
{
    for &kind in host.kinds() {
        if host.is_fetching(kind) || !host.may_ask_peers(kind) {
            continue;
        }
        let own = host.store_mirror.extent(kind);
        let draw = rand::random_range(0..usize::from(u16::MAX));
        let ahead =
            host.members.borrow_mut().find_ahead(now_ms(), kind, own, draw);
        let Some(ip) = ahead else { continue };
        if kind == Kind::EntryHosts && waits_for_neighbours(host, ip) {
            continue;
        }
        host.set_fetching(kind, true);
        tokio::task::spawn_local(snapshots::fetch_and_apply(
            host.clone(),
            ip,
            kind,
        ));
    }
}

/// Returns whether this entry host still leaves it to others of its data
/// centre to fetch the list of entry hosts from the one at `ip`. If so, it
/// tries again when that time is over.
fn waits_for_neighbours<P>(host: &Rc<EntryHost<P>>, ip: IpAddr) -> bool
where
    P: Dialect + Store + 'static,
{
    let is_scheduled = host.joining.borrow().has_heard_remote();
    let wait_ms = host.list_wait_ms(ip);
    if wait_ms > 0 && !is_scheduled {
        tokio::task::spawn_local(fetch_later(host.clone(), wait_ms));
    }
    wait_ms > 0
}

/// Fetches newer kinds after `wait_ms` milliseconds.
async fn fetch_later<P>(host: Rc<EntryHost<P>>, wait_ms: u64)
where
    P: Dialect + Store + 'static,
{
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    fetch_newer_kinds(&host);
}
