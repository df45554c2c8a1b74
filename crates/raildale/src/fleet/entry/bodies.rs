//! The bodies of callers' requests, in memory that they share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use raildale_core::{
    Code, Name,
    callers::body_memory::{BodyId, BodyMemory, Growth},
};
use tokio::{
    sync::{Notify, Semaphore},
    time::timeout,
};

use crate::{fleet::steady_clock::now_ms, running_timeout::running_timeout};

/// The size of a part of a body, in bytes. The first part needs no reservation:
/// most bodies have no other one.
const SEGMENT_BYTES: usize = 16 << 10;

/// The time in which a body has to bring another [`SEGMENT_BYTES`] or its end.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The maximum number of bytes that are read and discarded of a body whose
/// request has been refused.
///
/// A server that closes while its caller is still sending resets the
/// connection, and the refusal may be lost. The limit covers what callers are
/// expected to send by mistake; a caller that sends more is cut off.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// How long the rest of such a body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The maximum number of bodies whose rest is read at a time. Others are cut
/// off.
const MAX_DISCARDS: usize = 64;

/// The bodies of callers' requests.
#[derive(Debug)]
pub struct Bodies {
    memory: RefCell<BodyMemory>,
    /// The parts of bodies that have reserved memory.
    parts: RefCell<HashMap<BodyId, Rc<Parts>>>,
    discards: Semaphore,
}

/// What has arrived of a body beyond its first part.
#[derive(Debug, Default)]
struct Parts {
    full: RefCell<Vec<Bytes>>,
    /// Set once another body has got its memory.
    is_released: Cell<bool>,
    released: Notify,
}

impl Parts {
    fn release(&self) {
        self.full.borrow_mut().clear();
        self.is_released.set(true);
        self.released.notify_one();
    }
}

/// What a body has to keep to.
#[derive(Clone, Debug)]
pub struct BodyBounds {
    /// The organisation of the request.
    pub organisation: Option<Name>,
    /// The maximum size in bytes.
    pub max_bytes: usize,
    /// When its caller leaves, in milliseconds of the steady clock.
    pub due_ms: u64,
}

impl Bodies {
    /// Creates bodies that share `max_bytes` of memory.
    pub fn new(max_bytes: u64) -> Rc<Bodies> {
        Rc::new(Bodies {
            memory: RefCell::new(BodyMemory::new(max_bytes)),
            parts: RefCell::default(),
            discards: Semaphore::new(MAX_DISCARDS),
        })
    }

    /// Reads a body. `record_progress` gets the number of bytes that have
    /// arrived.
    ///
    /// # Errors
    ///
    /// [`Code::TooLarge`] as soon as it is known to be too long,
    /// [`Code::Malformed`] if it breaks off, [`Code::BodyLate`] if it makes no
    /// progress or its caller leaves, [`Code::BodyMemoryFull`] if its memory is
    /// needed for others.
    pub async fn read(
        self: &Rc<Bodies>,
        body: &mut Incoming,
        bounds: BodyBounds,
        record_progress: impl Fn(usize),
    ) -> Result<RequestBody, Code> {
        let announced = body.size_hint().lower();
        if announced > bounds.max_bytes as u64 {
            return Err(Code::TooLarge);
        }
        let due_ms = bounds.due_ms;
        let mut arriving = ArrivingBody::new(self.clone(), bounds, announced);
        loop {
            let left_ms = due_ms.saturating_sub(now_ms());
            let limit = PROGRESS_TIMEOUT.min(Duration::from_millis(left_ms));
            let reading = arriving.read_part(body);
            match running_timeout(limit, reading).await {
                Some(Ok(true)) => return Ok(arriving.finish()),
                Some(Ok(false)) => record_progress(arriving.length),
                Some(Err(code)) => return Err(code),
                None => return Err(Code::BodyLate),
            }
        }
    }

    /// Reserves memory for another part of a body, and takes it from others if
    /// need be.
    fn reserve(&self, id: BodyId) -> Result<(), Code> {
        let bytes = SEGMENT_BYTES as u64;
        let growth = self.memory.borrow_mut().grow(now_ms(), id, bytes);
        let Growth::Granted(released) = growth else {
            return Err(Code::BodyMemoryFull);
        };
        let mut parts = self.parts.borrow_mut();
        for id in released {
            if let Some(parts) = parts.remove(&id) {
                parts.release();
            }
        }
        Ok(())
    }

    /// Reads and discards the rest of a body while the refusal of its request
    /// is on its way. What is not read has the connection closed.
    pub fn discard(self: &Rc<Bodies>, body: Incoming) {
        if body.is_end_stream() {
            return;
        }
        let bodies = self.clone();
        tokio::task::spawn_local(async move {
            let Ok(_turn) = bodies.discards.try_acquire() else { return };
            let _ = timeout(DISCARD_TIMEOUT, discard(body)).await;
        });
    }
}

async fn discard(mut body: Incoming) {
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        let Some(Ok(frame)) = body.frame().await else { return };
        discarded += frame.data_ref().map_or(0, Bytes::len);
    }
}

/// A body that is arriving.
#[derive(Debug)]
struct ArrivingBody {
    reservation: Reservation,
    bounds: BodyBounds,
    began_ms: u64,
    length: usize,
    /// The part that is arriving.
    current: BytesMut,
}

