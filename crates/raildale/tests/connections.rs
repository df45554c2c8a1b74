//! What every connection of a fleet has.

use raildale::fleet::frames;
use tokio::net::TcpListener;

/// Symptom: a request whose bytes had been acknowledged when its connection
/// fell silent waited for its deadline, while reports of its target came.
/// Only unacknowledged bytes ended a silent connection; one that waits has
/// none.
#[tokio::test]
async fn a_connection_that_only_waits_is_probed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("it is bound");
    let (opened, (accepted, _)) =
        tokio::join!(frames::connect(address), frames::accept(&listener));
    let opened = opened.expect("it comes up");
    for stream in [opened, accepted] {
        let socket = socket2::SockRef::from(&stream);
        assert!(socket.keepalive().expect("an option"));
        let idle = socket.tcp_keepalive_time().expect("an option");
        assert_eq!(idle.as_secs(), 1);
        let timeout = socket.tcp_user_timeout().expect("an option");
        assert!(timeout.is_some_and(|timeout| timeout.as_secs() < 2));
    }
}

/// Symptom: an answer was cut 1.5 s after its caller had stopped reading: the
/// time runs while a window is shut, whatever is acknowledged. A caller that
/// is gone for good is still found, by the same probes.
#[tokio::test]
async fn a_caller_may_pause_for_longer_than_a_process_of_the_fleet() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("it is bound");
    let (_opened, (accepted, _)) = tokio::join!(
        frames::connect(address),
        frames::accept_caller(&listener)
    );
    let socket = socket2::SockRef::from(&accepted);
    assert!(socket.keepalive().expect("an option"));
    let idle = socket.tcp_keepalive_time().expect("an option");
    assert_eq!(idle.as_secs(), 1);
    let timeout = socket.tcp_user_timeout().expect("an option");
    let timeout = timeout.expect("it is bounded").as_secs();
    assert!((10..=20).contains(&timeout), "{timeout} s");
}
