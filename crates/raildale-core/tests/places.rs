//! Requests whose place limits the targets that may serve them: routes and
//! organisations bound to regions, and evacuated data centres.

use std::net::SocketAddr;

use raildale_core::{
    Code, Name,
    catalog::Stamp,
    gateway::{
        Admission, Gateway, GatewayConfig, Outcome, Refusal, RequestHead,
        Route, RouteKind, Routing, Service, TargetReport, TargetSpec,
        evacuations::{Evacuations, LOST_RETENTION_MS},
        regions::Regions,
        request::{Next, Obstacle},
        retry_budget::RetryBound,
        routes::Organisation,
        shares::Sender,
    },
};
use yare::parameterized;

const START_MS: u64 = 1_000_000;
const CENTRES: [&str; 3] = ["north-a", "south-a", "south-b"];

/// Two data centres are in the same region.
fn regions() -> Regions {
    Regions::new()
        .with_data_centre("north-a".into(), "north".into())
        .with_data_centre("south-a".into(), "south".into())
        .with_data_centre("south-b".into(), "south".into())
}

fn names(texts: &[&str]) -> Vec<Name> {
    texts.iter().map(|text| Name::from(*text)).collect()
}

/// Returns a gateway in `north-a` whose only route and organisation are bound
/// to regions, with two targets in each data centre.
fn gateway(route_regions: &[&str], organisation_regions: &[&str]) -> Gateway {
    let route = Route {
        name: "lookup".into(),
        host: "a".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_500,
        goal_ms: 150,
        gap_goal_ms: 0,
        priority: 1,
        backends: vec![("ledger".into(), 1)],
        max_attempts: 3,
        is_public: false,
        is_resumable: false,
        regions: names(route_regions),
    };
    let organisation = Organisation {
        name: "club".into(),
        priority: None,
        regions: names(organisation_regions),
    };
    let mut gateway = Gateway::new(GatewayConfig {
        data_centre: "north-a".into(),
        retries: RetryBound { ratio: 0.2, extra: 100.0 },
        version_ms: 0,
        regions: regions(),
    });
    gateway.versions.record_read();
    gateway.set_routing(
        Routing::new(1)
            .with_route(route)
            .with_service(Service {
                name: "ledger".into(),
                ..Service::default()
            })
            .with_organisation(organisation, [Name::from("key")]),
    );
    let sender = Sender { data_centre: "north-a".into(), demand: 10.0 };
    gateway.set_entry_hosts(vec![sender], 0);
    for number in 0..6 {
        list(&mut gateway, number);
    }
    gateway
}

/// Lists a target; its data centre follows from its number.
fn list(gateway: &mut Gateway, number: u8) {
    let address = SocketAddr::from(([10, 0, 0, number + 1], 80));
    gateway.targets.put(TargetSpec {
        id: Name::from(format!("t{number}")),
        service: "ledger".into(),
        address,
        data_centre: CENTRES[usize::from(number % 3)].into(),
        slots: 2,
        is_draining: false,
        born_ms: None,
        serves_version: None,
        cold_ms: 0,
        stamp: Stamp::new(0, 1),
    });
    let report = TargetReport {
        is_up: true,
        is_accepting: true,
        pace: 1.0,
        ..TargetReport::default()
    };
    gateway.targets.record_report(START_MS, address, report);
}

fn admit(gateway: &mut Gateway) -> Admission {
    let head = RequestHead {
        host: "a".into(),
        path: "/x".into(),
        key: Some("key".into()),
        deadline_ms: Some(1_500),
        ..RequestHead::default()
    };
    gateway.admit(START_MS, &head, 0).expect("it is admitted")
}

/// Sends a request and returns the data centre of its target.
fn send(
    gateway: &mut Gateway,
    request: &mut Admission,
) -> Result<Name, Refusal> {
    match gateway.next(START_MS, request, START_MS, 0) {
        Next::Send(dispatch) => {
            let target = gateway.targets.get(&dispatch.target);
            Ok(target.expect("it is listed").spec.data_centre.clone())
        }
        Next::Refuse(refusal) => Err(refusal),
        Next::Wait(_) => panic!("it waits although targets are idle"),
    }
}

fn end(gateway: &mut Gateway, request: &mut Admission, outcome: Outcome) {
    let target = request.tried.last().expect("an attempt").clone();
    gateway.on_attempt_ended(START_MS, request, &target, outcome);
}

