//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{SystemTime, UNIX_EPOCH},
};

/// Returns the time of day in milliseconds.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Writes lines with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start_ms: u64,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), start_ms: now_ms() }
    }

    /// Writes a line for something that happens now.
    pub fn note(&self, text: &str) {
        self.note_at(now_ms(), text);
    }

    /// Writes a line for something that happened at a time of day.
    pub fn note_at(&self, at_ms: u64, text: &str) {
        let ms = at_ms.saturating_sub(self.start_ms);
        let line = format!("{:>8.3} s  {text}\n", ms as f64 / 1e3);
        let mut file = self.file.lock().expect("no writer panicked");
        file.write_all(line.as_bytes()).expect("the record can be written");
    }

    /// Writes a line and shows it.
    pub fn show(&self, text: &str) {
        println!("{text}");
        self.note(text);
    }
}
