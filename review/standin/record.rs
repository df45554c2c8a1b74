//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::{SystemTime, UNIX_EPOCH},
};

/// Returns the time of day in Unix milliseconds. All processes of a case run
/// on one machine.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// A text file with one line for each thing that happened; clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun_ms: u64,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { file, begun_ms: unix_ms() })
    }

    /// Writes a line with the time since the beginning, in seconds.
    pub fn line(&self, text: &str) {
        self.line_at(unix_ms(), text);
    }

    /// Writes a line about an earlier time, in Unix milliseconds.
    pub fn line_at(&self, at_ms: u64, text: &str) {
        let at_s = (at_ms as f64 - self.begun_ms as f64) / 1e3;
        let mut file =
            self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        // A record that can't be written must not hide the result.
        let _ = writeln!(file, "{at_s:8.3} {text}");
    }
}
