//! Lines on their way to standard output.
//!
//! A reader that stalls must not hold up requests: lines wait in a bounded
//! queue, a thread writes them, and what finds no room is counted.

use std::{
    io::Write,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use flexi_logger::{DeferredNow, Record, writers::LogWriter};

/// Bytes that wait at most: about two seconds of an entry host's lines in an
/// overload.
const MOST_BYTES: usize = 256 << 10;

/// Pause of the writer after a batch: one call of the system then writes
/// many lines.
const GATHER: Duration = Duration::from_millis(25);

/// How long a process that ends waits for its last lines.
const FLUSH_MOST: Duration = Duration::from_millis(300);

/// Lines that wait.
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
    /// Nobody reads any more.
    is_closed: bool,
}

/// Lines taken from the queue together.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The lines.
    pub text: Vec<u8>,
    /// Lines that found no room since the last batch.
    pub left_out: u64,
}

impl LineQueue {
    /// No lines yet.
    pub fn new() -> LineQueue {
        LineQueue::default()
    }

    /// Adds a line, or counts it if there is no room. Never waits for the
    /// reader.
    pub fn push(&self, line: &[u8]) {
        let mut state = self.lock();
        if state.is_closed {
            return;
        }
        if state.text.len() + line.len() + 1 > MOST_BYTES {
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

    /// Waits for lines and takes all that are there.
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

    /// Drops what waits and all that comes: nobody reads any more.
    fn close(&self) {
        let mut state = self.lock();
        *state = State { is_closed: true, ..State::default() };
        self.changed.notify_all();
    }

    /// Waits until all lines are written, or for `most`.
    fn wait_written(&self, most: Duration) {
        let state = self.lock();
        let is_busy =
            |state: &mut State| !state.text.is_empty() || state.is_writing;
        // Late lines are lost with the process; there is nobody to tell.
        let _ = self.changed.wait_timeout_while(state, most, is_busy);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes log lines to standard output from a thread of its own.
#[derive(Debug)]
pub struct QueuedStdout {
    queue: Arc<LineQueue>,
    format: flexi_logger::FormatFunction,
}

impl QueuedStdout {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// [`std::io::Error`] if there can be no thread.
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

/// Writes batches for as long as the process runs.
fn write_all(queue: &LineQueue) {
    loop {
        let batch = queue.take();
        let mut out = std::io::stdout().lock();
        let mut written = out.write_all(&batch.text);
        if batch.left_out > 0 {
            let text = super::no_room_line(batch.left_out);
            written = written.and_then(|()| writeln!(out, "{text}"));
        }
        if written.and_then(|()| out.flush()).is_err() {
            queue.close();
            return;
        }
        drop(out);
        std::thread::sleep(GATHER);
    }
}

impl LogWriter for QueuedStdout {
    fn write(
        &self,
        now: &mut DeferredNow,
        record: &Record<'_>,
    ) -> std::io::Result<()> {
        if !super::admits(record) {
            return Ok(());
        }
        let mut line = Vec::with_capacity(256);
        (self.format)(&mut line, now, record)?;
        self.queue.push(&line);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        self.queue.wait_written(FLUSH_MOST);
        Ok(())
    }

    fn shutdown(&self) {
        self.queue.wait_written(FLUSH_MOST);
    }
}
