//! Kinds of object handed from one entry host to another.
//!
//! An entry host that the store turns away still hears of changes this way.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use futures_util::{SinkExt, StreamExt};
use raildale_core::{
    LogEvent, Name,
    catalog::{Kind, Snapshot, StoredObject},
    fleet_message::{AskSnapshot, FleetBody, GiveSnapshot, ObjectEntry},
};
use tokio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
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

/// How long a question may take.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

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
    tokio::task::spawn_local(async move {
        loop {
            let (stream, from) = frames::accept(&listener).await;
            tokio::task::spawn_local(answer(host.clone(), stream, from));
        }
    });
    Ok(())
}

async fn answer<P>(host: Rc<EntryHost<P>>, stream: TcpStream, from: SocketAddr)
where
    P: Dialect + Store + 'static,
{
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
        FleetBody::AskSnapshot(ask) => Kind::from_number(ask.kind)
            .ok_or(Error::new(ErrorKind::Frame, "no such kind"))?,
        _ => return Err(Error::new(ErrorKind::Frame, "out of place")),
    };
    let give = encode_snapshot(kind, &host.known.snapshot(kind));
    let frame = frames::encode_frame(FleetBody::GiveSnapshot(give));
    stream.write_all(&frame).await?;
    Ok(())
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
    match tokio::time::timeout(ASK_TIMEOUT, asking).await {
        Ok(Ok(snapshot)) => {
            let detail = format!(
                "kind={kind:?} revision={} from={ip}",
                snapshot.revision
            );
            host.log(LogEvent::SnapshotTaken, &detail);
            host.replace(kind, snapshot, "entry host");
        }
        Ok(Err(error)) => log::debug!("snapshot from {ip}: {error}"),
        Err(_) => log::debug!("snapshot from {ip}: late"),
    }
}

async fn fetch(from: SocketAddr, kind: Kind) -> Result<Snapshot, Error> {
    let stream = frames::connect(from).await?;
    let mut framed = Framed::new(stream, codec::splitter());
    let ask = FleetBody::AskSnapshot(AskSnapshot { kind: kind.number() });
    framed.send(frames::encode_body(ask)).await?;
    match next_body(&mut framed).await? {
        FleetBody::GiveSnapshot(give) => Ok(decode_snapshot(give)),
        _ => Err(Error::new(ErrorKind::Frame, "out of place")),
    }
}

fn encode_snapshot(kind: Kind, snapshot: &Snapshot) -> GiveSnapshot {
    GiveSnapshot {
        kind: kind.number(),
        revision: snapshot.revision,
        objects: snapshot
            .objects
            .iter()
            .map(|object| ObjectEntry {
                name: object.name.to_string(),
                revision: object.revision,
                body: object.body.clone(),
            })
            .collect(),
    }
}

fn decode_snapshot(give: GiveSnapshot) -> Snapshot {
    Snapshot {
        revision: give.revision,
        objects: give
            .objects
            .into_iter()
            .map(|entry| StoredObject {
                name: Name::from(entry.name),
                revision: entry.revision,
                body: entry.body,
            })
            .collect(),
    }
}
