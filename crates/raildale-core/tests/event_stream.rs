//! The splitter returns whole events however the bytes are split.

use bytes::Bytes;
use raildale_core::gateway::EventSplitter;
use yare::parameterized;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[parameterized(
    by_bytes = { 1 },
    split_inside_an_event = { 7 },
    split_between_newlines = { 15 },
    whole = { 1_000 },
)]
fn any_split_gives_the_same_stream(size: usize) {
    let mut splitter = EventSplitter::new();
    let mut out = Vec::new();
    for piece in STREAM.chunks(size) {
        if let Some(whole) = splitter.push(Bytes::copy_from_slice(piece)) {
            assert!(
                whole.ends_with(b"\n\n"),
                "only whole events are returned"
            );
            out.extend_from_slice(&whole);
        }
    }
    assert_eq!(out, STREAM);
    assert_eq!(splitter.last_id(), Some("3"));
    assert!(!splitter.has_partial());
}

#[test]
fn a_partial_event_is_buffered_and_its_id_ignored() {
    let mut splitter = EventSplitter::new();
    let partial = Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda");
    let whole = splitter.push(partial).expect("one event is whole");
    assert_eq!(&whole[..], b"id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some("1"));
    assert!(splitter.has_partial());
    splitter.discard_partial();
    let next = splitter.push(Bytes::from_static(b"id: 2\ndata: b\n\n"));
    assert_eq!(next.as_deref(), Some(&b"id: 2\ndata: b\n\n"[..]));
}

#[test]
fn an_event_without_an_end_is_oversized_after_a_while() {
    const PIECE_BYTES: usize = 1 << 10;
    let mut splitter = EventSplitter::new();
    let mut pieces = 0;
    while !splitter.is_oversized() {
        let piece = Bytes::from(vec![b'x'; PIECE_BYTES]);
        assert_eq!(splitter.push(piece), None);
        pieces += 1;
        assert!(pieces <= 1 << 10, "more than 1 MiB is buffered");
    }
    splitter.discard_partial();
    assert!(!splitter.is_oversized());
}

#[test]
fn large_whole_events_are_not_oversized() {
    let mut splitter = EventSplitter::new();
    let mut event = vec![b'x'; 2 << 20];
    event.extend_from_slice(b"\n\n");
    assert!(splitter.push(Bytes::from(event)).is_some());
    assert!(!splitter.is_oversized());
}
