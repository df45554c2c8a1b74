//! The slots of each target that an entry host owns.

use raildale_core::{
    Name,
    gateway::shares::{Parts, Sender, Shares},
};

const SLOTS: u32 = 16;

/// Returns the entry hosts and the number of targets in each data centre.
fn fleet() -> (Vec<Sender>, Vec<(Name, usize)>) {
    let senders = [("a", 4, 10.0), ("b", 2, 30.0), ("c", 3, 5.0)];
    let senders = senders.iter().flat_map(|(centre, count, demand)| {
        let data_centre = Name::from(*centre);
        vec![Sender { data_centre, demand: *demand }; *count]
    });
    let targets = ["a", "b", "c"].map(|centre| (Name::from(centre), 4));
    (senders.collect(), targets.to_vec())
}

fn parts_of(own: usize) -> Parts {
    let (senders, targets) = fleet();
    let supplies: Vec<(Name, f64)> = targets
        .iter()
        .map(|(centre, count)| {
            (centre.clone(), *count as f64 * f64::from(SLOTS))
        })
        .collect();
    Shares::new(senders, own).parts(&supplies)
}

/// Returns the slots owned at each target, by entry host.
fn own_slots() -> Vec<Vec<u32>> {
    let (senders, targets) = fleet();
    (0..senders.len())
        .map(|own| {
            let parts = parts_of(own);
            let centres = targets.iter().flat_map(|(centre, count)| {
                std::iter::repeat_n(centre, *count)
            });
            centres
                .enumerate()
                .map(|(place, centre)| parts.own_slots(centre, SLOTS, place))
                .collect()
        })
        .collect()
}

#[test]
fn every_slot_has_one_owner() {
    let own = own_slots();
    for target in 0..12 {
        let owned: u32 = own.iter().map(|slots| slots[target]).sum();
        assert!(owned.abs_diff(SLOTS) <= 1, "target {target}: {owned}");
    }
}

#[test]
fn slots_follow_demand_with_the_own_data_centre_first() {
    let own = own_slots();
    let sum = |host: usize| own[host].iter().sum::<u32>();
    // 192 slots are divided for a total demand of 4 * 10 + 2 * 30 + 3 * 5.
    assert!(sum(0).abs_diff(17) <= 2, "{}", sum(0));
    assert!(sum(4).abs_diff(50) <= 3, "{}", sum(4));
    assert!(sum(6).abs_diff(8) <= 2, "{}", sum(6));
    let elsewhere: u32 = own[0][4..].iter().sum();
    assert!(elsewhere <= 1, "its own data centre nearly has enough");
    let in_own_centre: u32 = own[4][4..8].iter().sum();
    assert!(
        in_own_centre >= 31,
        "half of its data centre's 64: {in_own_centre}"
    );
}

#[test]
fn an_entry_host_alone_owns_everything() {
    let sender = Sender { data_centre: Name::from("a"), demand: 0.0 };
    let shares = Shares::new(vec![sender], 0);
    let supplies = [(Name::from("a"), 16.0), (Name::from("b"), 32.0)];
    let parts = shares.parts(&supplies);
    assert_eq!(parts.own_slots("a", SLOTS, 3), SLOTS);
    assert_eq!(parts.own_slots("b", SLOTS, 5), SLOTS);
    assert_eq!(parts.own_slots("unheard of", SLOTS, 0), 0);
}
