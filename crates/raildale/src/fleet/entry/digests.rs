//! Digests: messages between the data centres of a large fleet.
//!
//! A relay sends what it hears in its own data centre to one entry host of
//! each other data centre. Both distribute the digest among their neighbours:
//! they send it to a few, which pass it on.

use std::net::IpAddr;

use raildale_core::{
    fleet_message::{Digest, DigestTarget, Note, Report},
    members::{HEARTBEAT_INTERVAL_MS, fan_out, relays::HEARTBEATS_PER_DIGEST},
};
use tokio::net::UdpSocket;

use super::{EntryHost, peers};
use crate::fleet::{
    edge::{Dialect, Store},
    frames,
    steady_clock::now_ms,
};

/// The time between two digests of a relay, in milliseconds, as announced to
/// the receivers: [`HEARTBEATS_PER_DIGEST`] heartbeats.
const DIGEST_EVERY_MS: u32 =
    (HEARTBEAT_INTERVAL_MS * HEARTBEATS_PER_DIGEST) as u32;

/// Sends a digest after heartbeat number `beat` if this entry host is a relay
/// and due to send one.
pub(super) async fn send<P>(host: &EntryHost<P>, socket: &UdpSocket, beat: u64)
where
    P: Dialect + Store + 'static,
{
    if host.is_leaving() {
        return;
    }
    let now = now_ms();
    let place = host.members.borrow().relay_index(now, host.is_ready());
    let Some(place) = place else { return };
    if beat % HEARTBEATS_PER_DIGEST != place as u64 % HEARTBEATS_PER_DIGEST {
        return;
    }
    let Some(digest) = digest(host) else { return };
    let note = frames::encode_note(Note::Digest(digest.clone()));
    let draw = rand::random_range(0..usize::from(u16::MAX));
    let recipients = host.members.borrow().digest_recipients(now, place, draw);
    peers::send_to_hosts(host, socket, &note, recipients).await;
    let audience = host.members.borrow().audience(now, rand::random());
    distribute(host, socket, digest, audience).await;
}

/// Returns the digest of what this entry host hears in its data centre; `None`
/// if its own address is not IPv4.
fn digest<P>(host: &EntryHost<P>) -> Option<Digest>
where
    P: Dialect + Store + 'static,
{
    let IpAddr::V4(own_ip) = host.node.ip else { return None };
    let now = now_ms();
    let hello = peers::hello(host);
    let mut members = host.members.borrow_mut();
    Some(Digest {
        hello: Some(hello),
        relay_ip: u32::from(own_ip),
        entry_hosts: members.digest_entry_hosts(now),
        targets: heard_targets(host),
        sent_ms: now,
        echoes: members.round_trips().echoes(now),
        round_trip_ms: 0,
        pass_on_to: Vec::new(),
    })
}

/// Returns the targets whose agents report to this entry host.
fn heard_targets<P>(host: &EntryHost<P>) -> Vec<DigestTarget> {
    let now = now_ms();
    let gateway = host.gateway.borrow();
    let heard = gateway.targets.iter().filter_map(|target| {
        let (report, age_ms) = target.direct_report(now)?;
        let mut wire_report = Report::of(target.spec.address, report);
        wire_report.every_ms = DIGEST_EVERY_MS;
        let round_trip_ms = report.round_trip_ms;
        Some(DigestTarget { report: Some(wire_report), age_ms, round_trip_ms })
    });
    heard.collect()
}

/// Applies a digest and passes it on: to all neighbours if it comes directly
/// from a relay of another data centre, else to those that it names.
pub(super) async fn handle<P>(
    host: &EntryHost<P>,
    socket: &UdpSocket,
    from: IpAddr,
    mut digest: Digest,
) where
    P: Dialect + Store + 'static,
{
    let relay_ip = IpAddr::V4(digest.relay_ip.into());
    let is_near = digest
        .hello
        .as_ref()
        .is_some_and(|hello| hello.data_centre == host.node.data_centre);
    let is_first_hand = from == relay_ip && !is_near;
    if is_first_hand {
        digest.round_trip_ms = host.members.borrow_mut().round_trips().record(
            now_ms(),
            digest.relay_ip,
            digest.sent_ms,
            host.node.ip,
            &digest.echoes,
        );
        // They only serve the first receiver.
        digest.echoes.clear();
    }
    record(host, relay_ip, &digest);
    let recipients = match is_first_hand {
        true => host.members.borrow().audience(now_ms(), rand::random()),
        false => named_recipients(&digest),
    };
    distribute(host, socket, digest, recipients).await;
}

/// Returns the entry hosts to which a digest is to be passed on.
fn named_recipients(digest: &Digest) -> Vec<IpAddr> {
    let addresses = digest.pass_on_to.iter();
    addresses.map(|ip| IpAddr::V4((*ip).into())).collect()
}

/// Records what a digest reports of entry hosts and targets.
fn record<P>(host: &EntryHost<P>, relay_ip: IpAddr, digest: &Digest)
where
    P: Dialect + Store + 'static,
{
    let now = now_ms();
    if let Some(hello) = digest.hello.clone() {
        peers::record_hello(host, relay_ip, hello);
    }
    for entry in &digest.entry_hosts {
        host.members.borrow_mut().on_digest_entry(now, entry);
    }
    let mut gateway = host.gateway.borrow_mut();
    for target in &digest.targets {
        let Some(wire) = &target.report else { continue };
        let Some(address) = peers::target_address(wire, relay_ip) else {
            continue;
        };
        let mut report = wire.target_report(now, 0);
        report.round_trip_ms = target.round_trip_ms + digest.round_trip_ms;
        let at_ms = now.saturating_sub(target.age_ms);
        gateway.targets.record_relayed_report(at_ms, address, report);
    }
    drop(gateway);
    host.handle_ended_targets();
}

/// Sends a digest to the first of `recipients`, which pass it on to the
/// others.
async fn distribute<P>(
    host: &EntryHost<P>,
    socket: &UdpSocket,
    mut digest: Digest,
    recipients: Vec<IpAddr>,
) where
    P: Dialect + Store + 'static,
{
    for branch in fan_out::branches(&recipients) {
        let pass_on_to = branch.pass_on_to.iter().filter_map(ipv4_number);
        digest.pass_on_to = pass_on_to.collect();
        let note = frames::encode_note(Note::Digest(digest.clone()));
        peers::send_to_hosts(host, socket, &note, vec![branch.ip]).await;
    }
}

fn ipv4_number(ip: &IpAddr) -> Option<u32> {
    match ip {
        IpAddr::V4(ip) => Some(u32::from(*ip)),
        IpAddr::V6(_) => None,
    }
}
