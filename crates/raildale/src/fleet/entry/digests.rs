//! What the data centres of a large fleet tell one another.
//!
//! A relay tells its neighbours, and one entry host of each other data centre,
//! what it hears in its own; that one passes the digest on to its neighbours.

use std::net::IpAddr;

use raildale_core::{
    fleet_message::{Digest, DigestTarget, Note, Report},
    members::relays::HEARTBEATS_PER_DIGEST,
};
use tokio::net::UdpSocket;

use super::{EntryHost, peers};
use crate::fleet::{
    edge::{Dialect, Store},
    frames,
    steady_clock::now_ms,
};

/// Time between two digests of a relay, in milliseconds, as its readers
/// expect them: [`HEARTBEATS_PER_DIGEST`] heartbeats.
const DIGEST_EVERY_MS: u32 =
    peers::HEARTBEAT.as_millis() as u32 * HEARTBEATS_PER_DIGEST as u32;

/// Sends a digest with the heartbeat number `beat`, if this entry host is a
/// relay and it is its turn.
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
    let note = frames::encode_note(Note::Digest(digest));
    let draw = rand::random_range(0..usize::from(u16::MAX));
    let mut recipients =
        host.members.borrow().digest_recipients(now, place, draw);
    recipients.extend(host.members.borrow().neighbours());
    peers::send_to_hosts(host, socket, &note, recipients).await;
}

/// What this entry host hears in its data centre.
fn digest<P>(host: &EntryHost<P>) -> Option<Digest>
where
    P: Dialect + Store + 'static,
{
    let IpAddr::V4(own_ip) = host.node.ip else { return None };
    let now = now_ms();
    let mut members = host.members.borrow_mut();
    Some(Digest {
        hello: Some(peers::hello(host)),
        relay_ip: u32::from(own_ip),
        entry_hosts: members.digest_entry_hosts(now),
        targets: heard_targets(host),
        sent_ms: now,
        echoes: members.round_trips().echoes(now),
        round_trip_ms: 0,
    })
}

/// The targets whose agents report to this entry host.
fn heard_targets<P>(host: &EntryHost<P>) -> Vec<DigestTarget> {
    let now = now_ms();
    let gateway = host.gateway.borrow();
    let heard = gateway.targets.iter().filter_map(|target| {
        let (report, age_ms) = target.heard_report(now)?;
        let mut told = Report::of(target.spec.address, report);
        told.every_ms = DIGEST_EVERY_MS;
        let round_trip_ms = report.round_trip_ms;
        Some(DigestTarget { report: Some(told), age_ms, round_trip_ms })
    });
    heard.collect()
}

/// Takes a digest in, and passes it on if it comes from its relay.
pub(super) async fn take<P>(
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
    }
    note(host, relay_ip, &digest);
    if is_first_hand {
        pass_on(host, socket, relay_ip, digest).await;
    }
}

/// Notes what a digest tells of entry hosts and targets.
fn note<P>(host: &EntryHost<P>, relay_ip: IpAddr, digest: &Digest)
where
    P: Dialect + Store + 'static,
{
    let now = now_ms();
    if let Some(hello) = digest.hello.clone() {
        peers::note_hello(host, relay_ip, hello);
    }
    for told in &digest.entry_hosts {
        host.members.borrow_mut().on_digest_entry(now, told);
    }
    let mut gateway = host.gateway.borrow_mut();
    for told in &digest.targets {
        let Some(wire) = &told.report else { continue };
        let Some(address) = peers::target_address(wire, relay_ip) else {
            continue;
        };
        let mut report = wire.target_report(now);
        report.round_trip_ms = told.round_trip_ms + digest.round_trip_ms;
        let at_ms = now.saturating_sub(told.age_ms);
        gateway.targets.note_told(at_ms, address, report);
    }
    drop(gateway);
    host.note_ends();
}

/// Passes a digest on to the neighbours; the way is measured, and what others
/// sent back is of no use to them.
async fn pass_on<P>(
    host: &EntryHost<P>,
    socket: &UdpSocket,
    relay_ip: IpAddr,
    mut digest: Digest,
) where
    P: Dialect + Store + 'static,
{
    digest.echoes.clear();
    let note = frames::encode_note(Note::Digest(digest));
    let mut recipients: Vec<IpAddr> =
        host.members.borrow().neighbours().collect();
    recipients.retain(|ip| *ip != relay_ip);
    peers::send_to_hosts(host, socket, &note, recipients).await;
}
