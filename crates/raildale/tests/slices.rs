//! How much of a chunk is on its way at once.

use futures_util::FutureExt;
use raildale::fleet::agent::answer_writer::SliceWindow;

/// Whole chunks of a dozen senders stood in the queue of a link that was
/// squeezed, and requests behind them for three seconds.
#[test]
fn two_slices_leave_until_one_has_come() {
    let window = SliceWindow::new();
    let may_leave = || window.acquire().now_or_never().is_some();
    assert!(may_leave() && may_leave());
    assert!(!may_leave());
    window.acknowledge();
    assert!(may_leave());
    assert!(!may_leave());
}

#[test]
fn told_more_often_than_slices_left_it_opens_no_further() {
    let window = SliceWindow::new();
    (0..10).for_each(|_| window.acknowledge());
    let left = (0..10).filter(|_| window.acquire().now_or_never().is_some());
    assert_eq!(left.count(), 2);
}

/// Nothing waits for the other side of a connection that has ended.
#[test]
fn a_window_that_is_closed_holds_nobody() {
    let window = SliceWindow::new();
    window.close();
    let left = (0..10).filter(|_| window.acquire().now_or_never().is_some());
    assert_eq!(left.count(), 10);
}
