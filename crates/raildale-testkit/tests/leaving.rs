//! An entry host that stops writes its answers to slow readers whole.

use std::{net::SocketAddr, time::Duration};

use raildale_testkit::{
    bench::{ServingFleet, settings_text, wait_until},
    fleet::{BOOTSTRAP_KEY, FleetConfig},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

/// The size of a comment added to the settings, in bytes, so that the answer
/// with them is long.
const PADDING_BYTES: usize = 800_000;

/// The number of requests sent before any answer is read. Their answers exceed
/// the buffers of both ends of a connection.
const PIPELINED_REQUESTS: usize = 12;

/// The size of the caller's receive buffer, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 8 << 10;

/// The time for which the caller reads nothing after the signal. It is longer
/// than a leaving entry host with no request in progress keeps running.
const PAUSE: Duration = Duration::from_millis(4_000);

/// The maximum time for settings to be in force and for a process to end.
const TIMEOUT: Duration = Duration::from_secs(20);

async fn connect(to: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("the option is set");
    socket.connect(to).await.expect("it listens")
}

/// Returns the received size and the `content-length` of each answer's body.
fn bodies(mut read: &[u8]) -> Vec<(usize, usize)> {
    let mut bodies = vec![];
    while !read.is_empty() {
        let end = read.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        let end = end.expect("a whole head") + 4;
        let head = String::from_utf8_lossy(&read[..end]).to_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .and_then(|text| text.parse().ok())
            .expect("a length");
        let received = (read.len() - end).min(length);
        bodies.push((received, length));
        read = &read[end + received..];
    }
    bodies
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reader_gets_whole_answers() {
    let program = env!("CARGO_BIN_EXE_raildale-bench");
    let config = FleetConfig::new(program, 1, 1);
    let mut serving =
        ServingFleet::start(config, 100).await.expect("the fleet comes up");
    let versions = [("v1", &serving.manifest)];
    let text = settings_text::settings("origin-bytes", "v1", &versions, "");
    let text = format!("{text}# {}\n", "x".repeat(PADDING_BYTES));
    let revision = serving.operator.apply(&text).await;
    assert!(revision.is_some(), "the settings are applied");
    let address = serving.fleet.http_addresses()[0];
    let is_in_force = wait_until(TIMEOUT, async || {
        let status = serving.operator.status(address).await;
        status.is_some_and(|s| s["revision"].as_u64() == revision)
    })
    .await;
    assert!(is_in_force, "{:?}", serving.operator.status(address).await);

    let mut caller = connect(address).await;
    let request = format!(
        "GET /admin/v1/settings HTTP/1.1\r\nhost: entry\r\n\
         authorization: Bearer {BOOTSTRAP_KEY}\r\n\r\n"
    );
    let requests = request.repeat(PIPELINED_REQUESTS);
    caller.write_all(requests.as_bytes()).await.expect("it is sent");
    let mut read = vec![0; 1 << 10];
    caller.read_exact(&mut read).await.expect("an answer");
    serving.fleet.entries[0].terminate();
    tokio::time::sleep(PAUSE).await;
    caller
        .read_to_end(&mut read)
        .await
        .expect("an orderly end of the connection");
    let bodies = bodies(&read);
    assert!(!bodies.is_empty());
    for (received, length) in &bodies {
        assert!(*length > PADDING_BYTES, "{bodies:?}");
        assert_eq!(received, length, "{bodies:?}");
    }
    let entry = &mut serving.fleet.entries[0];
    let has_ended = wait_until(TIMEOUT, async || !entry.is_running()).await;
    assert!(has_ended, "the entry host keeps running");
}
