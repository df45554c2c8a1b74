//! A connection of a caller, whose reads are bounded.

use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep, sleep},
};

use super::ports::Place;
use crate::fleet::steady_clock::now_ms;

/// The maximum number of bytes of one read. The HTTP library doubles its buffer
/// whenever a read fills it, up to the longest head; this is just below the
/// size at which it stays.
const MAX_READ_BYTES: usize = (16 << 10) - 1;

/// A connection of a caller.
///
/// Its head has to arrive in time, and long heads share a memory. The place of
/// the connection learns what it is used for.
#[derive(Debug)]
pub struct CallerStream<S> {
    stream: S,
    place: Rc<Place>,
    /// Expires when a head that has not arrived whole may be late.
    head_due: Option<Pin<Box<Sleep>>>,
}

impl<S> CallerStream<S> {
    /// Creates a connection that has a place.
    pub fn new(stream: S, place: Rc<Place>) -> CallerStream<S> {
        CallerStream { stream, place, head_due: None }
    }

    /// Has the task woken when the head that is arriving is late.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::TimedOut`] once it is.
    fn poll_head_due(&mut self, context: &mut Context) -> io::Result<()> {
        let Some(since_ms) = self.place.head_since_ms() else {
            self.head_due = None;
            return Ok(());
        };
        let passed = Duration::from_millis(now_ms().saturating_sub(since_ms));
        let left = self.place.head_timeout().saturating_sub(passed);
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let due = self.head_due.get_or_insert_with(|| Box::pin(sleep(left)));
        if due.is_elapsed() {
            due.as_mut().reset(Instant::now() + left);
        }
        // Its end only has the time checked again.
        if due.as_mut().poll(context).is_ready() {
            context.waker().wake_by_ref();
        }
        Ok(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CallerStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let limit = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        match Pin::new(&mut self.stream).poll_read(context, &mut part)? {
            Poll::Ready(()) => {}
            Poll::Pending => {
                self.poll_head_due(context)?;
                return Poll::Pending;
            }
        }
        let length = part.filled().len();
        buffer.advance(length);
        match length > 0 && !self.place.record_read(length) {
            true => Poll::Ready(Err(io::ErrorKind::OutOfMemory.into())),
            false => Poll::Ready(Ok(())),
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CallerStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        slices: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let stream = Pin::new(&mut self.stream);
        let written = stream.poll_write_vectored(context, slices);
        self.place.record_blocked(written.is_pending());
        let length = ready!(written)?;
        Poll::Ready(Ok(length))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<io::Result<()>> {
        // The HTTP library flushes once it has written all that it holds.
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.place.record_written();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
