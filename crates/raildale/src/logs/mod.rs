//! Structured logs: one JSON object a line, on standard error or output.
//!
//! * [`limiter`]: how many lines of each kind are written in a second.
//! * [`queue`]: lines that wait for standard output.

pub mod limiter;
pub mod queue;

use std::{
    io::Write,
    sync::{Arc, LazyLock, Mutex, PoisonError},
};

use flexi_logger::{DeferredNow, Logger, LoggerHandle, Record};
use log::Level as LogLevel;
use raildale_core::{LogEvent, log_event::Level};
use serde_json::json;

use self::{
    limiter::{LineLimiter, NO_EVENT, Verdict},
    queue::QueuedStdout,
};
use crate::{
    error::{Error, ErrorKind},
    fleet::steady_clock::now_ms,
};

/// The target of log records that are numbered events.
const EVENT_TARGET: &str = "event";

/// The lines of this process, whichever thread writes them.
static LINES: LazyLock<Mutex<LineLimiter>> = LazyLock::new(Mutex::default);

/// Counts a line of an event; says whether it is to be written.
fn count(number: u32) -> Verdict {
    let mut lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
    lines.admit(now_ms(), number)
}

/// Starts the log of this process.
///
/// # Errors
///
/// [`ErrorKind::Config`] if `loudness` is no level.
pub fn start(loudness: &str) -> Result<LoggerHandle, Error> {
    logger(loudness)?.log_to_stderr().start().map_err(bad)
}

/// Starts the log of this process on standard output. Writing never waits
/// for the reader.
///
/// # Errors
///
/// [`ErrorKind::Config`] if `loudness` is no level.
pub fn start_on_stdout(loudness: &str) -> Result<LoggerHandle, Error> {
    let writer = QueuedStdout::start(line)?;
    logger(loudness)?.log_to_writer(Box::new(writer)).start().map_err(bad)
}

fn logger(loudness: &str) -> Result<Logger, Error> {
    Ok(Logger::try_with_str(loudness).map_err(bad)?.format(line))
}

fn bad(error: flexi_logger::FlexiLoggerError) -> Error {
    Error::new(ErrorKind::Config, format!("log: {error}"))
}

/// Writes a numbered event, unless too many of its kind were written within
/// a second. How many were left out is a line of its own.
pub fn event(process: &Arc<str>, event: LogEvent, detail: &str) {
    let verdict = count(event.number());
    for (number, lines) in verdict.left_out {
        let detail = format!("event={number} lines={lines}");
        write_event(process, LogEvent::LinesLeftOut, &detail);
    }
    if verdict.is_written {
        write_event(process, event, detail);
    }
}

/// Whether a record is written. Events are counted where they are made.
fn admits(record: &Record<'_>) -> bool {
    record.target() == EVENT_TARGET || count(NO_EVENT).is_written
}

/// The line that tells of lines which found no room in the queue.
fn no_room_line(lines: u64) -> String {
    let event = LogEvent::LinesLeftOut;
    json!({
        "level": "WARN",
        "target": EVENT_TARGET,
        "body": {
            "event": event.number(),
            "text": event.text(),
            "detail": format!("event=any lines={lines} reason=slow reader"),
        },
    })
    .to_string()
}

fn write_event(process: &Arc<str>, event: LogEvent, detail: &str) {
    let level = match event.level() {
        Level::Alarm => LogLevel::Error,
        Level::Warn => LogLevel::Warn,
        Level::Info => LogLevel::Info,
    };
    let fields = json!({
        "process": &**process,
        "event": event.number(),
        "text": event.text(),
        "detail": detail,
    });
    log::log!(target: EVENT_TARGET, level, "{fields}");
}

fn line(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let text = record.args().to_string();
    let body =
        serde_json::from_str(&text).unwrap_or(serde_json::Value::String(text));
    let line = json!({
        "time": now.format_rfc3339(),
        "level": record.level().as_str(),
        "target": record.target(),
        "body": body,
    });
    write!(out, "{line}")
}
