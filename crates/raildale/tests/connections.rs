//! What every connection of a fleet has.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener as BlockingListener, TcpStream},
    sync::mpsc::{Receiver, Sender, channel},
    thread,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use raildale::fleet::{
    entry::upstream::{Connection, Pool, SendFailure},
    frames,
};
use tokio::{net::TcpListener, task::LocalSet};

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

/// A target that has no part in the runtime of the test: while a test waits
/// for it, connections to it notice nothing.
struct Target {
    address: SocketAddr,
    close: Sender<()>,
    closed: Receiver<()>,
}

impl Target {
    /// Answers one request on each of two connections, closes both when told
    /// to, and goes on with a third one.
    fn start() -> Target {
        let listener = BlockingListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("it is bound");
        let (close, told) = channel();
        let (tell, closed) = channel();
        thread::spawn(move || {
            let first = answer_one(&listener);
            let second = answer_one(&listener);
            told.recv().expect("the test goes on");
            drop((first, second));
            tell.send(()).expect("the test waits");
            let third = answer_one(&listener);
            // Until the test ends.
            let _ = told.recv();
            drop(third);
        });
        Target { address, close, closed }
    }

    fn close_both(&self) {
        self.close.send(()).expect("it runs");
        self.closed.recv().expect("it runs");
    }
}

fn answer_one(listener: &BlockingListener) -> TcpStream {
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut head = Vec::new();
    let mut buffer = [0; 1 << 10];
    while !head.ends_with(b"\r\n\r\n") {
        let length = stream.read(&mut buffer).expect("a request");
        assert!(length > 0, "it ended");
        head.extend_from_slice(&buffer[..length]);
    }
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    stream.write_all(answer).expect("it is read");
    stream
}

async fn ask(connection: &mut Connection) -> Result<Bytes, SendFailure> {
    let request = Request::get("/")
        .header("host", "target")
        .body(Full::new(Bytes::new()))
        .expect("the parts are sound");
    let answer = connection.send(request).await?;
    let body = answer.into_body().collect().await.expect("it is whole");
    Ok(body.to_bytes())
}

/// Symptom: a target that had closed two resting connections counted as not
/// to be reached, since an attempt tried one after the other.
#[tokio::test]
async fn an_attempt_tries_one_kept_connection_and_then_a_new_one() {
    let target = Target::start();
    let trying = async {
        let pool = Pool::new();
        let mut first = pool.open(target.address, true).await.expect("up");
        let mut second = pool.open(target.address, true).await.expect("up");
        assert_eq!(ask(&mut first).await.as_deref(), Ok(&b"ok"[..]));
        assert_eq!(ask(&mut second).await.as_deref(), Ok(&b"ok"[..]));
        first.keep();
        second.keep();
        target.close_both();
        let mut connections = pool.connections(target.address, true);
        let kept = connections.next().await.expect("one").expect("it is kept");
        drop(kept);
        let mut new = connections.next().await.expect("another").expect("up");
        assert_eq!(ask(&mut new).await.as_deref(), Ok(&b"ok"[..]));
        assert!(connections.next().await.is_none());
    };
    LocalSet::new().run_until(trying).await;
}
