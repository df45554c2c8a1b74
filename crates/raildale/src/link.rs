//! Connections between processes: one task reads, one writes.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::StreamExt;
use raildale_core::{
    Digest, LogEvent, Name,
    message::{Body, ChunkData, Identity},
    request::run_key::ClusterKey,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpSocket, TcpStream, tcp::OwnedWriteHalf},
    sync::{mpsc, watch},
    task::AbortHandle,
};
use tokio_util::codec::{Framed, FramedRead};

use crate::{
    codec, handshake, logs,
    pacer::{Pacer, SLICE_BYTES},
};

/// The maximum number of messages queued for a connection. If the queue is
/// full, the peer is considered stuck and the connection is closed.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// Delays between attempts to dial: the first and the longest.
const REDIAL_DELAYS: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1_000));

/// The maximum number of attempts in a row to dial an address that comes from
/// a message rather than from the settings file.
const MAX_REDIALS: u32 = 12;

/// An event of a connection.
#[derive(Debug)]
pub enum LinkEvent {
    /// The handshake succeeded.
    Up(Identity, Side, LinkHandle),
    /// A message arrived from the peer.
    Message(Name, Side, Body),
    /// The connection with this [`LinkHandle::id`] is closed.
    Down(Name, Side, u64),
    /// A chunk was written to the connection, or the write failed.
    Sent(Name, Digest, usize),
}

/// Who opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// This process.
    Dialled,
    /// The peer.
    Accepted,
}

/// An item in a connection's send queue.
#[derive(Debug)]
enum Outgoing {
    Message(Body),
    Chunk { manifest: Digest, index: usize, data: Bytes },
}

/// The sending end of a connection.
#[derive(Clone, Debug)]
pub struct LinkHandle {
    /// Distinguishes this connection from earlier ones with the same peer.
    pub id: u64,
    queue: mpsc::Sender<Outgoing>,
    reader: AbortHandle,
}

impl LinkHandle {
    /// Queues a message; closes the connection if the queue is full.
    pub fn send(&self, body: Body) {
        self.push(Outgoing::Message(body));
    }

    /// Queues a chunk, which is written at the rate of [`Links::pacer`].
    /// Closes the connection if the queue is full.
    pub fn send_chunk(&self, manifest: Digest, index: usize, data: Bytes) {
        self.push(Outgoing::Chunk { manifest, index, data });
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.reader.abort();
    }

    fn push(&self, outgoing: Outgoing) {
        if self.queue.try_send(outgoing).is_err() {
            self.close();
        }
    }
}

/// State shared by the connections of a process.
#[derive(Debug)]
pub struct Links {
    /// The identity of this process.
    pub identity: Identity,
    /// The cluster's key.
    pub key: ClusterKey,
    /// The local address of dialled connections.
    pub bind_ip: IpAddr,
    /// Limits the rate of chunks; `None` where no chunks are sent.
    pub pacer: Option<Pacer>,
    /// Time without a frame after which a dialled connection is closed.
    /// `None` if the accepting side may stay silent or chunks have their own
    /// deadlines.
    pub dialled_idle_timeout: Option<Duration>,
    /// The same for an accepted one.
    pub accepted_idle_timeout: Option<Duration>,
    /// The process's name, for logs.
    pub process: Arc<str>,
    /// Receives the events of all connections.
    pub events: mpsc::UnboundedSender<LinkEvent>,
    /// Set to `true` once no more connections may come up. Every open
    /// connection holds a receiver.
    pub shutdown: watch::Sender<bool>,
}

impl Links {
    /// Waits up to `limit` until every connection has written its queued
    /// messages and is closed. Returns the number of connections still open.
    /// A connection closes only once all its handles are dropped.
    pub async fn shut_down(&self, limit: Duration) -> usize {
        self.shutdown.send_replace(true);
        match tokio::time::timeout(limit, self.shutdown.closed()).await {
            Ok(()) => 0,
            Err(_) => self.shutdown.receiver_count(),
        }
    }

