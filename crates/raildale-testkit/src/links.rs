//! Hosts' links: rates, faults, and what crossed them.
//!
//! Each host has an address of its own on loopback, and every connection to
//! a process of the product goes through a relay here. The relay knows both
//! ends by their addresses, holds the bytes to both links' rates, counts
//! those that cross between data centres, and stalls, cuts or corrupts.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
};

use crate::truth::lock;

/// Bytes that pass a relay at once. A real link's queue holds packets; small
/// pieces let a short message on another connection pass early.
const PIECE_BYTES: usize = 4 << 10;

/// Waits shorter than this are saved up, since a timer is no finer.
const GRAIN: Duration = Duration::from_millis(2);

/// Time that an idle link may catch up.
const CATCH_UP: Duration = Duration::from_millis(5);

/// How often a stalled connection looks whether it may go on.
const STALL_POLL: Duration = Duration::from_millis(50);

/// One host's link.
#[derive(Debug)]
pub struct HostLink {
    data_centre: String,
    is_host: bool,
    up: Rate,
    down: Rate,
    is_stalled: AtomicBool,
    bytes: AtomicU64,
}

/// One direction of a link.
#[derive(Debug)]
struct Rate {
    bytes_per_s: Option<u64>,
    free_at: Mutex<Instant>,
}

/// All links, and what crossed them.
#[derive(Debug, Default)]
pub struct LinkTable {
    links: Mutex<HashMap<IpAddr, Arc<HostLink>>>,
    crossing_bytes: AtomicU64,
    peer_bytes: AtomicU64,
    corrupt_one_in: AtomicU64,
    pieces: AtomicU64,
}

impl LinkTable {
    /// No links yet.
    pub fn new() -> Arc<LinkTable> {
        Arc::default()
    }

    /// Adds a target host's link of `bytes_per_s` each way.
    pub fn add_host(&self, ip: IpAddr, data_centre: &str, bytes_per_s: u64) {
        self.add(ip, data_centre, true, Some(bytes_per_s));
    }

    /// Adds an address whose own link is not the bottleneck, or, with a
    /// rate, one that is but is no target host: the origin.
    pub fn add_other(
        &self,
        ip: IpAddr,
        data_centre: &str,
        bytes_per_s: Option<u64>,
    ) {
        self.add(ip, data_centre, false, bytes_per_s);
    }

    /// Stalls or frees a host's link: connections stand, nothing moves.
    pub fn set_stalled(&self, ip: IpAddr, is_stalled: bool) {
        if let Some(link) = lock(&self.links).get(&ip) {
            link.is_stalled.store(is_stalled, Ordering::Relaxed);
        }
    }

    /// Corrupts a byte of one in `pieces` full pieces between hosts; 0 ends.
    pub fn set_corrupt_one_in(&self, pieces: u64) {
        self.corrupt_one_in.store(pieces, Ordering::Relaxed);
    }

    /// Bytes between target hosts of different data centres.
    pub fn crossing_bytes(&self) -> u64 {
        self.crossing_bytes.load(Ordering::Relaxed)
    }

    /// Bytes between target hosts.
    pub fn peer_bytes(&self) -> u64 {
        self.peer_bytes.load(Ordering::Relaxed)
    }

    /// Bytes over one link, both ways.
    pub fn link_bytes(&self, ip: IpAddr) -> u64 {
        self.link(ip).map_or(0, |link| link.bytes.load(Ordering::Relaxed))
    }

    /// Forgets what crossed so far.
    pub fn reset_counts(&self) {
        self.crossing_bytes.store(0, Ordering::Relaxed);
        self.peer_bytes.store(0, Ordering::Relaxed);
    }

    /// Pieces that a chunk takes, for [`LinkTable::set_corrupt_one_in`].
    pub fn piece_count(bytes: u64) -> u64 {
        bytes.div_ceil(PIECE_BYTES as u64)
    }

    /// Waits until `bytes` have passed from one link to the other.
    pub async fn transfer(&self, from: IpAddr, to: IpAddr, bytes: usize) {
        let (source, sink) = (self.link(from), self.link(to));
        loop {
            let is_stalled = [&source, &sink]
                .into_iter()
                .flatten()
                .any(|link| link.is_stalled.load(Ordering::Relaxed));
            if !is_stalled {
                break;
            }
            tokio::time::sleep(STALL_POLL).await;
        }
        let now = Instant::now();
        let up = source.as_ref().map(|link| link.up.reserve(now, bytes));
        let down = sink.as_ref().map(|link| link.down.reserve(now, bytes));
        let turn = up.max(down).unwrap_or(now);
        let wait = turn.saturating_duration_since(now);
        if wait >= GRAIN {
            tokio::time::sleep(wait).await;
        }
        self.count(source.as_deref(), sink.as_deref(), bytes as u64);
    }

