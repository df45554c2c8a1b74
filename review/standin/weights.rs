//! The weights of the model, and the origin that gives them.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use crate::{
    http::{self, Next, Request, respond, respond_json},
    record::Record,
    sha256,
};

/// The name of the model.
pub const MODEL: &str = "daka510000";
/// The number of pieces of a version.
pub const PIECES: u32 = 48;
/// The size of a piece in bytes.
pub const PIECE_BYTES: usize = 49_152;
/// The number of layers.
pub const LAYERS: u32 = 16;

/// Returns the bytes of a piece.
pub fn piece(version: u64, index: u32) -> Vec<u8> {
    let mut state = version * 1_000_003 + u64::from(index) * 7_919 + 1;
    let mut next = move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state as u8
    };
    (0..PIECE_BYTES).map(|_| next()).collect()
}

/// The origin of weights; clones share its state.
#[derive(Clone)]
pub struct Origin {
    /// The digests of each version's pieces, from version 1 on.
    digests: Arc<Vec<Vec<String>>>,
    /// The version whose next manifest is spoilt; 0 for none.
    spoils_next: Arc<AtomicU64>,
    /// The number of answers so far.
    answers: Arc<AtomicU64>,
    record: Record,
}

impl Origin {
    /// Starts an origin that gives versions 1 and 2.
    pub fn start(address: SocketAddr, record: Record) -> io::Result<Origin> {
        let digests = (1..=2).map(|version| {
            (0..PIECES).map(|i| sha256::hex(&piece(version, i))).collect()
        });
        let origin = Origin {
            digests: Arc::new(digests.collect()),
            spoils_next: Arc::default(),
            answers: Arc::default(),
            record,
        };
        let serving = origin.clone();
        http::serve(address, move |request, writer, _: &mut ()| {
            serving.answer(request, writer)
        })?;
        Ok(origin)
    }

    /// Spoils the next manifest of a version that is asked for: one digit of
    /// one digest is another one.
    pub fn spoil_next_manifest(&self, version: u64) {
        self.spoils_next.store(version, Ordering::SeqCst);
    }

    /// Returns the number of answers so far.
    pub fn answers(&self) -> u64 {
        self.answers.load(Ordering::SeqCst)
    }

    fn answer(&self, request: &Request, writer: &mut TcpStream) -> Next {
        self.answers.fetch_add(1, Ordering::SeqCst);
        let version = request.number("Version").unwrap_or(2);
        let Some(digests) = self.digests.get(version as usize - 1) else {
            return respond_json(writer, "404 Not Found", "{}");
        };
        if request.path.starts_with("/-/manifest/") {
            return self.manifest(version, digests.clone(), writer);
        }
        if request.path.starts_with("/-/piece/") {
            let index = request.number("ChunkCount").unwrap_or(0) as u32;
            let data = piece(version, index);
            return respond(writer, "200 OK", &[], &data);
        }
        respond_json(writer, "404 Not Found", "{}")
    }

    fn manifest(
        &self,
        version: u64,
        mut digests: Vec<String>,
        writer: &mut TcpStream,
    ) -> Next {
        let (order, spoils) = (Ordering::SeqCst, &self.spoils_next);
        let is_spoilt =
            spoils.compare_exchange(version, 0, order, order).is_ok();
        if is_spoilt {
            let digest = &mut digests[20];
            let other = if digest.starts_with('0') { "1" } else { "0" };
            digest.replace_range(0..1, other);
        }
        let sound = if is_spoilt { "SPOILT in one digit" } else { "sound" };
        let text = format!("origin: manifest of version {version}, {sound}");
        self.record.line(&text);
        let digests: Vec<String> =
            digests.iter().map(|digest| format!("\"{digest}\"")).collect();
        let body = format!(
            "{{\"Model\":\"{MODEL}\",\"Version\":{version},\"ChunkBytes\":\
             {PIECE_BYTES},\"layers\":{LAYERS},\"Digests\":[{}]}}",
            digests.join(","),
        );
        respond_json(writer, "200 OK", &body)
    }
}
