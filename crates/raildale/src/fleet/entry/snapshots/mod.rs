//! Kinds of object handed from one entry host to another.
//!
//! Most entry hosts do not watch the store and hear of changes this way, and
//! so does one that the store turns away.
//!
//! * `packed`: snapshots as they travel.

mod packed;

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use futures_util::{SinkExt, StreamExt};
use raildale_core::{
    LogEvent, Name,
    catalog::{Extent, Kind, Stamp},
    fleet_message::{FleetBody, SnapshotRequest, SnapshotResponse},
};
use tokio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::EntryHost;
use crate::{
    codec,
    error::{Error, ErrorKind},
    fleet::{
        edge::{Dialect, Store},
        frames,
    },
};

pub use self::packed::PackedSnapshots;

/// How long a question may take at first. Each one that takes longer doubles
/// that for the next: after a loss of all, hundreds ask the same few for a list
/// of thousands of targets.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// Doublings of that at most: 6.4 s.
const ASK_DOUBLINGS_MOST: u32 = 3;

/// Answers that leave at once: more would share the link and all come late.
const ANSWERS_AT_ONCE: usize = 6;

/// Starts answering.
///
/// # Errors
///
/// [`crate::ErrorKind::Io`] if the port is taken.
pub async fn start<P>(host: &Rc<EntryHost<P>>) -> Result<(), Error>
where
    P: Dialect + Store + 'static,
{
    let address = SocketAddr::new(host.node.ip, host.node.entry_port());
    let listener = TcpListener::bind(address).await?;
    let host = host.clone();
    let turns = Rc::new(Semaphore::new(ANSWERS_AT_ONCE));
    tokio::task::spawn_local(async move {
        loop {
            let (stream, from) = frames::accept(&listener).await;
            let answer = answer(host.clone(), stream, from, turns.clone());
            tokio::task::spawn_local(answer);
        }
    });
    Ok(())
}

async fn answer<P>(
    host: Rc<EntryHost<P>>,
    stream: TcpStream,
    from: SocketAddr,
    turns: Rc<Semaphore>,
) where
    P: Dialect + Store + 'static,
{
    // The semaphore is never closed.
    let Ok(_turn) = turns.acquire().await else { return };
    if let Err(error) = try_answer(&host, stream).await {
        log::debug!("snapshot for {from}: {error}");
    }
}

/// Answers the one question of a connection.
async fn try_answer<P>(
    host: &EntryHost<P>,
    mut stream: TcpStream,
) -> Result<(), Error>
where
    P: Dialect + Store + 'static,
{
    let mut framed = Framed::new(&mut stream, codec::splitter());
    let kind = match next_body(&mut framed).await? {
        FleetBody::SnapshotRequest(ask) => Kind::from_number(ask.kind)
            .ok_or(Error::new(ErrorKind::Frame, "no such kind"))?,
        _ => return Err(Error::new(ErrorKind::Frame, "out of place")),
    };
    let give = give(host, kind)?;
    let frame = frames::encode_frame(FleetBody::SnapshotResponse(give));
    stream.write_all(&frame).await?;
    Ok(())
}

/// What is known of a kind, for another entry host.
fn give<P>(host: &EntryHost<P>, kind: Kind) -> Result<SnapshotResponse, Error>
where
    P: Dialect + Store + 'static,
{
    let (lapsed, departed) = match kind {
        Kind::Targets => (host.lapsed(), host.departed()),
        Kind::Configuration
        | Kind::Versions
        | Kind::EntryHosts
        | Kind::Quarantine => (vec![], vec![]),
    };
    let snapshot = host.known.snapshot(kind);
    let Stamp { era, revision } = snapshot.stamp;
    let Extent { changed, oldest_era } = host.known.extent(kind);
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
    })
}

/// The next frame of a connection.
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

/// Asks an entry host for a kind and takes it over.
pub async fn ask<P>(host: Rc<EntryHost<P>>, ip: IpAddr, kind: Kind)
where
    P: Dialect + Store + 'static,
{
    let asking = fetch(SocketAddr::new(ip, host.node.entry_port()), kind);
    let doublings = host.late_answers.get().min(ASK_DOUBLINGS_MOST);
    let patience = ASK_TIMEOUT * (1 << doublings);
    let asked = tokio::time::timeout(patience, asking).await;
    host.set_asking(kind, false);
    let late_answers = if asked.is_ok() { 0 } else { doublings + 1 };
    host.late_answers.set(late_answers);
    let taken = match asked {
        Ok(Ok(give)) => take(&host, ip, kind, give),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(Error::new(ErrorKind::Io, "late")),
    };
    if let Err(error) = taken {
        log::info!("{kind:?} from {ip}: {error}");
    }
}

fn take<P>(
    host: &EntryHost<P>,
    ip: IpAddr,
    kind: Kind,
    give: SnapshotResponse,
) -> Result<(), Error>
where
    P: Dialect + Store + 'static,
{
    let stamp = Stamp::new(give.era, give.revision);
    let snapshot = packed::unpack(stamp, &give.packed)?;
    let detail = format!("kind={kind:?} revision={stamp} from={ip}");
    host.log(LogEvent::SnapshotTaken, &detail);
    let lapsed = give.lapsed.into_iter().map(Name::from).collect();
    let told = Extent {
        changed: Stamp::new(give.changed_era, give.changed_revision),
        oldest_era: give.oldest_era.unwrap_or(give.era),
    };
    host.take_departed(give.departed);
    host.replace_from_peer(kind, snapshot, told, lapsed);
    Ok(())
}

async fn fetch(
    from: SocketAddr,
    kind: Kind,
) -> Result<SnapshotResponse, Error> {
    let stream = frames::connect(from).await?;
    let mut framed = Framed::new(stream, codec::splitter());
    let ask =
        FleetBody::SnapshotRequest(SnapshotRequest { kind: kind.number() });
    framed.send(frames::encode_body(ask)).await?;
    match next_body(&mut framed).await? {
        FleetBody::SnapshotResponse(give) => Ok(give),
        _ => Err(Error::new(ErrorKind::Frame, "out of place")),
    }
}
