//! Structured logs: one JSON object per line, on standard error or output.
//!
//! * [`limiter`]: limits the lines of each event per second.
//! * [`queue`]: queues lines for standard output.

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

/// The line limiter of this process, shared by all threads.
static LIMITER: LazyLock<Mutex<LineLimiter>> = LazyLock::new(Mutex::default);

/// Counts a line of an event and decides whether it is written.
fn count_line(number: u32) -> Verdict {
    let mut limiter = LIMITER.lock().unwrap_or_else(PoisonError::into_inner);
    limiter.admit(now_ms(), number)
}

/// Starts the log of this process on standard error.
///
/// # Errors
///
/// [`ErrorKind::Config`] if `log_level` is not a log level.
pub fn start(log_level: &str) -> Result<LoggerHandle, Error> {
    logger(log_level)?.log_to_stderr().start().map_err(config_error)
}

/// Starts the log of this process on standard output. Writing never waits
/// for the reader.
///
/// # Errors
///
/// [`ErrorKind::Config`] if `log_level` is not a log level;
/// [`ErrorKind::Io`] if the writer thread cannot be started.
pub fn start_on_stdout(log_level: &str) -> Result<LoggerHandle, Error> {
    let writer = QueuedStdout::start(format_line)?;
    logger(log_level)?
        .log_to_writer(Box::new(writer))
        .start()
        .map_err(config_error)
}

fn logger(log_level: &str) -> Result<Logger, Error> {
    Ok(Logger::try_with_str(log_level)
        .map_err(config_error)?
        .format(format_line))
}

fn config_error(error: flexi_logger::FlexiLoggerError) -> Error {
    Error::new(ErrorKind::Config, format!("log: {error}"))
}

/// Logs a numbered event unless the limit on its lines per second is reached.
/// Numbers of omitted lines are logged as events of their own.
pub fn event(process: &Arc<str>, event: LogEvent, detail: &str) {
    let verdict = count_line(event.number());
    for (number, lines) in verdict.left_out {
        let detail = format!("event={number} lines={lines}");
        write_event(process, LogEvent::LinesLeftOut, &detail);
    }
    if verdict.is_written {
        write_event(process, event, detail);
    }
}

/// Returns whether a record is written. Events are counted in [`event`].
fn is_admitted(record: &Record<'_>) -> bool {
    record.target() == EVENT_TARGET || count_line(NO_EVENT).is_written
}

/// Returns the line that reports lines omitted because the queue was full.
fn overflow_line(lines: u64) -> String {
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

fn format_line(
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
