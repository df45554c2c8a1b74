//! Entries of the list of targets that share addresses, in every order.

use std::{collections::BTreeMap, net::SocketAddr};

use raildale_core::{
    Name,
    catalog::Stamp,
    gateway::{
        Gateway, GatewayConfig, Routing, Service, TargetSpec,
        regions::Regions, retry_budget::RetryBound,
    },
};
use yare::parameterized;

const USED: &str = "used";
const OTHER: &str = "other";

/// A step that changes the list of targets or the configuration.
#[derive(Clone, Debug)]
enum Step {
    /// An entry is listed.
    Put(TargetSpec),
    /// An entry is listed that does not decode, or leaves the list.
    Remove(&'static str),
    /// A configuration names these services.
    Configure(u64, &'static [&'static str]),
}

fn entry(id: &str, service: &str, host: u8, revision: u64) -> TargetSpec {
    TargetSpec {
        id: Name::from(id),
        born_ms: None,
        service: Name::from(service),
        address: SocketAddr::from(([10, 0, 0, host], 80)),
        data_centre: Name::from("dc"),
        slots: 4,
        is_draining: false,
        serves_version: None,
        cold_ms: 0,
        stamp: Stamp::new(0, revision),
    }
}

fn routing(version: u64, services: &[&str]) -> Routing {
    let named = |name: &&str| Service {
        name: Name::from(*name),
        ..Service::default()
    };
    let services = services.iter().map(named);
    services.fold(Routing::new(version), Routing::with_service)
}

fn new_gateway() -> Gateway {
    Gateway::new(GatewayConfig {
        data_centre: Name::from("dc"),
        retries: RetryBound { ratio: 0.2, extra: 10.0 },
        version_ms: 8_000,
        regions: Regions::new(),
    })
}

fn apply(gateway: &mut Gateway, step: &Step) {
    match step {
        Step::Put(spec) => {
            gateway.targets.put(spec.clone());
        }
        Step::Remove(id) => gateway.targets.remove(id),
        Step::Configure(version, services) => {
            gateway.set_routing(routing(*version, services));
        }
    }
}

/// Returns the used targets with their addresses.
fn used(gateway: &Gateway) -> BTreeMap<Name, SocketAddr> {
    let targets = gateway.targets.iter();
    let targets = targets.filter(|target| {
        let service = &target.spec.service;
        gateway.targets.count(service) > 0
    });
    targets.map(|t| (t.spec.id.clone(), t.spec.address)).collect()
}

/// Calls `visit` with every order of `steps`.
fn for_each_order(
    steps: &mut [Step],
    from: usize,
    visit: &mut dyn FnMut(&[Step]),
) {
    if from == steps.len() {
        return visit(steps);
    }
    for other in from..steps.len() {
        steps.swap(from, other);
        for_each_order(steps, from + 1, visit);
        steps.swap(from, other);
    }
}

/// Guards against an entry of an unknown service that took the address of a
/// target in service when it arrived before the configuration: whatever the
/// order, the same targets are used, also when all is applied again.
#[parameterized(
    foreign_is_later = {
        vec![entry("b", USED, 1, 5), entry("i", OTHER, 1, 9)], &["b"]
    },
    foreign_is_earlier = {
        vec![entry("b", USED, 1, 9), entry("i", OTHER, 1, 5)], &["b"]
    },
    foreign_name_is_first = {
        vec![entry("b", USED, 1, 5), entry("a", OTHER, 1, 9)], &["b"]
    },
    two_foreign = {
        vec![
            entry("b", USED, 1, 5),
            entry("a", OTHER, 1, 7),
            entry("c", OTHER, 1, 9),
        ],
        &["b"]
    },
    superseded = {
        vec![
            entry("b", USED, 1, 5),
            entry("c", USED, 1, 9),
            entry("i", OTHER, 1, 11),
            entry("d", USED, 2, 3),
        ],
        &["c", "d"]
    },
    only_foreign = { vec![entry("i", OTHER, 1, 9)], &[] },
)]
fn the_order_of_entries_makes_no_difference(
    entries: Vec<TargetSpec>,
    expected: &[&str],
) {
    let mut steps: Vec<Step> = entries.into_iter().map(Step::Put).collect();
    steps.push(Step::Configure(1, &[USED]));
    for_each_order(&mut steps, 0, &mut |order| {
        let mut gateway = new_gateway();
        for replay in 0..2 {
            order.iter().for_each(|step| apply(&mut gateway, step));
            let used = used(&gateway);
            let names: Vec<&str> = used.keys().map(|id| &**id).collect();
            assert_eq!(names, expected, "replay {replay} of {order:?}");
        }
    });
}

/// An entry that was turned away is used once the one that has its address
/// goes, no longer decodes, moves, or loses its service.
#[parameterized(
    leaves = { Step::Remove("c"), &["b"] },
    moves = { Step::Put(entry("c", USED, 2, 11)), &["b", "c"] },
    moves_service = { Step::Put(entry("c", OTHER, 1, 11)), &["b"] },
    nobody_left = { Step::Configure(2, &[OTHER]), &[] },
)]
fn a_displaced_entry_is_used_again(change: Step, expected: &[&str]) {
    let mut gateway = new_gateway();
    let steps = [
        Step::Configure(1, &[USED]),
        Step::Put(entry("b", USED, 1, 5)),
        Step::Put(entry("c", USED, 1, 9)),
        change,
    ];
    steps.iter().for_each(|step| apply(&mut gateway, step));
    let used = used(&gateway);
    let names: Vec<&str> = used.keys().map(|id| &**id).collect();
    assert_eq!(names, expected);
}

/// Services that appear in the configuration and disappear again.
#[test]
fn entries_follow_the_services_of_the_configuration() {
    let mut gateway = new_gateway();
    apply(&mut gateway, &Step::Put(entry("b", USED, 1, 5)));
    apply(&mut gateway, &Step::Put(entry("i", OTHER, 1, 9)));
    let configurations: [(&[&str], &[&str]); 5] = [
        (&[USED], &["b"]),
        (&[USED, OTHER], &["i"]),
        (&[OTHER], &["i"]),
        (&[], &[]),
        (&[USED], &["b"]),
    ];
    for (version, (services, expected)) in (1..).zip(configurations) {
        apply(&mut gateway, &Step::Configure(version, services));
        let used = used(&gateway);
        let names: Vec<&str> = used.keys().map(|id| &**id).collect();
        assert_eq!(names, expected, "services {services:?}");
    }
}
