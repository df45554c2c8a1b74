//! Spans, one for each hop of a request, with W3C trace contexts.

use std::{sync::Arc, time::Instant};

use serde_json::json;

/// The ids of a span and its trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    trace_id: u128,
    span_id: u64,
}

impl TraceContext {
    /// Parses a `traceparent`. Returns `None` if it is malformed, in which
    /// case the standard requires a new trace.
    pub fn parse(traceparent: &str) -> Option<TraceContext> {
        let mut fields = traceparent.split('-');
        let version = fields.next()?;
        let trace_id = u128::from_str_radix(fields.next()?, 16).ok()?;
        let span_id = u64::from_str_radix(fields.next()?, 16).ok()?;
        let is_valid = version == "00"
            && traceparent.len() == 55
            && trace_id != 0
            && span_id != 0;
        is_valid.then_some(TraceContext { trace_id, span_id })
    }

    /// Returns the `traceparent` for the next hop.
    pub fn to_traceparent(self) -> String {
        format!("00-{:032x}-{:016x}-01", self.trace_id, self.span_id)
    }
}

/// An open span.
#[derive(Debug)]
pub struct Span {
    name: &'static str,
    process: Arc<str>,
    parent: Option<u64>,
    context: TraceContext,
    start: Instant,
    is_enabled: bool,
}

impl Span {
    /// Opens a span under `traceparent`, or as the root of a new trace if it
    /// is malformed. The span is logged only if `is_enabled`.
    pub fn new(
        name: &'static str,
        process: &Arc<str>,
        traceparent: &str,
        is_enabled: bool,
    ) -> Span {
        let parent = TraceContext::parse(traceparent);
        let trace_id =
            parent.map_or_else(rand::random, |parent| parent.trace_id);
        let span_id = rand::random::<u64>() | 1;
        Span {
            name,
            process: process.clone(),
            parent: parent.map(|parent| parent.span_id),
            context: TraceContext { trace_id, span_id },
            start: Instant::now(),
            is_enabled,
        }
    }

    /// Returns the trace context of the span.
    pub fn context(&self) -> TraceContext {
        self.context
    }

    /// Closes the span with the number of a result code and logs it.
    pub fn end(self, code: u32) {
        if !self.is_enabled {
            return;
        }
        let fields = json!({
            "span": self.name,
            "process": &*self.process,
            "trace_id": format!("{:032x}", self.context.trace_id),
            "span_id": format!("{:016x}", self.context.span_id),
            "parent_id": self.parent.map(|id| format!("{id:016x}")),
            "took_us": self.start.elapsed().as_micros() as u64,
            "code": code,
        });
        log::log!(target: "span", log::Level::Info, "{fields}");
    }
}
