//! A bounded queue of log lines for standard output.
//!
//! A reader that stalls must not delay requests: lines wait in a bounded queue
//! and a thread writes them. Lines omitted because the queue is full are
//! counted.

use std::{
    io::Write,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use flexi_logger::{DeferredNow, Record, writers::LogWriter};

/// The maximum number of queued bytes: about two seconds of an entry host's
/// lines in an overload.
const MAX_QUEUED_BYTES: usize = 256 << 10;

/// Pause of the writer after a batch, so that one system call writes many
/// lines.
const BATCH_PAUSE: Duration = Duration::from_millis(25);

/// How long a process that exits waits for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// The queue of lines.
#[derive(Debug, Default)]
pub struct LineQueue {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    text: Vec<u8>,
    left_out: u64,
    is_writing: bool,
    /// Whether standard output has failed, so that lines are dropped.
    is_closed: bool,
}

/// Lines taken from the queue by one call.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The lines, each with a line feed.
    pub text: Vec<u8>,
    /// The number of lines omitted since the last batch.
    pub left_out: u64,
}

impl LineQueue {
    /// Creates an empty queue.
    pub fn new() -> LineQueue {
        LineQueue::default()
    }

    /// Adds a line, or counts it as omitted if the queue is full. Never waits
    /// for the reader.
    pub fn push(&self, line: &[u8]) {
        let mut state = self.lock();
        if state.is_closed {
            return;
        }
        if state.text.len() + line.len() + 1 > MAX_QUEUED_BYTES {
            state.left_out += 1;
            return;
        }
        let was_empty = state.text.is_empty();
        state.text.extend_from_slice(line);
        state.text.push(b'\n');
        if was_empty {
            self.changed.notify_all();
        }
    }

    /// Waits until there are lines and takes all of them.
    pub fn take(&self) -> Batch {
        let mut state = self.lock();
        state.is_writing = false;
        self.changed.notify_all();
        while state.text.is_empty() {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        state.is_writing = true;
        let left_out = std::mem::take(&mut state.left_out);
        Batch { text: std::mem::take(&mut state.text), left_out }
    }

    /// Drops all queued and later lines.
    fn close(&self) {
        let mut state = self.lock();
        *state = State { is_closed: true, ..State::default() };
        self.changed.notify_all();
    }

    /// Waits up to `limit` until all lines are written.
    fn wait_written(&self, limit: Duration) {
        let state = self.lock();
        let is_busy =
            |state: &mut State| !state.text.is_empty() || state.is_writing;
        // Lines not written in time are lost when the process exits.
        let _ = self.changed.wait_timeout_while(state, limit, is_busy);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes log lines to standard output from a dedicated thread.
#[derive(Debug)]
pub struct QueuedStdout {
    queue: Arc<LineQueue>,
    format: flexi_logger::FormatFunction,
}

impl QueuedStdout {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// [`std::io::Error`] if the thread cannot be started.
    pub fn start(
        format: flexi_logger::FormatFunction,
    ) -> std::io::Result<QueuedStdout> {
        let queue = Arc::new(LineQueue::new());
        let lines = queue.clone();
        std::thread::Builder::new()
            .name("log".to_string())
            .spawn(move || write_all(&lines))?;
        Ok(QueuedStdout { queue, format })
    }
}

/// Writes batches until standard output fails.
fn write_all(queue: &LineQueue) {
    loop {
        let batch = queue.take();
        let mut out = std::io::stdout().lock();
        let mut written = out.write_all(&batch.text);
        if batch.left_out > 0 {
            let text = super::overflow_line(batch.left_out);
            written = written.and_then(|()| writeln!(out, "{text}"));
        }
        if written.and_then(|()| out.flush()).is_err() {
            queue.close();
            return;
        }
        drop(out);
        std::thread::sleep(BATCH_PAUSE);
    }
}

impl LogWriter for QueuedStdout {
    fn write(
        &self,
        now: &mut DeferredNow,
        record: &Record<'_>,
    ) -> std::io::Result<()> {
        if !super::is_admitted(record) {
            return Ok(());
        }
        let mut line = Vec::with_capacity(256);
        (self.format)(&mut line, now, record)?;
        self.queue.push(&line);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        self.queue.wait_written(FLUSH_TIMEOUT);
        Ok(())
    }

    fn shutdown(&self) {
        self.queue.wait_written(FLUSH_TIMEOUT);
    }
}