impl ArrivingBody {
    /// Creates a body of at least `announced` bytes, of which nothing has
    /// arrived.
    fn new(
        bodies: Rc<Bodies>,
        bounds: BodyBounds,
        announced: u64,
    ) -> ArrivingBody {
        let first_bytes = announced.min(SEGMENT_BYTES as u64) as usize;
        ArrivingBody {
            reservation: Reservation::none(bodies),
            bounds,
            began_ms: now_ms(),
            length: 0,
            current: BytesMut::with_capacity(first_bytes),
        }
    }

    /// Reads until a part is full or the body ends. Returns whether it has
    /// ended.
    async fn read_part(&mut self, body: &mut Incoming) -> Result<bool, Code> {
        let enough = self.length + SEGMENT_BYTES;
        while self.length < enough {
            let parts = self.reservation.parts.clone();
            let frame = tokio::select! {
                biased;
                () = parts.released.notified() => {
                    return Err(Code::BodyMemoryFull);
                }
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else { return Ok(true) };
            let frame = frame.map_err(|_| Code::Malformed)?;
            // Trailers are ignored.
            if let Ok(data) = frame.into_data() {
                self.push(data)?;
            }
        }
        Ok(false)
    }

    fn push(&mut self, mut data: Bytes) -> Result<(), Code> {
        if self.length + data.len() > self.bounds.max_bytes {
            return Err(Code::TooLarge);
        }
        self.length += data.len();
        while !data.is_empty() {
            if self.current.len() == SEGMENT_BYTES {
                self.begin_part()?;
            }
            let free_bytes = SEGMENT_BYTES - self.current.len();
            let taken = data.split_to(data.len().min(free_bytes));
            self.current.extend_from_slice(&taken);
        }
        Ok(())
    }

    /// Reserves memory for the next part.
    fn begin_part(&mut self) -> Result<(), Code> {
        let organisation = &self.bounds.organisation;
        self.reservation.grow(self.began_ms, organisation)?;
        let next = BytesMut::with_capacity(SEGMENT_BYTES);
        let full = std::mem::replace(&mut self.current, next).freeze();
        self.reservation.parts.full.borrow_mut().push(full);
        Ok(())
    }

    /// Returns the body, which has arrived whole.
    fn finish(self) -> RequestBody {
        let ArrivingBody { reservation, current, length, .. } = self;
        reservation.complete();
        let full = std::mem::take(&mut *reservation.parts.full.borrow_mut());
        let last = (!current.is_empty()).then(|| current.freeze());
        RequestBody {
            parts: full.into_iter().chain(last).collect(),
            next: 0,
            left_bytes: length as u64,
            _reservation: Some(Rc::new(reservation)),
        }
    }
}

/// The memory of a body beyond its first part; it is free once this is dropped.
#[derive(Debug)]
struct Reservation {
    bodies: Rc<Bodies>,
    /// `None` before the second part.
    id: Option<BodyId>,
    parts: Rc<Parts>,
}

impl Reservation {
    fn none(bodies: Rc<Bodies>) -> Reservation {
        Reservation { bodies, id: None, parts: Rc::default() }
    }

    /// Reserves memory for another part of a body that began to arrive at
    /// `began_ms`.
    fn grow(
        &mut self,
        began_ms: u64,
        organisation: &Option<Name>,
    ) -> Result<(), Code> {
        if self.parts.is_released.get() {
            return Err(Code::BodyMemoryFull);
        }
        let id = *self.id.get_or_insert_with(|| {
            let mut memory = self.bodies.memory.borrow_mut();
            let id = memory.begin(began_ms, organisation.clone());
            let mut all = self.bodies.parts.borrow_mut();
            all.insert(id, self.parts.clone());
            id
        });
        self.bodies.reserve(id)
    }

    /// Records that the body has arrived whole, so that it keeps its memory.
    fn complete(&self) {
        if let Some(id) = self.id {
            self.bodies.memory.borrow_mut().complete(id);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.bodies.memory.borrow_mut().end(id);
            self.bodies.parts.borrow_mut().remove(&id);
        }
    }
}

/// A whole body. Clones share its memory; each is read from its beginning.
#[derive(Clone, Debug)]
pub struct RequestBody {
    parts: Rc<[Bytes]>,
    /// The index of the part that is read next.
    next: usize,
    left_bytes: u64,
    /// `None` if the body is empty.
    _reservation: Option<Rc<Reservation>>,
}

impl RequestBody {
    /// Creates an empty body.
    pub fn empty() -> RequestBody {
        let parts = Rc::default();
        RequestBody { parts, next: 0, left_bytes: 0, _reservation: None }
    }

    /// Returns the parts of the body; one that is empty if the body is.
    pub fn parts(&self) -> impl Iterator<Item = &[u8]> {
        let empty = self.parts.is_empty().then_some(&[][..]);
        self.parts.iter().map(|part| &part[..]).chain(empty)
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let part = self.parts.get(self.next).cloned();
        if let Some(part) = &part {
            self.next += 1;
            self.left_bytes -= part.len() as u64;
        }
        Poll::Ready(part.map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.left_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left_bytes)
    }
}
