//! Starts that have left are not back by a restore of the store.

use raildale_core::{
    catalog::Stamp,
    gateway::{target_end::StartId, targets::departed::Departed},
};

const START_MS: u64 = 1_000_000;
const LEFT: StartId = StartId(7);

/// A start that left at revision 9 of era 1.
fn departed() -> Departed {
    let mut departed = Departed::default();
    departed.note(START_MS, LEFT, Stamp::new(1, 9));
    departed
}

#[test]
fn an_entry_of_a_restored_copy_is_none() {
    let mut departed = departed();
    for _ in 0..2 {
        assert!(departed.note_listed(LEFT, Stamp::new(2, 5)));
    }
    assert!(!departed.note_listed(StartId(8), Stamp::new(2, 5)), "another");
}

#[test]
fn a_start_that_writes_its_entry_again_is_back() {
    let mut same_era = departed();
    assert!(!same_era.note_listed(LEFT, Stamp::new(1, 12)));
    let mut later = departed();
    assert!(!later.note_listed(LEFT, Stamp::new(2, 10)), "after the copy");
    let mut again = departed();
    assert!(again.note_listed(LEFT, Stamp::new(2, 5)));
    assert!(!again.note_listed(LEFT, Stamp::new(2, 8)), "another stamp");
    assert!(!again.note_listed(LEFT, Stamp::new(2, 5)), "it is back");
}

#[test]
fn what_is_told_is_known() {
    let mut departed = departed();
    departed.note_listed(LEFT, Stamp::new(2, 5));
    let mut other = Departed::default();
    other.merge_remote(START_MS, departed.outgoing(START_MS));
    assert!(other.note_listed(LEFT, Stamp::new(2, 5)));
    assert!(!other.note_listed(LEFT, Stamp::new(2, 6)), "written again");
}

#[test]
fn an_entry_that_stays_listed_counts_in_the_end() {
    let mut departed = departed();
    departed.note_listed(LEFT, Stamp::new(2, 5));
    assert_eq!(departed.sweep(START_MS + 30_000), []);
    assert_eq!(departed.sweep(START_MS + 30_001), [LEFT]);
    assert!(!departed.note_listed(LEFT, Stamp::new(2, 5)));
}
