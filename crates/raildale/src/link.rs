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

/// Messages that may wait for a connection; beyond it the peer counts as
/// stuck and the connection is dropped.
const QUEUE: usize = 4_096;

/// Pauses between tries to dial: the first, and the longest.
const REDIAL: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1_000));

/// Tries to dial an address that a message named, not the settings file.
const MAX_REDIALS: u32 = 12;

/// What a connection tells its process.
#[derive(Debug)]
pub enum LinkEvent {
    /// The greeting went well.
    Up(Identity, Side, LinkHandle),
    /// A message came.
    Message(Name, Side, Body),
    /// The connection is gone.
    Down(Name, Side, u64),
    /// A chunk has left.
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

/// What goes out.
#[derive(Debug)]
enum Outgoing {
    Message(Body),
    Chunk { manifest: Digest, index: usize, data: Bytes },
}

/// The sending end of a connection.
#[derive(Clone, Debug)]
pub struct LinkHandle {
    /// Tells this connection from an earlier one with the same peer.
    pub id: u64,
    queue: mpsc::Sender<Outgoing>,
    reader: AbortHandle,
}

impl LinkHandle {
    /// Sends a message.
    pub fn send(&self, body: Body) {
        self.push(Outgoing::Message(body));
    }

    /// Sends a chunk at the spread's pace.
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

/// What all connections of a process share.
#[derive(Debug)]
pub struct Links {
    /// Who this process is.
    pub identity: Identity,
    /// The cluster's key.
    pub key: ClusterKey,
    /// Where connections leave from.
    pub bind_ip: IpAddr,
    /// The pace of chunks; none at an entry host, which sends none.
    pub pacer: Option<Pacer>,
    /// Silence after which a dialled connection counts as dead; none where
    /// the other side has nothing to say, or chunks have their deadlines.
    pub dialled_idle_timeout: Option<Duration>,
    /// The same for an accepted one.
    pub accepted_idle_timeout: Option<Duration>,
    /// The process's name, for logs.
    pub process: Arc<str>,
    /// Where events go.
    pub events: mpsc::UnboundedSender<LinkEvent>,
    /// Set once no connection is to come up any more; every connection
    /// listens to it for as long as it is open.
    pub shutdown: watch::Sender<bool>,
}

impl Links {
    /// Waits for `most` until every connection has written what was sent
    /// over it and is closed; returns how many are still open. Connections
    /// whose handles are kept stay open.
    pub async fn shut_down(&self, most: Duration) -> usize {
        self.shutdown.send_replace(true);
        match tokio::time::timeout(most, self.shutdown.closed()).await {
            Ok(()) => 0,
            Err(_) => self.shutdown.receiver_count(),
        }
    }

    /// Accepts connections for ever.
    pub async fn accept_all(self: Arc<Links>, listener: TcpListener) {
        loop {
            // An error here is one connection's, or too many open files; the
            // pause keeps the latter from spinning.
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(REDIAL.0).await;
                continue;
            };
            tokio::spawn(self.clone().welcome(stream));
        }
    }

    /// Keeps a connection to `address`. With `for_ever`, also when it cannot
    /// be had for long, as with addresses of the settings file.
    pub fn dial(
        self: &Arc<Links>,
        address: SocketAddr,
        for_ever: bool,
    ) -> AbortHandle {
        let links = self.clone();
        tokio::spawn(async move { links.redial(address, for_ever).await })
            .abort_handle()
    }

    async fn redial(self: Arc<Links>, address: SocketAddr, for_ever: bool) {
        let mut pause = REDIAL.0;
        let mut tries = 0;
        loop {
            if self.dial_once(address).await {
                pause = REDIAL.0;
                tries = 0;
            }
            tries += 1;
            if tries > MAX_REDIALS && !for_ever {
                return;
            }
            let jitter = rand::random_range(0..=pause.as_millis() as u64 / 2);
            tokio::time::sleep(pause + Duration::from_millis(jitter)).await;
            pause = (pause * 2).min(REDIAL.1);
        }
    }

    /// Dials and serves the connection to its end; says whether it was up.
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

    async fn welcome(self: Arc<Links>, stream: TcpStream) {
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
        let (queue, outgoing) = mpsc::channel(QUEUE);
        // The greeting's last frame and the next may come in one read, so
        // what was read ahead moves over.
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

/// Waits for `ended`; what connections tell meanwhile, with the handles of
/// those that have just come up, is dropped.
pub async fn discard_events_during<T>(
    events: &mut mpsc::UnboundedReceiver<LinkEvent>,
    ended: impl Future<Output = T>,
) -> T {
    let mut ended = std::pin::pin!(ended);
    loop {
        tokio::select! {
            ended = &mut ended => return ended,
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
    silence: Option<Duration>,
    process: Arc<str>,
    events: mpsc::UnboundedSender<LinkEvent>,
) {
    loop {
        let next = match silence {
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
