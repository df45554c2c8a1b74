//! The handshake, in which both sides prove that they hold the cluster key.
//!
//! The dialling side sends [`Hello`] with a nonce, the accepting side answers
//! with [`Welcome`], which signs that nonce and carries its own, and the
//! dialling side signs this one in [`Proof`]. No other message is result
//! before the handshake is complete.

use futures_util::{SinkExt, StreamExt};
use raildale_core::{
    Code,
    message::{Body, Hello, Identity, Proof, Refusal, Welcome},
    request::run_key::ClusterKey,
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    time::{Duration, timeout},
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{
    codec,
    error::{Error, ErrorKind},
};

/// A connection split into frames.
pub type Frames<S = TcpStream> = Framed<S, LengthDelimitedCodec>;

/// How long a peer may take for each message of the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Performs the handshake as the dialling side; returns the peer's identity.
///
/// # Errors
///
/// [`ErrorKind::Handshake`] if the peer refused, does not hold the key or does
/// not answer in time; [`ErrorKind::Frame`] or [`ErrorKind::Version`] if it
/// sends a frame that cannot be decoded; [`ErrorKind::Io`] if the connection
/// fails.
pub async fn dial<S>(
    frames: &mut Frames<S>,
    identity: &Identity,
    key: &ClusterKey,
) -> Result<Identity, Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let nonce = nonce();
    let hello = Hello { identity: identity.clone(), nonce: nonce.clone() };
    send(frames, Body::Hello(hello)).await?;
    let Body::Welcome(welcome) = receive(frames).await? else {
        return Err(refused("unexpected message instead of a welcome"));
    };
    let name = welcome.identity.name.as_bytes();
    if !key.verifies(&[b"welcome", name, &nonce], &welcome.mac) {
        return Err(refused("the peer does not hold the cluster key"));
    }
    let own = identity.name.as_bytes();
    let mac = key.sign(&[b"proof", own, &welcome.nonce]).to_vec();
    send(frames, Body::Proof(Proof { mac })).await?;
    Ok(welcome.identity)
}

/// Performs the handshake as the accepting side; returns the peer's identity.
///
/// # Errors
///
/// [`ErrorKind::Handshake`] if the peer does not hold the key or does not
/// answer in time; [`ErrorKind::Frame`] if it sends an unexpected message;
/// otherwise as [`dial`]. The peer is sent the error's code.
pub async fn accept<S>(
    frames: &mut Frames<S>,
    identity: &Identity,
    key: &ClusterKey,
) -> Result<Identity, Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let result = handshake(frames, identity, key).await;
    if let Err(error) = &result {
        refuse(frames, error.code()).await;
    }
    result
}

/// Sends a peer the reason for closing its connection.
pub async fn refuse<S>(frames: &mut Frames<S>, code: Code)
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let refusal =
        Refusal { code: code.number(), detail: code.text().to_string() };
    // The peer may have disconnected already; the refusal is best effort.
    let _ = send(frames, Body::Refusal(refusal)).await;
}

async fn handshake<S>(
    frames: &mut Frames<S>,
    identity: &Identity,
    key: &ClusterKey,
) -> Result<Identity, Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let Body::Hello(hello) = receive(frames).await? else {
        return Err(Error::new(
            ErrorKind::Frame,
            "unexpected message instead of a hello",
        ));
    };
    let nonce = nonce();
    let own = identity.name.as_bytes();
    let welcome = Welcome {
        identity: identity.clone(),
        nonce: nonce.clone(),
        mac: key.sign(&[b"welcome", own, &hello.nonce]).to_vec(),
    };
    send(frames, Body::Welcome(welcome)).await?;
    let Body::Proof(proof) = receive(frames).await? else {
        return Err(Error::new(
            ErrorKind::Frame,
            "unexpected message instead of a proof",
        ));
    };
    let name = hello.identity.name.as_bytes();
    if !key.verifies(&[b"proof", name, &nonce], &proof.mac) {
        return Err(refused("the peer does not hold the cluster key"));
    }
    Ok(hello.identity)
}

async fn send<S>(frames: &mut Frames<S>, body: Body) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let bytes = codec::encode(body).slice(codec::LENGTH_BYTES..);
    frames.send(bytes).await.map_err(Error::from)
}

async fn receive<S>(frames: &mut Frames<S>) -> Result<Body, Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let frame = timeout(HANDSHAKE_TIMEOUT, frames.next())
        .await
        .map_err(|_| refused("handshake timed out"))?
        .ok_or(refused("connection closed during the handshake"))?;
    let bytes = frame
        .map_err(|error| Error::new(ErrorKind::Frame, error.to_string()))?;
    match codec::decode(&bytes)? {
        Body::Refusal(refusal) => Err(refused(&refusal.detail)),
        body => Ok(body),
    }
}

fn refused(detail: &str) -> Error {
    Error::new(ErrorKind::Handshake, detail)
}

fn nonce() -> Vec<u8> {
    rand::random::<[u8; 16]>().to_vec()
}
