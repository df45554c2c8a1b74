//! The cases.

pub mod drain;
pub mod mixed;
pub mod recover;
pub mod twice;

use std::{fs, io, path::Path};

use crate::record::Record;

/// The result of a case.
pub enum Verdict {
    /// The rule was broken.
    Broken(String),
    /// The rule held.
    Held(String),
    /// The case did not come about.
    NotRun(String),
}

/// A line of a worker's log.
pub struct Logged {
    /// When it was written, in Unix milliseconds.
    pub at_ms: u64,
    /// Its words after the time.
    pub words: Vec<String>,
}

impl Logged {
    /// Returns the id of the request that began to run, if this line says so.
    pub fn run(&self) -> Option<&str> {
        match &self.words[..] {
            [verb, id, ..] if verb == "run" => Some(id),
            _ => None,
        }
    }
}

/// Reads a worker's log, and copies it to the record.
pub fn read_log(
    path: &Path,
    name: &str,
    record: &Record,
) -> io::Result<Vec<Logged>> {
    let text = fs::read_to_string(path)?;
    let lines = text.lines().filter_map(|line| {
        let (at, rest) = line.split_once(' ')?;
        let at_ms = at.parse().ok()?;
        record.line_at(at_ms, &format!("{name}: {rest}"));
        let words = rest.split(' ').map(str::to_string).collect();
        Some(Logged { at_ms, words })
    });
    Ok(lines.collect())
}
