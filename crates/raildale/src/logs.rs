//! Structured logs: one JSON object a line, on standard error.

use std::{io::Write, sync::Arc};

use flexi_logger::{DeferredNow, Logger, LoggerHandle, Record};
use log::Level as LogLevel;
use raildale_core::{LogEvent, log_event::Level};
use serde_json::json;

use crate::error::{Error, ErrorKind};

/// Starts the log of this process.
///
/// # Errors
///
/// [`ErrorKind::Config`] if `loudness` is no level.
pub fn start(loudness: &str) -> Result<LoggerHandle, Error> {
    logger(loudness)?.log_to_stderr().start().map_err(bad)
}

/// Starts the log of this process on standard output.
///
/// # Errors
///
/// [`ErrorKind::Config`] if `loudness` is no level.
pub fn start_on_stdout(loudness: &str) -> Result<LoggerHandle, Error> {
    logger(loudness)?.log_to_stdout().start().map_err(bad)
}

fn logger(loudness: &str) -> Result<Logger, Error> {
    Ok(Logger::try_with_str(loudness).map_err(bad)?.format(line))
}

fn bad(error: flexi_logger::FlexiLoggerError) -> Error {
    Error::new(ErrorKind::Config, format!("log: {error}"))
}

/// Writes a numbered event.
pub fn event(process: &Arc<str>, event: LogEvent, detail: &str) {
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
    log::log!(target: "event", level, "{fields}");
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
