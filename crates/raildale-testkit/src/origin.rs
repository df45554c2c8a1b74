//! A simulated origin of model weights, with a rate-limited link.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Request, Response, StatusCode, body::Frame, body::Incoming};
use raildale_core::Manifest;
use tokio::net::TcpListener;

use crate::{
    http_server::{self, Body, answer},
    links::LinkTable,
    truth::lock,
};

/// The maximum number of bytes that the origin sends at once.
const PIECE_BYTES: usize = 8 << 10;

/// A version at the origin.
#[derive(Clone, Debug)]
struct Stored {
    data: Bytes,
    manifest: Manifest,
}

/// A simulated origin.
#[derive(Debug)]
pub struct Origin {
    ip: IpAddr,
    links: Arc<LinkTable>,
    versions: Mutex<HashMap<String, Stored>>,
    bytes_sent: AtomicU64,
    is_down: AtomicBool,
}

impl Origin {
    /// Starts an origin that listens on `address`. Its rate is that of its
    /// link in `links`.
    ///
    /// # Errors
    ///
    /// Returns an error if `address` cannot be bound.
    pub async fn start(
        address: SocketAddr,
        links: Arc<LinkTable>,
    ) -> std::io::Result<Arc<Origin>> {
        let listener = TcpListener::bind(address).await?;
        let origin = Arc::new(Origin {
            ip: address.ip(),
            links,
            versions: Mutex::default(),
            bytes_sent: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
        });
        let shared = origin.clone();
        http_server::serve(listener, move |from, request| {
            shared.clone().handle(from, request)
        });
        Ok(origin)
    }

    /// Stores a version at `path`, replacing the previous one.
    pub fn store(&self, path: &str, data: Bytes, manifest: Manifest) {
        let stored = Stored { data, manifest };
        lock(&self.versions).insert(path.to_string(), stored);
    }

    /// Returns the bytes of manifests and chunks that it has sent.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.load(Ordering::Relaxed)
    }

    /// Resets the counter of [`Origin::bytes_sent`].
    pub fn reset_counts(&self) {
        self.bytes_sent.store(0, Ordering::Relaxed);
    }

    /// Makes it refuse all requests, or answer again.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    async fn handle(
        self: Arc<Self>,
        from: IpAddr,
        request: Request<Incoming>,
    ) -> Response<Body> {
        if self.is_down.load(Ordering::Relaxed) {
            return answer(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let path = request.uri().path().trim_start_matches('/').to_string();
        match self.find(&path) {
            Some(data) => self.send(from, data),
            None => answer(StatusCode::NOT_FOUND, ""),
        }
    }

    /// Returns the manifest or chunk at a path.
    fn find(&self, path: &str) -> Option<Bytes> {
        let versions = lock(&self.versions);
        if let Some(path) = path.strip_suffix("/manifest") {
            return Some(versions.get(path)?.manifest.encode().into());
        }
        let (path, index) = path.rsplit_once("/chunks/")?;
        let stored = versions.get(path)?;
        let index: usize = index.parse().ok()?;
        let size = stored.manifest.chunk_bytes as usize;
        let start = index * size;
        if start >= stored.data.len() {
            return None;
        }
        let end = (start + size).min(stored.data.len());
        Some(stored.data.slice(start..end))
    }

    /// Streams data at the rates of the origin's and the client's links.
    fn send(self: Arc<Self>, to: IpAddr, data: Bytes) -> Response<Body> {
        let length = data.len();
        let pieces = stream::unfold(data, move |mut data| {
            let origin = self.clone();
            async move {
                if data.is_empty() {
                    return None;
                }
                let piece = data.split_to(data.len().min(PIECE_BYTES));
                origin.links.transfer(origin.ip, to, piece.len()).await;
                let bytes = piece.len() as u64;
                origin.bytes_sent.fetch_add(bytes, Ordering::Relaxed);
                Some((Ok(Frame::data(piece)), data))
            }
        });
        let mut response =
            Response::new(StreamBody::new(pieces).boxed_unsync());
        response.headers_mut().insert("content-length", length.into());
        response
    }
}
