//! A model engine that works in passes over a batch.
//!
//! A pass reads prompts, up to a bound, and then writes one event of every
//! request whose prompt is read. What does not fit into the batch waits in
//! the engine, the more urgent first.

use super::pattern::EnginePattern;

/// A request in the engine.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Names the attempt.
    pub attempt: usize,
    /// Prompt tokens still to read.
    pub unread_tokens: f64,
    /// Events still to write.
    pub events_left: u32,
    /// 0 first.
    pub urgency: u8,
}

/// What a pass brought to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PassOutput {
    /// The attempt.
    pub attempt: usize,
    /// Whether that was its last event.
    pub is_last: bool,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    spec: EnginePattern,
    running: Vec<EngineRequest>,
    waiting: Vec<EngineRequest>,
    is_busy: bool,
}

impl Engine {
    /// An idle engine.
    pub fn new(spec: EnginePattern) -> Engine {
        Engine { spec, running: vec![], waiting: vec![], is_busy: false }
    }

    /// Requests in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a request in; false if there is no room for it.
    pub fn enqueue(&mut self, work: EngineRequest) -> bool {
        if self.waiting.len() >= self.spec.queue {
            return false;
        }
        let place =
            self.waiting.partition_point(|w| w.urgency <= work.urgency);
        self.waiting.insert(place, work);
        true
    }

    /// Takes a request out, whatever became of it.
    pub fn remove(&mut self, attempt: usize) {
        self.running.retain(|work| work.attempt != attempt);
        self.waiting.retain(|work| work.attempt != attempt);
    }

    /// Takes everything out.
    pub fn clear(&mut self) -> Vec<usize> {
        let all = self.running.drain(..).chain(self.waiting.drain(..));
        all.map(|work| work.attempt).collect()
    }

    /// Begins a pass if none is under way and there is work; returns its
    /// milliseconds.
    pub fn begin_pass(&mut self) -> Option<f64> {
        if self.is_busy {
            return None;
        }
        let free = self.spec.slots.saturating_sub(self.running.len());
        let count = free.min(self.waiting.len());
        self.running.extend(self.waiting.drain(..count));
        if self.running.is_empty() {
            return None;
        }
        self.is_busy = true;
        Some(self.pass_ms())
    }

    /// Reads prompts for the pass that begins, and tells how long it takes.
    fn pass_ms(&mut self) -> f64 {
        let mut room = self.spec.chunk_tokens;
        for work in &mut self.running {
            let read = work.unread_tokens.min(room);
            work.unread_tokens -= read;
            room -= read;
        }
        let read = self.spec.chunk_tokens - room;
        let writers =
            self.running.iter().filter(|work| work.unread_tokens <= 0.0);
        let step_ms = self.spec.step_ms
            + self.spec.per_sequence_ms * writers.clone().count() as f64;
        let steps = match writers.count() {
            0 => 1,
            _ => self.spec.stride,
        };
        read / self.spec.prompt_tokens_per_ms + step_ms * f64::from(steps)
    }

    /// Ends the pass under way.
    pub fn end_pass(&mut self) -> Vec<PassOutput> {
        self.is_busy = false;
        let mut written = Vec::new();
        for work in &mut self.running {
            if work.unread_tokens <= 0.0 {
                work.events_left = work.events_left.saturating_sub(1);
                let is_last = work.events_left == 0;
                written.push(PassOutput { attempt: work.attempt, is_last });
            }
        }
        self.running.retain(|work| work.events_left > 0);
        written
    }
}

/// Milliseconds of a full engine that a request takes.
pub fn cost_ms(spec: &EnginePattern, prompt_tokens: f64, events: u32) -> f64 {
    let slots = spec.slots as f64;
    let event_ms =
        f64::from(spec.stride) * (spec.step_ms + spec.per_sequence_ms * slots);
    let reading_ms = prompt_tokens / spec.prompt_tokens_per_ms;
    reading_ms + f64::from(events) * event_ms / slots
}
