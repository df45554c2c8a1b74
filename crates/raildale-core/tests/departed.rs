//! Target starts that have left the list stay removed when the store is
//! restored from an older copy.

use raildale_core::{
    catalog::Stamp,
    gateway::{target_end::StartId, targets::departed::Departed},
};

const START_MS: u64 = 1_000_000;
const DEPARTED: StartId = StartId(7);

/// Returns departures with a start that left at revision 9 of era 1.
fn departed() -> Departed {
    let mut departed = Departed::default();
    departed.record(START_MS, DEPARTED, Stamp::new(1, 9));
    departed
}

#[test]
fn an_entry_of_a_restored_copy_is_ignored() {
    let mut departed = departed();
    for _ in 0..2 {
        assert!(departed.record_listed(DEPARTED, Stamp::new(2, 5)));
    }
    assert!(
        !departed.record_listed(StartId(8), Stamp::new(2, 5)),
        "another start"
    );
}

#[test]
fn a_start_that_rewrites_its_entry_is_listed_again() {
    let mut same_era = departed();
    assert!(!same_era.record_listed(DEPARTED, Stamp::new(1, 12)));
    let mut later = departed();
    assert!(
        !later.record_listed(DEPARTED, Stamp::new(2, 10)),
        "after the copy"
    );
    let mut again = departed();
    assert!(again.record_listed(DEPARTED, Stamp::new(2, 5)));
    assert!(!again.record_listed(DEPARTED, Stamp::new(2, 8)), "another stamp");
    assert!(
        !again.record_listed(DEPARTED, Stamp::new(2, 5)),
        "it is listed again"
    );
}

#[test]
fn departures_are_merged() {
    let mut departed = departed();
    departed.record_listed(DEPARTED, Stamp::new(2, 5));
    let mut other = Departed::default();
    other.merge_remote(START_MS, departed.outgoing(START_MS));
    assert!(other.record_listed(DEPARTED, Stamp::new(2, 5)));
    assert!(!other.record_listed(DEPARTED, Stamp::new(2, 6)), "rewritten");
}

#[test]
fn an_entry_that_stays_listed_is_accepted_after_30_s() {
    let mut departed = departed();
    departed.record_listed(DEPARTED, Stamp::new(2, 5));
    assert_eq!(departed.sweep(START_MS + 30_000), []);
    assert_eq!(departed.sweep(START_MS + 30_001), [DEPARTED]);
    assert!(!departed.record_listed(DEPARTED, Stamp::new(2, 5)));
}
