//! The end of an entry host: what it answers is written whole.

use std::{net::SocketAddr, time::Duration};

use raildale_testkit::{
    bench::{ServingFleet, settings_text, wait_until},
    fleet::{BOOTSTRAP_KEY, FleetConfig},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

/// Bytes that settings have beside what they say, so that the answer with
/// them is long.
const PADDING_BYTES: usize = 800_000;

/// Questions that are sent before any answer is read: their answers are more
/// than both ends of a connection take in.
const QUESTIONS: usize = 12;

/// Bytes that the system takes in for a caller that does not read.
const WINDOW_BYTES: u32 = 8 << 10;

/// How long the caller reads nothing after the signal: longer than a leaving
/// entry host with nothing in progress stays.
const PAUSE: Duration = Duration::from_millis(4_000);

/// How long a process may take to end.
const END: Duration = Duration::from_secs(20);

async fn connect(to: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(WINDOW_BYTES).expect("an option");
    socket.connect(to).await.expect("it listens")
}

/// Bytes of each answer's body, and what it was announced to have.
fn bodies(mut read: &[u8]) -> Vec<(usize, usize)> {
    let mut bodies = vec![];
    while !read.is_empty() {
        let end = read.windows(4).position(|mark| mark == b"\r\n\r\n");
        let end = end.expect("a whole head") + 4;
        let head = String::from_utf8_lossy(&read[..end]).to_lowercase();
        let announced = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .and_then(|text| text.parse().ok())
            .expect("a length");
        let there = (read.len() - end).min(announced);
        bodies.push((there, announced));
        read = &read[end + there..];
    }
    bodies
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reader_has_its_last_answer_whole() {
    let program = env!("CARGO_BIN_EXE_raildale-bench");
    let config = FleetConfig::new(program, 1, 1);
    let mut serving =
        ServingFleet::start(config, 100).await.expect("it comes up");
    let versions = [("v1", &serving.manifest)];
    let text = settings_text::settings("origin-bytes", "v1", &versions, "");
    let text = format!("{text}# {}\n", "x".repeat(PADDING_BYTES));
    let revision = serving.operator.apply(&text).await;
    assert!(revision.is_some(), "they are applied");
    let address = serving.fleet.http_addresses()[0];
    let is_in_force = wait_until(END, async || {
        let status = serving.operator.status(address).await;
        status.is_some_and(|s| s["revision"].as_u64() == revision)
    })
    .await;
    assert!(is_in_force, "{:?}", serving.operator.status(address).await);

    let mut caller = connect(address).await;
    let question = format!(
        "GET /admin/v1/settings HTTP/1.1\r\nhost: entry\r\n\
         authorization: Bearer {BOOTSTRAP_KEY}\r\n\r\n"
    );
    let questions = question.repeat(QUESTIONS);
    caller.write_all(questions.as_bytes()).await.expect("it reads");
    let mut read = vec![0; 1 << 10];
    caller.read_exact(&mut read).await.expect("an answer");
    serving.fleet.entries[0].terminate();
    tokio::time::sleep(PAUSE).await;
    caller.read_to_end(&mut read).await.expect("an end in order");
    let bodies = bodies(&read);
    assert!(!bodies.is_empty());
    for (there, announced) in &bodies {
        assert!(*announced > PADDING_BYTES, "{bodies:?}");
        assert_eq!(there, announced, "{bodies:?}");
    }
    let entry = &mut serving.fleet.entries[0];
    let has_ended = wait_until(END, async || !entry.is_running()).await;
    assert!(has_ended, "it goes on");
}
