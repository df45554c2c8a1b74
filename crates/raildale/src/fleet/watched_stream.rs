//! A TCP connection whose peer may stop reading for as long as it acknowledges.

use std::{
    io,
    os::fd::{AsFd, BorrowedFd},
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep},
};

use super::{
    send_watch::{SAMPLE_INTERVAL, SendState, SendWatch},
    steady_clock::now_ms,
    tcp_info::TcpInfo,
};

/// A connection that ends when its peer is silent, and not when the peer's
/// receive window is closed.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    /// The user time-out while the window is open.
    user_timeout: Duration,
    /// How long the window may be closed.
    max_pause: Duration,
    watch: SendWatch,
    /// Expires when the next sample is due.
    next_sample: Pin<Box<Sleep>>,
    /// Whether bytes may be outstanding.
    is_sampling: bool,
    /// Whether the peer's window is closed, and the user time-out longer.
    is_extended: bool,
    /// Whether bytes that are outstanding when the connection is dropped are
    /// discarded.
    discards_on_drop: bool,
}

impl WatchedStream {
    /// Watches a connection that has `user_timeout`.
    pub fn new(stream: TcpStream, user_timeout: Duration) -> WatchedStream {
        WatchedStream {
            stream,
            user_timeout,
            max_pause: Duration::MAX,
            watch: SendWatch::new(now_ms()),
            next_sample: Box::pin(tokio::time::sleep(SAMPLE_INTERVAL)),
            is_sampling: false,
            is_extended: false,
            discards_on_drop: false,
        }
    }

    /// Limits how long the peer may read nothing.
    pub fn with_max_pause(mut self, max_pause: Duration) -> WatchedStream {
        self.max_pause = max_pause;
        self
    }

    /// Resets the connection if it is dropped while bytes are outstanding.
    /// Otherwise the kernel delivers them as soon as it can.
    pub fn with_discard_on_drop(mut self) -> WatchedStream {
        self.discards_on_drop = true;
        self
    }

    /// Begins to take samples, as bytes were written.
    fn begin_sampling(&mut self) {
        if !self.is_sampling {
            self.is_sampling = true;
            self.watch = SendWatch::new(now_ms());
            self.schedule_sample();
        }
    }

    fn schedule_sample(&mut self) {
        self.next_sample.as_mut().reset(Instant::now() + SAMPLE_INTERVAL);
    }

    /// Takes the samples that are due, and has the task woken for the next one.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::TimedOut`] once the peer counts as silent.
    fn poll_samples(&mut self, context: &mut Context) -> io::Result<()> {
        while self.is_sampling
            && self.next_sample.as_mut().poll(context).is_ready()
        {
            self.sample()?;
            self.schedule_sample();
        }
        Ok(())
    }

    fn sample(&mut self) -> io::Result<()> {
        let info = match TcpInfo::of(&self.stream) {
            Ok(info) => info,
            Err(error) => {
                log::debug!("state of a connection: {error}");
                self.is_sampling = false;
                return Ok(());
            }
        };
        match self.watch.record(now_ms(), info.send_sample()) {
            SendState::Idle => {
                self.is_sampling = false;
                self.restore_user_timeout();
            }
            SendState::Sending => self.restore_user_timeout(),
            SendState::WindowClosed(timeout) => {
                self.is_extended = true;
                let timeout = timeout.max(self.user_timeout);
                self.set_user_timeout(timeout.min(self.max_pause));
            }
            SendState::Silent => return Err(io::ErrorKind::TimedOut.into()),
        }
        Ok(())
    }

    fn has_outstanding_bytes(&self) -> bool {
        if !self.is_sampling {
            return false;
        }
        let info = TcpInfo::of(&self.stream);
        info.is_ok_and(|info| info.send_sample().is_outstanding)
    }

    fn restore_user_timeout(&mut self) {
        if self.is_extended {
            self.is_extended = false;
            self.set_user_timeout(self.user_timeout);
        }
    }

    fn set_user_timeout(&self, timeout: Duration) {
        let socket = SockRef::from(&self.stream);
        if let Err(error) = socket.set_tcp_user_timeout(Some(timeout)) {
            log::debug!("user time-out of a connection: {error}");
        }
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        if !self.discards_on_drop || !self.has_outstanding_bytes() {
            return;
        }
        let socket = SockRef::from(&self.stream);
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            log::debug!("reset of a connection: {error}");
        }
    }
}

impl AsFd for WatchedStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        self.poll_samples(context)?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WatchedStream {
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
        self.poll_samples(context)?;
        let stream = Pin::new(&mut self.stream);
        let length = ready!(stream.poll_write_vectored(context, slices))?;
        self.begin_sampling();
        // Has the task woken for the first sample.
        self.poll_samples(context)?;
        Poll::Ready(Ok(length))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<io::Result<()>> {
        self.poll_samples(context)?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
