//! Transfer of whole kinds of object between entry hosts.
//!
//! Most entry hosts do not watch the store and receive changes this way, as do
//! those whose calls the store rejects.
//!
//! * `packed`: the compressed form of snapshots.

mod packed;

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use futures_util::{SinkExt, StreamExt};
use raildale_core::{
    LogEvent, Name,
    callers::connections::Use,
    catalog::{Extent, Kind, Stamp},
    fleet_message::{FleetBody, SnapshotRequest, SnapshotResponse},
};
use tokio::{
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
    sync::Semaphore,
    time::timeout,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::{EntryHost, ports::Place};
use crate::{
    codec,
    error::{Error, ErrorKind},
    fleet::{
        edge::{Dialect, Store},
        frames,
        store_list::PartialList,
    },
};

pub use self::packed::PackedSnapshots;

/// The initial time-out of a fetch. Each fetch that times out doubles it for
/// the next one: after a loss of all, hundreds ask the same few for a list of
/// thousands of targets.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// The maximum number of doublings, up to 6.4 s.
pub const MAX_TIMEOUT_DOUBLINGS: u32 = 3;

/// The maximum number of concurrent answers. More would share the link and all
/// arrive late.
const MAX_CONCURRENT_ANSWERS: usize = 6;

/// The time in which a connection has to bring its request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The time in which an answer has to be read: as long as others wait for it.
const ANSWER_TIMEOUT: Duration =
    FETCH_TIMEOUT.saturating_mul(1 << MAX_TIMEOUT_DOUBLINGS);

/// The maximum size of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 10;

/// Starts to answer requests for snapshots.
///
/// # Errors
///
/// [`crate::ErrorKind::Io`] if the port is applied.
pub async fn start<P>(host: &Rc<EntryHost<P>>) -> Result<(), Error>
where
    P: Dialect + Store + 'static,
{
    let address = SocketAddr::new(host.node.ip, host.node.entry_port());
    let listener =
        frames::listen(address, frames::REQUEST_BUFFER_BYTES).await?;
    let host = host.clone();
    let permits = Rc::new(Semaphore::new(MAX_CONCURRENT_ANSWERS));
    tokio::task::spawn_local(async move {
        loop {
            let (stream, from) = frames::accept(&listener).await;
            let place = host.ports.peers.admit().await;
            let (host, permits) = (host.clone(), permits.clone());
            tokio::task::spawn_local(async move {
                tokio::select! {
                    () = answer(host, stream, (from, &place), permits) => {}
                    () = place.closed() => {}
                }
            });
        }
    });
    Ok(())
}

async fn answer<P>(
    host: Rc<EntryHost<P>>,
    stream: TcpStream,
    (from, place): (SocketAddr, &Place),
    permits: Rc<Semaphore>,
) where
    P: Dialect + Store + 'static,
{
    let answering = try_answer(&host, stream, place, &permits);
    if let Err(error) = answering.await {
        log::debug!("snapshot for {from}: {error}");
    }
}

/// Answers the only request of a connection. Only one whose request has arrived
/// takes a turn.
async fn try_answer<P>(
    host: &EntryHost<P>,
    mut stream: TcpStream,
    place: &Place,
    permits: &Semaphore,
) -> Result<(), Error>
where
    P: Dialect + Store + 'static,
{
    let kind = timeout(REQUEST_TIMEOUT, read_request(&mut stream))
        .await
        .unwrap_or(Err(Error::new(ErrorKind::Io, "no request")))?;
    place.set_use(Use::Answer { blocked_since_ms: None });
    // The semaphore is never closed.
    let Ok(_turn) = permits.acquire().await else { return Ok(()) };
    let reply = snapshot_reply(host, kind)?;
    let frame = frames::encode_frame(FleetBody::SnapshotResponse(reply));
    let written = timeout(ANSWER_TIMEOUT, stream.write_all(&frame)).await;
    written.map_err(|_| Error::new(ErrorKind::Io, "not read in time"))??;
    Ok(())
}

/// Reads a request for a kind.
async fn read_request(stream: &mut TcpStream) -> Result<Kind, Error> {
    let mut codec = codec::frame_codec();
    codec.set_max_frame_length(MAX_REQUEST_BYTES);
    let mut framed = Framed::new(stream, codec);
    match next_body(&mut framed).await? {
        FleetBody::SnapshotRequest(request) => Kind::from_number(request.kind)
            .ok_or(Error::new(ErrorKind::Frame, "unknown kind of object")),
        _ => Err(Error::new(ErrorKind::Frame, "unexpected message")),
    }
}

/// Returns what is known of a kind, for another entry host.
fn snapshot_reply<P>(
    host: &EntryHost<P>,
    kind: Kind,
) -> Result<SnapshotResponse, Error>
where
    P: Dialect + Store + 'static,
{
    let (lapsed, departed) = match kind {
        Kind::Targets => (host.lapsed(), host.departed()),
        Kind::Configuration
        | Kind::Versions
        | Kind::EntryHosts
        | Kind::Quarantine
        | Kind::Evacuations => (vec![], vec![]),
    };
    let snapshot = host.store_mirror.snapshot(kind);
    let Stamp { era, revision } = snapshot.stamp;
    let Extent { changed, oldest_era } = host.store_mirror.extent(kind);
    let packed = host.packed.borrow_mut().pack(kind, snapshot)?;
    Ok(SnapshotResponse {
        kind: kind.number(),
        revision,
        changed_revision: changed.revision,
        lapsed: lapsed.iter().map(Name::to_string).collect(),
        packed,
        era,
        changed_era: changed.era,
        oldest_era: Some(oldest_era),
        departed,
        unread_after: host
            .store_mirror
            .unread_after(kind)
            .map(|name| name.to_string()),
    })
}

/// Reads the next frame of a connection.
async fn next_body<S>(
    framed: &mut Framed<S, LengthDelimitedCodec>,
) -> Result<FleetBody, Error>
where
    S: AsyncRead + Unpin,
{
    let frame = framed
        .next()
        .await
        .ok_or(Error::new(ErrorKind::Frame, "closed"))??;
    frames::decode_frame(frame.freeze())
}

/// Fetches a kind from the entry host at `ip` and applies it. Failures are
/// logged.
pub async fn fetch_and_apply<P>(host: Rc<EntryHost<P>>, ip: IpAddr, kind: Kind)
where
    P: Dialect + Store + 'static,
{
    let fetching = fetch(SocketAddr::new(ip, host.node.entry_port()), kind);
    let doublings = host.fetch_timeouts.get().min(MAX_TIMEOUT_DOUBLINGS);
    let limit = FETCH_TIMEOUT * (1 << doublings);
    let result = tokio::time::timeout(limit, fetching).await;
    host.set_fetching(kind, false);
    let fetch_timeouts = if result.is_ok() { 0 } else { doublings + 1 };
    host.fetch_timeouts.set(fetch_timeouts);
    let applied = match result {
        Ok(Ok(reply)) => apply(&host, ip, kind, reply),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(Error::new(ErrorKind::Io, "timed out")),
    };
    if let Err(error) = applied {
        log::info!("{kind:?} from {ip}: {error}");
    }
}

fn apply<P>(
    host: &EntryHost<P>,
    ip: IpAddr,
    kind: Kind,
    reply: SnapshotResponse,
) -> Result<(), Error>
where
    P: Dialect + Store + 'static,
{
    let stamp = Stamp::new(reply.era, reply.revision);
    let snapshot = packed::unpack(stamp, &reply.packed)?;
    let detail = format!("kind={kind:?} revision={stamp} from={ip}");
    host.log(LogEvent::SnapshotTaken, &detail);
    let lapsed = reply.lapsed.into_iter().map(Name::from).collect();
    let extent = Extent {
        changed: Stamp::new(reply.changed_era, reply.changed_revision),
        oldest_era: reply.oldest_era.unwrap_or(reply.era),
    };
    host.handle_peer_departures(reply.departed);
    match reply.unread_after {
        None => host.replace_from_peer(kind, snapshot, extent, lapsed),
        Some(unread_after) => {
            let unread_after = Name::from(unread_after);
            let part = PartialList { snapshot, unread_after };
            host.merge_part_from_peer(kind, part, extent.changed, lapsed);
        }
    }
    Ok(())
}

/// Fetches a kind from the entry host at `from`.
///
/// # Errors
///
/// [`ErrorKind::Io`] if the connection fails, [`ErrorKind::Frame`] if the
/// first frame is no snapshot.
pub async fn fetch(
    from: SocketAddr,
    kind: Kind,
) -> Result<SnapshotResponse, Error> {
    let stream = frames::connect(from).await?;
    let mut framed = Framed::new(stream, codec::frame_codec());
    let request =
        FleetBody::SnapshotRequest(SnapshotRequest { kind: kind.number() });
    framed.send(frames::encode_body(request)).await?;
    match next_body(&mut framed).await? {
        FleetBody::SnapshotResponse(reply) => Ok(reply),
        _ => Err(Error::new(ErrorKind::Frame, "unexpected message")),
    }
}