    /// Relays connections made to `listener` on to `inner`.
    pub fn relay(self: &Arc<Self>, listener: TcpListener, inner: SocketAddr) {
        let table = self.clone();
        tokio::spawn(async move {
            loop {
                let Ok((outside, from)) = listener.accept().await else {
                    tokio::time::sleep(STALL_POLL).await;
                    continue;
                };
                let table = table.clone();
                tokio::spawn(async move {
                    table.connect(outside, from.ip(), inner).await;
                });
            }
        });
    }

    async fn connect(
        self: Arc<Self>,
        outside: TcpStream,
        from: IpAddr,
        inner: SocketAddr,
    ) {
        // The inner process sees the relay's own side as 127.0.0.1.
        let Ok(socket) = TcpSocket::new_v4() else { return };
        let Ok(inside) = socket.connect(inner).await else { return };
        let _ = outside.set_nodelay(true);
        let _ = inside.set_nodelay(true);
        let (outside_read, outside_write) = outside.into_split();
        let (inside_read, inside_write) = inside.into_split();
        let to = inner.ip();
        // When one direction ends the other is dropped with it, as when a
        // process dies.
        tokio::select! {
            () = self.copy(outside_read, inside_write, from, to) => {}
            () = self.copy(inside_read, outside_write, to, from) => {}
        }
    }

    async fn copy(
        &self,
        mut read: tokio::net::tcp::OwnedReadHalf,
        mut write: tokio::net::tcp::OwnedWriteHalf,
        from: IpAddr,
        to: IpAddr,
    ) {
        let mut buffer = vec![0; PIECE_BYTES];
        while let Ok(count) = read.read(&mut buffer).await {
            if count == 0 {
                return;
            }
            self.transfer(from, to, count).await;
            self.maybe_corrupt(&mut buffer[..count]);
            if write.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }

    fn maybe_corrupt(&self, piece: &mut [u8]) {
        let one_in = self.corrupt_one_in.load(Ordering::Relaxed);
        if one_in == 0 || piece.len() < PIECE_BYTES {
            return;
        }
        let number = self.pieces.fetch_add(1, Ordering::Relaxed);
        if number % one_in == one_in - 1 {
            piece[PIECE_BYTES / 2] ^= 0x40;
        }
    }

    fn count(
        &self,
        source: Option<&HostLink>,
        sink: Option<&HostLink>,
        bytes: u64,
    ) {
        for link in [source, sink].into_iter().flatten() {
            link.bytes.fetch_add(bytes, Ordering::Relaxed);
        }
        let (Some(source), Some(sink)) = (source, sink) else { return };
        if !source.is_host || !sink.is_host {
            return;
        }
        self.peer_bytes.fetch_add(bytes, Ordering::Relaxed);
        if source.data_centre != sink.data_centre {
            self.crossing_bytes.fetch_add(bytes, Ordering::Relaxed);
        }
    }

    fn link(&self, ip: IpAddr) -> Option<Arc<HostLink>> {
        lock(&self.links).get(&ip).cloned()
    }

    fn add(
        &self,
        ip: IpAddr,
        data_centre: &str,
        is_host: bool,
        bytes_per_s: Option<u64>,
    ) {
        let link = HostLink {
            data_centre: data_centre.to_string(),
            is_host,
            up: Rate::new(bytes_per_s),
            down: Rate::new(bytes_per_s),
            is_stalled: AtomicBool::new(false),
            bytes: AtomicU64::new(0),
        };
        lock(&self.links).insert(ip, Arc::new(link));
    }
}

impl Rate {
    fn new(bytes_per_s: Option<u64>) -> Rate {
        Rate { bytes_per_s, free_at: Mutex::new(Instant::now()) }
    }

    fn reserve(&self, now: Instant, bytes: usize) -> Instant {
        let Some(bytes_per_s) = self.bytes_per_s else { return now };
        let nanos = bytes as u64 * 1_000_000_000 / bytes_per_s.max(1);
        let mut free_at = lock(&self.free_at);
        let earliest = now.checked_sub(CATCH_UP).unwrap_or(now);
        let turn = (*free_at).max(earliest);
        *free_at = turn + Duration::from_nanos(nanos);
        turn
    }
}
