//! Simulated network links of hosts, with rates, faults and byte counters.
//!
//! Each host has an address of its own on loopback, and every connection to an
//! entry host or agent passes through a relay. The relay identifies both ends
//! by their addresses, limits the transfer to the rates of both links, counts
//! the bytes sent between data centres, and can stall or corrupt the transfer.

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

/// The maximum number of bytes that a relay transfers at once. Like the
/// packets of a real link, small pieces let a short message on another
/// connection pass between them.
const PIECE_BYTES: usize = 4 << 10;

/// The minimum wait. Shorter waits are accumulated, since timers are not more
/// precise.
const MIN_WAIT: Duration = Duration::from_millis(2);

/// The idle time that a link may make up for with a burst.
const BURST_WINDOW: Duration = Duration::from_millis(5);

/// The interval at which a stalled connection checks whether it may continue.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The link of a host.
#[derive(Debug)]
pub struct HostLink {
    data_centre: String,
    /// Whether it is the link of a target host, whose traffic counts as peer
    /// traffic.
    is_host: bool,
    up: RateLimit,
    down: RateLimit,
    is_stalled: AtomicBool,
    bytes: AtomicU64,
}

/// The rate limit of one direction of a link; none if `bytes_per_s` is `None`.
#[derive(Debug)]
struct RateLimit {
    bytes_per_s: Option<u64>,
    /// When all reserved bytes have passed.
    free_at: Mutex<Instant>,
}

/// All links, with byte counters.
#[derive(Debug, Default)]
pub struct LinkTable {
    links: Mutex<HashMap<IpAddr, Arc<HostLink>>>,
    crossing_bytes: AtomicU64,
    peer_bytes: AtomicU64,
    corrupt_one_in: AtomicU64,
    pieces: AtomicU64,
}

impl LinkTable {
    /// Returns a table without links.
    pub fn new() -> Arc<LinkTable> {
        Arc::default()
    }

    /// Adds the link of a target host with `bytes_per_s` in each direction.
    pub fn add_host(&self, ip: IpAddr, data_centre: &str, bytes_per_s: u64) {
        self.add(ip, data_centre, true, Some(bytes_per_s));
    }

    /// Adds the link of a host that is not a target host, such as the origin.
    /// Its rate is unlimited if `bytes_per_s` is `None`.
    pub fn add_other(
        &self,
        ip: IpAddr,
        data_centre: &str,
        bytes_per_s: Option<u64>,
    ) {
        self.add(ip, data_centre, false, bytes_per_s);
    }

    /// Stalls or resumes a host's link. A stalled link keeps its connections
    /// but transfers nothing.
    pub fn set_stalled(&self, ip: IpAddr, is_stalled: bool) {
        if let Some(link) = lock(&self.links).get(&ip) {
            link.is_stalled.store(is_stalled, Ordering::Relaxed);
        }
    }

    /// Corrupts a byte in every n-th full piece that is relayed, where n is
    /// `pieces`; 0 for none.
    pub fn set_corrupt_one_in(&self, pieces: u64) {
        self.corrupt_one_in.store(pieces, Ordering::Relaxed);
    }

    /// Returns the bytes sent between target hosts of different data centres.
    pub fn crossing_bytes(&self) -> u64 {
        self.crossing_bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes sent between target hosts.
    pub fn peer_bytes(&self) -> u64 {
        self.peer_bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes sent over one link in both directions; 0 if there is
    /// no such link.
    pub fn link_bytes(&self, ip: IpAddr) -> u64 {
        self.link(ip).map_or(0, |link| link.bytes.load(Ordering::Relaxed))
    }

    /// Resets the counters of [`LinkTable::crossing_bytes`] and
    /// [`LinkTable::peer_bytes`].
    pub fn reset_counts(&self) {
        self.crossing_bytes.store(0, Ordering::Relaxed);
        self.peer_bytes.store(0, Ordering::Relaxed);
    }

    /// Returns the number of pieces of a transfer of `bytes` bytes, for
    /// [`LinkTable::set_corrupt_one_in`].
    pub fn piece_count(bytes: u64) -> u64 {
        bytes.div_ceil(PIECE_BYTES as u64)
    }

    /// Waits until `bytes` bytes may pass from one link to the other, and
    /// counts them.
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
            tokio::time::sleep(STALL_POLL_INTERVAL).await;
        }
        let now = Instant::now();
        let up = source.as_ref().map(|link| link.up.reserve(now, bytes));
        let down = sink.as_ref().map(|link| link.down.reserve(now, bytes));
        let start = up.max(down).unwrap_or(now);
        let wait = start.saturating_duration_since(now);
        if wait >= MIN_WAIT {
            tokio::time::sleep(wait).await;
        }
        self.count(source.as_deref(), sink.as_deref(), bytes as u64);
    }

    /// Relays connections from `listener` to `inner` in the background.
    pub fn relay(self: &Arc<Self>, listener: TcpListener, inner: SocketAddr) {
        let table = self.clone();
        tokio::spawn(async move {
            loop {
                let Ok((outside, from)) = listener.accept().await else {
                    tokio::time::sleep(STALL_POLL_INTERVAL).await;
                    continue;
                };
                let table = table.clone();
                tokio::spawn(async move {
                    table.connect(outside, from.ip(), inner).await;
                });
            }
        });
    }

    /// Relays one connection until one of its directions ends.
    async fn connect(
        self: Arc<Self>,
        outside: TcpStream,
        from: IpAddr,
        inner: SocketAddr,
    ) {
        // The process behind the relay sees connections from 127.0.0.1.
        let Ok(socket) = TcpSocket::new_v4() else { return };
        let Ok(inside) = socket.connect(inner).await else { return };
        let _ = outside.set_nodelay(true);
        let _ = inside.set_nodelay(true);
        let (outside_read, outside_write) = outside.into_split();
        let (inside_read, inside_write) = inside.into_split();
        let to = inner.ip();
        // When one direction ends, the other is dropped too, as if the process
        // had died.
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
            up: RateLimit::new(bytes_per_s),
            down: RateLimit::new(bytes_per_s),
            is_stalled: AtomicBool::new(false),
            bytes: AtomicU64::new(0),
        };
        lock(&self.links).insert(ip, Arc::new(link));
    }
}

impl RateLimit {
    fn new(bytes_per_s: Option<u64>) -> RateLimit {
        RateLimit { bytes_per_s, free_at: Mutex::new(Instant::now()) }
    }

    /// Reserves the time to transfer `bytes` bytes. Returns its start.
    fn reserve(&self, now: Instant, bytes: usize) -> Instant {
        let Some(bytes_per_s) = self.bytes_per_s else { return now };
        let nanos = bytes as u64 * 1_000_000_000 / bytes_per_s.max(1);
        let mut free_at = lock(&self.free_at);
        let earliest = now.checked_sub(BURST_WINDOW).unwrap_or(now);
        let start = (*free_at).max(earliest);
        *free_at = start + Duration::from_nanos(nanos);
        start
    }
}