/// The route's and the organisation's regions both bind, for the first attempt
/// and for repeats.
#[parameterized(
    route = { &["south"], &[], &["south-a", "south-b"] },
    organisation = { &[], &["south"], &["south-a", "south-b"] },
    both = { &["north", "south"], &["south"], &["south-a", "south-b"] },
    near = { &["north"], &[], &["north-a"] },
    any = { &[], &[], &CENTRES },
)]
fn every_attempt_stays_in_the_allowed_regions(
    route: &[&str],
    organisation: &[&str],
    allowed: &[&str],
) {
    let mut gateway = gateway(route, organisation);
    for _ in 0..200 {
        admit(&mut gateway);
    }
    for _ in 0..40 {
        let mut request = admit(&mut gateway);
        for outcome in [Outcome::Unreachable, Outcome::Whole] {
            let centre = send(&mut gateway, &mut request).expect("it is sent");
            assert!(allowed.contains(&&*centre), "sent to {centre}");
            end(&mut gateway, &mut request, outcome);
        }
    }
}

/// A request that may be served nowhere is refused at once, and the refusal
/// says that it has not run.
#[parameterized(
    disjoint = { &["north"], &["south"], Obstacle::Region },
    unknown = { &["west"], &[], Obstacle::Region },
    evacuated = { &["north"], &[], Obstacle::Evacuation },
)]
fn a_request_without_an_allowed_place_is_refused_at_once(
    route: &[&str],
    organisation: &[&str],
    obstacle: Obstacle,
) {
    let mut gateway = gateway(route, organisation);
    gateway.targets.evacuations.begin("north-a".into());
    let mut request = admit(&mut gateway);
    let refusal = send(&mut gateway, &mut request).expect_err("it is refused");
    assert_eq!(refusal.code, Code::NoAllowedTarget);
    assert_eq!(refusal.obstacle, obstacle);
    let retry_ms = refusal.retry_after_ms.expect("it tells when to return");
    assert!(retry_ms * 3 <= 1_500, "no caller waits {retry_ms} ms");
}

/// The targets of an evacuated data centre get nothing, and no own slots are
/// counted there, until the operator ends the evacuation.
#[test]
fn an_evacuated_data_centre_gets_nothing() {
    let mut gateway = gateway(&[], &[]);
    let centre = |gateway: &mut Gateway| {
        let mut request = admit(gateway);
        let centre = send(gateway, &mut request).expect("it is sent");
        end(gateway, &mut request, Outcome::Whole);
        centre
    };
    assert_eq!(&*centre(&mut gateway), "north-a");
    assert!(gateway.targets.evacuations.begin("north-a".into()));
    for _ in 0..40 {
        assert_ne!(&*centre(&mut gateway), "north-a");
    }
    assert!(gateway.targets.evacuations.end("north-a"));
    assert_eq!(&*centre(&mut gateway), "north-a");
}

/// An entry host that starts during an evacuation sends nothing before it
/// knows of it.
#[test]
fn nothing_is_sent_before_evacuations_are_known() {
    let mut gateway = gateway(&[], &[]);
    gateway.targets.evacuations = Evacuations::pending();
    let mut request = admit(&mut gateway);
    let refusal = send(&mut gateway, &mut request).expect_err("it is refused");
    assert_eq!(refusal.obstacle, Obstacle::Evacuation);
    gateway.targets.evacuations.set_known();
    let mut request = admit(&mut gateway);
    send(&mut gateway, &mut request).expect("it is sent");
}

/// A restored store may lack an evacuation that was acknowledged: it holds on
/// until the operator can have written it again.
#[test]
fn an_evacuation_that_a_restore_lost_holds_for_a_while() {
    let mut evacuations = Evacuations::new();
    evacuations.begin("north-a".into());
    evacuations.record_lost(START_MS, "north-a");
    assert!(evacuations.sweep(START_MS + LOST_RETENTION_MS - 1).is_empty());
    assert!(evacuations.is_evacuated("north-a"));
    evacuations.begin("south-a".into());
    evacuations.record_lost(START_MS, "south-a");
    evacuations.begin("south-a".into());
    let over = evacuations.sweep(START_MS + LOST_RETENTION_MS);
    assert_eq!(over, [Name::from("north-a")]);
    assert!(evacuations.is_evacuated("south-a"), "it was written again");
}
