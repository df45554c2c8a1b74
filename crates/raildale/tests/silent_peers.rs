//! Connections whose peer becomes silent: its socket drops every segment.

use std::{io, time::Duration};

use raildale::fleet::{frames, watched_stream::WatchedStream};
use socket2::{SockFilter, SockRef};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, timeout},
};
use yare::parameterized;

/// The time-out of a connection to a target while the window is open, with a
/// probe interval.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// The same while the window is closed: up to 2 s until the next probe, and
/// 2.25 s without an answer to it.
const MAX_CLOSED_SILENCE: Duration = Duration::from_secs(5);

/// The machine may be busy.
const SLACK: Duration = Duration::from_secs(5);

/// Classic BPF: return 0, which drops the segment.
const DROP_ALL: [SockFilter; 1] = [SockFilter::new(0x06, 0, 0, 0)];

/// What a connection has sent when its peer becomes silent.
#[derive(Clone, Copy, Debug)]
enum Sent {
    /// Nothing that is not acknowledged.
    Nothing,
    /// Bytes that the peer does not acknowledge.
    Unacknowledged,
    /// More than the peer's window holds, for this many milliseconds.
    BeyondWindow(u64),
}

/// A connection that has fallen silent ends, so that its request need not wait
/// for its deadline.
#[parameterized(
    idle = { Sent::Nothing, MAX_SILENCE },
    unacknowledged = { Sent::Unacknowledged, MAX_SILENCE },
    just_closed = { Sent::BeyondWindow(300), MAX_CLOSED_SILENCE },
    closed_for_long = { Sent::BeyondWindow(6_000), MAX_CLOSED_SILENCE },
)]
#[test_macro(tokio::test)]
async fn a_silent_connection_ends(sent: Sent, max_silence: Duration) {
    let (mut stream, peer) = connect().await;
    if let Sent::BeyondWindow(ms) = sent {
        let body = vec![b'x'; 24 << 20];
        let pausing = sleep(Duration::from_millis(ms));
        tokio::select! {
            written = stream.write_all(&body) => panic!("{written:?}"),
            () = pausing => {}
        }
    }
    let filter = SockRef::from(&peer).attach_filter(&DROP_ALL);
    filter.expect("a socket option");
    if let Sent::Unacknowledged = sent {
        stream.write_all(b"question").await.expect("it is buffered");
    }
    let silent_since = Instant::now();
    let mut byte = [0];
    let ending = timeout(max_silence + SLACK, stream.read(&mut byte));
    let ended = ending.await.expect("the connection ends");
    let kind = ended.expect_err("nothing was sent").kind();
    assert_eq!(kind, io::ErrorKind::TimedOut);
    let silence = silent_since.elapsed();
    println!("{sent:?}: ended after {silence:?}");
}

/// A peer that acknowledges and reads nothing keeps its connection.
#[tokio::test]
async fn a_connection_outlasts_a_closed_window() {
    const BYTES: usize = 24 << 20;
    let (mut stream, mut peer) = connect().await;
    let reading = async {
        sleep(Duration::from_millis(6_000)).await;
        let mut body = vec![0; BYTES];
        peer.read_exact(&mut body).await
    };
    let body = vec![b'x'; BYTES];
    let (written, read) = tokio::join!(stream.write_all(&body), reading);
    assert_eq!(read.ok(), Some(BYTES));
    assert!(written.is_ok(), "{written:?}");
}

/// How long a peer that can be reached again waits for bytes: several
/// retransmissions.
const LATE_BYTES_WAIT: Duration = Duration::from_secs(3);

/// A request that was given up while its link lost everything began at its
/// target when the link had recovered.
#[tokio::test]
async fn bytes_of_a_dropped_connection_do_not_arrive_later() {
    let (mut stream, mut peer) = connect().await;
    let filter = SockRef::from(&peer).attach_filter(&DROP_ALL);
    filter.expect("a socket option");
    stream.write_all(b"question").await.expect("it is buffered");
    drop(stream);
    let filter = SockRef::from(&peer).detach_filter();
    filter.expect("a socket option");
    let mut buffer = [0; 16];
    let arriving = timeout(LATE_BYTES_WAIT, peer.read(&mut buffer));
    if let Ok(Ok(length)) = arriving.await {
        panic!("arrived: {:?}", &buffer[..length]);
    }
}

/// A request that has reached its target is cancelled by the end of the
/// connection, which is retransmitted until it arrives, unlike a reset.
#[tokio::test]
async fn a_connection_without_outstanding_bytes_is_closed_without_a_reset() {
    let (mut stream, mut peer) = connect().await;
    stream.write_all(b"question").await.expect("it is sent");
    let mut buffer = [0; 8];
    peer.read_exact(&mut buffer).await.expect("it arrives");
    drop(stream);
    assert_eq!(peer.read(&mut buffer).await.ok(), Some(0));
}

/// A caller that never reads does not hold its answer for ever.
#[tokio::test]
async fn a_pause_ends_at_its_limit() {
    const MAX_PAUSE: Duration = Duration::from_secs(3);
    let (stream, _peer) = connect_plain().await;
    let mut stream = WatchedStream::new(stream, Duration::from_secs(1))
        .with_max_pause(MAX_PAUSE);
    let body = vec![b'x'; 24 << 20];
    let ending = timeout(MAX_PAUSE + SLACK, stream.write_all(&body));
    let ended = ending.await.expect("the connection ends");
    let kind = ended.expect_err("nothing is read").kind();
    assert_eq!(kind, io::ErrorKind::TimedOut);
}

async fn connect_plain() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("a bound listener");
    let (opened, accepted) =
        tokio::join!(frames::connect(address), listener.accept());
    let (peer, _) = accepted.expect("a connection");
    (opened.expect("the connection opens"), peer)
}

async fn connect() -> (WatchedStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("a bound listener");
    let (opened, accepted) =
        tokio::join!(frames::connect_target(address), listener.accept());
    let (peer, _) = accepted.expect("a connection");
    (opened.expect("the connection opens"), peer)
}
