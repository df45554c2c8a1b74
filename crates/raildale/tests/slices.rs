//! The number of slices of a connection that are in flight.

use futures_util::FutureExt;
use raildale::fleet::agent::answer_writer::SliceWindow;

/// With whole chunks in flight, those of a dozen senders filled the queue of a
/// congested link, and requests behind them waited for three seconds.
#[test]
fn two_slices_are_sent_until_one_is_acknowledged() {
    let window = SliceWindow::new();
    let may_send = || window.acquire().now_or_never().is_some();
    assert!(may_send() && may_send());
    assert!(!may_send());
    window.acknowledge();
    assert!(may_send());
    assert!(!may_send());
}

#[test]
fn surplus_acknowledgements_do_not_widen_the_window() {
    let window = SliceWindow::new();
    (0..10).for_each(|_| window.acknowledge());
    let sent = (0..10).filter(|_| window.acquire().now_or_never().is_some());
    assert_eq!(sent.count(), 2);
}

/// Nothing waits for the peer of a connection that has ended.
#[test]
fn a_closed_window_blocks_nothing() {
    let window = SliceWindow::new();
    window.close();
    let sent = (0..10).filter(|_| window.acquire().now_or_never().is_some());
    assert_eq!(sent.count(), 10);
}
