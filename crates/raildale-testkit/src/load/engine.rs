//! A simulated engine that processes a batch in passes.
//!
//! A pass reads prompts, up to a maximum number of tokens, and then writes one
//! event of every request whose prompt has been read. Requests that do not fit
//! into the batch wait in the engine's queue, ordered by urgency.

use super::pattern::EnginePattern;

/// A request in the engine: one attempt.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Identifies the attempt.
    pub attempt: usize,
    /// The number of prompt tokens still to read.
    pub unread_tokens: f64,
    /// The number of events still to write.
    pub events_left: u32,
    /// Lower values run first.
    pub urgency: u8,
}

/// An event that a pass wrote for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PassOutput {
    /// The attempt that the event belongs to.
    pub attempt: usize,
    /// Whether it is the last event of the answer.
    pub is_last: bool,
}

/// A simulated engine: its batch and its queue.
#[derive(Debug)]
pub struct Engine {
    spec: EnginePattern,
    running: Vec<EngineRequest>,
    waiting: Vec<EngineRequest>,
    is_busy: bool,
}

impl Engine {
    /// Returns an idle engine.
    pub fn new(spec: EnginePattern) -> Engine {
        Engine { spec, running: vec![], waiting: vec![], is_busy: false }
    }

    /// Returns the number of requests in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests in the queue.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Queues a request. Returns false if the queue is full.
    pub fn enqueue(&mut self, work: EngineRequest) -> bool {
        if self.waiting.len() >= self.spec.queue {
            return false;
        }
        let index =
            self.waiting.partition_point(|w| w.urgency <= work.urgency);
        self.waiting.insert(index, work);
        true
    }

    /// Removes a request from the batch or the queue, if it is there.
    pub fn remove(&mut self, attempt: usize) {
        self.running.retain(|work| work.attempt != attempt);
        self.waiting.retain(|work| work.attempt != attempt);
    }

    /// Removes all requests and returns their attempts.
    pub fn clear(&mut self) -> Vec<usize> {
        let all = self.running.drain(..).chain(self.waiting.drain(..));
        all.map(|work| work.attempt).collect()
    }

    /// Begins a pass and returns its duration in milliseconds; `None` if a
    /// pass is under way or there are no requests.
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
        Some(self.read_prompts())
    }

    /// Reads prompts for the pass that begins, and returns its duration in
    /// milliseconds.
    fn read_prompts(&mut self) -> f64 {
        let mut tokens_left = self.spec.chunk_tokens;
        for work in &mut self.running {
            let read = work.unread_tokens.min(tokens_left);
            work.unread_tokens -= read;
            tokens_left -= read;
        }
        let read = self.spec.chunk_tokens - tokens_left;
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

    /// Ends the pass under way. Returns the events that it wrote.
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

/// Returns the time of an engine with a full batch that a request takes, in
/// milliseconds.
pub fn cost_ms(spec: &EnginePattern, prompt_tokens: f64, events: u32) -> f64 {
    let slots = spec.slots as f64;
    let event_ms =
        f64::from(spec.stride) * (spec.step_ms + spec.per_sequence_ms * slots);
    let prefill_ms = prompt_tokens / spec.prompt_tokens_per_ms;
    prefill_ms + f64::from(events) * event_ms / slots
}
