//! Bounds the tracker's work at the largest size that it is designed for, by
//! counting steps.

use std::collections::VecDeque;

use raildale_core::{
    Name,
    settings::tree::Favour,
    spread::tracker::{Tracker, TrackerConfig, TrackerMessage},
};
use yare::parameterized;

fn tracker(hosts: usize, data_centres: usize, chunks: usize) -> Tracker {
    let config = TrackerConfig {
        origin_slots: 4,
        crossing_slots: 6,
        max_neighbours: 24,
        gather_ms: 0,
        grant_timeout_ms: 10_000,
        origin_data_centre: "dc-0".into(),
    };
    let mut tracker = Tracker::new(config, 0);
    for host in 0..hosts {
        let name: Name = format!("host-{host}").into();
        let data_centre: Name = format!("dc-{}", host % data_centres).into();
        tracker.join(&name, &data_centre, "127.0.0.1:1", &[]);
    }
    tracker.set_chunks(chunks);
    tracker
}

/// Completes each grant at once; returns the numbers of grants and views.
fn run(tracker: &mut Tracker) -> (usize, usize) {
    let (mut grants, mut views) = (0, 0);
    let mut now_ms = 0;
    let mut in_flight: VecDeque<(Name, u32)> = VecDeque::new();
    loop {
        now_ms += 1;
        for update in tracker.plan(now_ms) {
            match update.message {
                TrackerMessage::Grant(chunk) => {
                    grants += 1;
                    in_flight.push_back((update.member, chunk.index));
                }
                TrackerMessage::View(_) => views += 1,
            }
        }
        let Some((member, index)) = in_flight.pop_front() else {
            return (grants, views);
        };
        tracker.record_obtained(&member, &[index], &[]);
    }
}

#[parameterized(
    a_hundred_hosts = { 100, 3, 256 },
    two_hundred_hosts = { 200, 3, 256 },
    the_size_designed_for = { 1_600, 8, 4_000 },
)]
fn work_grows_with_grants_alone(
    hosts: usize,
    data_centres: usize,
    chunks: usize,
) {
    let mut tracker = tracker(hosts, data_centres, chunks);
    let start = std::time::Instant::now();
    let (grants, views) = run(&mut tracker);
    // The time is printed for information only; the assertions use step
    // counts.
    println!(
        "{hosts} hosts, {chunks} chunks: {grants} grants, {} steps, {:?}",
        tracker.planning_steps(),
        start.elapsed()
    );
    assert_eq!(
        grants,
        chunks * data_centres,
        "each chunk enters each data centre once"
    );
    assert_eq!(views, hosts, "each agent gets its neighbours once");
    let steps_per_grant = tracker.planning_steps() / grants as u64;
    assert!(steps_per_grant <= 100, "{steps_per_grant} steps per grant");
}

/// With `time`, the origin may send a second copy of a chunk but no third;
/// with `origin-bytes`, it sends one.
#[parameterized(
    origin_bytes = { Favour::OriginBytes, 256, 256 },
    time = { Favour::Time, 257, 512 },
)]
fn the_origin_sends_what_the_setting_allows(
    favour: Favour,
    min_copies: usize,
    max_copies: usize,
) {
    let mut tracker = tracker(60, 3, 256);
    tracker.set_favour(favour);
    let mut from_origin = 0;
    let mut in_flight: VecDeque<(Name, u32)> = VecDeque::new();
    for now_ms in 1.. {
        for update in tracker.plan(now_ms) {
            if let TrackerMessage::Grant(chunk) = update.message {
                from_origin += usize::from(chunk.source.is_none());
                in_flight.push_back((update.member, chunk.index));
            }
        }
        let Some((member, index)) = in_flight.pop_front() else { break };
        tracker.record_obtained(&member, &[index], &[]);
    }
    assert!((min_copies..=max_copies).contains(&from_origin), "{from_origin}");
}

/// Encoded sizes of messages between neighbours and trackers, which
/// docs/CAPACITY.md uses.
#[test]
fn control_messages_stay_small() {
    use prost::Message;
    use raildale_core::message::{
        Body, Frame, Grant, GrantedChunk, Have, Obtained, PeerAddress,
    };
    const LENGTH_BYTES: usize = 4;
    let size = |body| Frame::new(body).encoded_len() + LENGTH_BYTES;
    let manifest = vec![7; 32];
    let have = size(Body::Have(Have {
        manifest: manifest.clone(),
        bitmap: vec![],
        indices: vec![3_999],
        asks: false,
    }));
    let source = PeerAddress {
        name: "host-1599".into(),
        address: "10.200.200.200:7000".into(),
    };
    let grant = size(Body::Grant(Grant {
        manifest: manifest.clone(),
        chunks: vec![GrantedChunk { index: 3_999, source: Some(source) }],
    }));
    let obtained = size(Body::Obtained(Obtained {
        manifest,
        held: vec![3_999],
        failed: vec![],
    }));
    println!("have {have}, grant {grant}, obtained {obtained} bytes");
    assert!(have <= 50, "{have}");
    assert!(grant <= 90, "{grant}");
    assert!(obtained <= 50, "{obtained}");
}