    /// Accepts connections; never returns.
    pub async fn accept_all(self: Arc<Links>, listener: TcpListener) {
        loop {
            // The error concerns one connection, or the process has too many
            // open files; the pause avoids a busy loop in the latter case.
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(REDIAL_DELAYS.0).await;
                continue;
            };
            tokio::spawn(self.clone().serve_accepted(stream));
        }
    }

    /// Keeps a connection to `address` open. With `retry_forever`, meant for
    /// addresses of the settings file, there is no limit on failed attempts.
    /// Returns the handle of the dialling task.
    pub fn dial(
        self: &Arc<Links>,
        address: SocketAddr,
        retry_forever: bool,
    ) -> AbortHandle {
        let links = self.clone();
        tokio::spawn(async move { links.redial(address, retry_forever).await })
            .abort_handle()
    }

    async fn redial(
        self: Arc<Links>,
        address: SocketAddr,
        retry_forever: bool,
    ) {
        let mut pause = REDIAL_DELAYS.0;
        let mut attempts = 0;
        loop {
            if self.dial_once(address).await {
                pause = REDIAL_DELAYS.0;
                attempts = 0;
            }
            attempts += 1;
            if attempts > MAX_REDIALS && !retry_forever {
                return;
            }
            let jitter = rand::random_range(0..=pause.as_millis() as u64 / 2);
            tokio::time::sleep(pause + Duration::from_millis(jitter)).await;
            pause = (pause * 2).min(REDIAL_DELAYS.1);
        }
    }

    /// Dials and serves the connection until it closes. Returns whether the
    /// handshake succeeded.
    async fn dial_once(&self, address: SocketAddr) -> bool {
        let Ok(stream) = connect(address, self.bind_ip).await else {
            return false;
        };
        let _ = stream.set_nodelay(true);
        let mut frames = Framed::new(stream, codec::frame_codec());
        let result =
            handshake::dial(&mut frames, &self.identity, &self.key).await;
        match result {
            Ok(peer) => {
                self.serve(peer, Side::Dialled, frames).await;
                true
            }
            Err(error) => {
                let detail = format!("{address}: {error}");
                logs::event(&self.process, LogEvent::PeerRefused, &detail);
                false
            }
        }
    }

    async fn serve_accepted(self: Arc<Links>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut frames = Framed::new(stream, codec::frame_codec());
        let result =
            handshake::accept(&mut frames, &self.identity, &self.key).await;
        match result {
            Ok(peer) => self.serve(peer, Side::Accepted, frames).await,
            Err(error) => {
                let detail = error.to_string();
                logs::event(&self.process, LogEvent::PeerRefused, &detail);
            }
        }
    }

    async fn serve(
        &self,
        peer: Identity,
        side: Side,
        frames: handshake::Frames,
    ) {
        let shutdown = self.shutdown.subscribe();
        if *shutdown.borrow() {
            return;
        }
        let name: Name = peer.name.as_str().into();
        let id = rand::random();
        let (queue, outgoing) = mpsc::channel(MAX_QUEUED_MESSAGES);
        // The handshake may have read bytes of later frames, so its read
        // buffer is carried over.
        let parts = frames.into_parts();
        let (read, write) = parts.io.into_split();
        let mut reader = FramedRead::new(read, codec::frame_codec());
        reader.read_buffer_mut().extend_from_slice(&parts.read_buf);
        let task = tokio::spawn(read_all(
            reader,
            name.clone(),
            side,
            match side {
                Side::Dialled => self.dialled_idle_timeout,
                Side::Accepted => self.accepted_idle_timeout,
            },
            self.process.clone(),
            self.events.clone(),
        ));
        let handle = LinkHandle { id, queue, reader: task.abort_handle() };
        let _ = self.events.send(LinkEvent::Up(peer, side, handle));
        tokio::select! {
            _ = task => {}
            _ = self.write_all(&name, write, outgoing) => {}
        }
        let _ = self.events.send(LinkEvent::Down(name, side, id));
    }

    async fn write_all(
        &self,
        peer: &Name,
        mut write: OwnedWriteHalf,
        mut outgoing: mpsc::Receiver<Outgoing>,
    ) {
        while let Some(next) = outgoing.recv().await {
            let written = match next {
                Outgoing::Message(body) => {
                    write.write_all(&codec::encode(body)).await
                }
                Outgoing::Chunk { manifest, index, data } => {
                    let written = self
                        .write_chunk(&mut write, manifest, index, &data)
                        .await;
                    let sent = LinkEvent::Sent(peer.clone(), manifest, index);
                    let _ = self.events.send(sent);
                    written
                }
            };
            if written.is_err() {
                return;
            }
        }
    }

    async fn write_chunk(
        &self,
        write: &mut OwnedWriteHalf,
        manifest: Digest,
        index: usize,
        data: &Bytes,
    ) -> std::io::Result<()> {
        let frame = codec::encode(Body::ChunkData(ChunkData {
            manifest: manifest.to_vec(),
            index: index as u32,
            data: data.to_vec(),
        }));
        for slice in frame.chunks(SLICE_BYTES) {
            if let Some(pacer) = &self.pacer {
                pacer.wait(slice.len()).await;
            }
            write.write_all(slice).await?;
        }
        Ok(())
    }
}

/// Waits for `future` and returns its output. Events that arrive meanwhile
/// are dropped, with the handles of connections that have just come up.
pub async fn discard_events_during<T>(
    events: &mut mpsc::UnboundedReceiver<LinkEvent>,
    future: impl Future<Output = T>,
) -> T {
    let mut future = std::pin::pin!(future);
    loop {
        tokio::select! {
            output = &mut future => return output,
            Some(_) = events.recv() => {}
        }
    }
}

async fn connect(
    address: SocketAddr,
    bind_ip: IpAddr,
) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(bind_ip, 0))?;
    socket.connect(address).await
}

async fn read_all(
    mut reader: FramedRead<
        tokio::net::tcp::OwnedReadHalf,
        tokio_util::codec::LengthDelimitedCodec,
    >,
    peer: Name,
    side: Side,
    idle_timeout: Option<Duration>,
    process: Arc<str>,
    events: mpsc::UnboundedSender<LinkEvent>,
) {
    loop {
        let next = match idle_timeout {
            Some(limit) => {
                match tokio::time::timeout(limit, reader.next()).await {
                    Ok(next) => next,
                    Err(_) => return,
                }
            }
            None => reader.next().await,
        };
        let Some(Ok(bytes)) = next else { return };
        match codec::decode(&bytes) {
            Ok(body) => {
                let message = LinkEvent::Message(peer.clone(), side, body);
                if events.send(message).is_err() {
                    return;
                }
            }
            Err(error) => {
                let detail = format!("{peer}: {error}");
                logs::event(&process, LogEvent::BadFrame, &detail);
                return;
            }
        }
    }
}
