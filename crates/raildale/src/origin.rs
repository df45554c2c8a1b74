//! A client for the origin of weights.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use raildale_core::Manifest;

use crate::{http_client::HttpClient, request_path::RequestPath};

/// Time-out of a call. Generous, because the reducer has its own deadline that
/// depends on the link; this one only ends calls that the reducer has given up
/// on.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(120);

/// The maximum size of a chunk or manifest in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A client for the origin.
#[derive(Clone, Debug)]
pub struct Origin {
    http: HttpClient,
    address: SocketAddr,
}

impl Origin {
    /// Creates a client for the origin at `address`.
    pub fn new(http: HttpClient, address: SocketAddr) -> Origin {
        Origin { http, address }
    }

    /// Reads the manifest at `origin_path` without verifying its digest.
    /// `None` if the origin does not answer or the manifest is malformed.
    pub async fn manifest(&self, origin_path: &str) -> Option<Manifest> {
        let path = version_path(origin_path).with_segment("manifest");
        let body = self.get(&path).await?;
        Manifest::decode(&body)
    }

    /// Reads a chunk at `origin_path` without verifying its digest. `None` if
    /// the origin does not deliver it.
    pub async fn chunk(
        &self,
        origin_path: &str,
        index: usize,
    ) -> Option<Bytes> {
        let path = version_path(origin_path)
            .with_segment("chunks")
            .with_segment(&index.to_string());
        self.get(&path).await
    }

    async fn get(&self, path: &RequestPath) -> Option<Bytes> {
        let answer = self
            .http
            .call(
                Method::GET,
                self.address,
                path,
                Bytes::new(),
                MAX_ANSWER_BYTES,
                CHUNK_TIMEOUT,
            )
            .await
            .ok()?;
        (answer.status == StatusCode::OK).then_some(answer.body)
    }
}

/// Returns the path of a version whose settings give `origin_path`.
fn version_path(origin_path: &str) -> RequestPath {
    RequestPath::new("").with_segments(origin_path)
}
