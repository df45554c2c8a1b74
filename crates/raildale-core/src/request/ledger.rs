//! The agent's ledger of run keys, which starts each key at most once.
//!
//! An entry stays until its key expires, so a key that the ledger accepts can
//! never have been removed from it. Answers are kept in bounded memory and
//! may be dropped sooner; the record that the key ran is not.

use std::collections::{BTreeMap, VecDeque};

use crate::{Code, Digest, Name};

/// The limits of a ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerConfig {
    /// The maximum number of run keys. Beyond it new keys are refused as not
    /// run, and up to as many refused keys again are kept, so that they
    /// cannot run later.
    pub max_runs: usize,
    /// The maximum total size of kept answers, in bytes.
    pub max_answer_bytes: usize,
    /// The maximum time until a key expires. A key that expires later is
    /// refused, which bounds how long an entry has to stay.
    pub max_ttl_ms: u64,
}

impl Default for LedgerConfig {
    fn default() -> LedgerConfig {
        LedgerConfig {
            max_runs: 100_000,
            max_answer_bytes: 32 << 20,
            max_ttl_ms: 3_600_000,
        }
    }
}

/// An attempt at an entry host that waits for the answer of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listener {
    /// The entry host.
    pub entry: Name,
    /// The number of the attempt at that entry host.
    pub attempt: u64,
}

/// The ledger's decision on a dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The run is to be started.
    Start,
    /// The key is running. The listener was added and is to receive the
    /// answer so far; the rest follows.
    Join {
        /// The answer so far.
        so_far: Vec<u8>,
    },
    /// The run has ended.
    Replay {
        /// The outcome of the run.
        code: Code,
        /// The complete answer, if it is still kept.
        answer: Option<Vec<u8>>,
    },
    /// The run is refused.
    Refuse(Code),
}

/// The end of a run, as reported to its listeners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// The listeners at the time the run ended.
    pub listeners: Vec<Listener>,
    /// The length of the answer in bytes.
    pub length_bytes: u64,
    /// The digest of the answer.
    pub digest: Digest,
}

#[derive(Debug)]
enum State {
    Running { listeners: Vec<Listener>, answer: Vec<u8> },
    Ended { code: Code, answer: Option<Vec<u8>> },
    Revoked,
}

#[derive(Debug)]
struct Run {
    state: State,
    expires_ms: u64,
    repeatable: bool,
}

/// A dispatch to be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The text of the run key.
    pub key: Name,
    /// The time at which the key expires.
    pub expires_ms: u64,
    /// Whether the request may safely run more than once.
    pub repeatable: bool,
    /// The attempt that waits for the answer.
    pub listener: Listener,
}

/// The state of each run key that an agent has received.
#[derive(Debug)]
pub struct Ledger {
    config: LedgerConfig,
    runs: BTreeMap<Name, Run>,
    kept_keys: VecDeque<Name>,
    kept_bytes: usize,
    running: usize,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(config: LedgerConfig) -> Ledger {
        Ledger {
            config,
            runs: BTreeMap::new(),
            kept_keys: VecDeque::new(),
            kept_bytes: 0,
            running: 0,
        }
    }

    /// Returns the number of runs in progress.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of run keys in the ledger.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether `key` is running.
    pub fn is_running(&self, key: &Name) -> bool {
        self.runs.get(key).is_some_and(Run::is_running)
    }

    /// Returns whether `key` is in the ledger: it has run, is running, or
    /// was refused or revoked.
    pub fn contains(&self, key: &Name) -> bool {
        self.runs.contains_key(key)
    }

    /// Returns whether the ledger holds no run keys.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Decides on a dispatch. `gate` is an error if the agent itself cannot
    /// accept a new key, because it is leaving, full or not ready; it does
    /// not apply to keys that are already in the ledger.
    pub fn admit(
        &mut self,
        candidate: Candidate,
        gate: Result<(), Code>,
        now_ms: u64,
    ) -> Admission {
        let Candidate { key, expires_ms, repeatable, listener } = candidate;
        if let Some(run) = self.runs.get_mut(&key) {
            return run.join(listener);
        }
        if expires_ms <= now_ms {
            return Admission::Refuse(Code::RunKeyExpired);
        }
        if expires_ms > now_ms + self.config.max_ttl_ms {
            return Admission::Refuse(Code::RunKeyInvalid);
        }
        if self.runs.len() >= self.config.max_runs {
            let code = self.record_refusal(key, expires_ms, Code::LedgerFull);
            return Admission::Refuse(code);
        }
        if let Err(code) = gate {
            return Admission::Refuse(
                self.record_refusal(key, expires_ms, code),
            );
        }
        let state =
            State::Running { listeners: vec![listener], answer: vec![] };
        self.runs.insert(key, Run { state, expires_ms, repeatable });
        self.running += 1;
        Admission::Start
    }

    /// Prevents a key that has not run from ever running. Returns the
    /// resulting state of the key: [`Code::Revoked`] if it will not run, and
    /// [`Code::Unknown`] if the ledger has no space to record that.
    pub fn revoke(
        &mut self,
        key: &Name,
        expires_ms: u64,
        now_ms: u64,
    ) -> Code {
        let code = self.lookup(key, expires_ms, now_ms).0;
        if code != Code::Revoked || self.runs.contains_key(key) {
            return code;
        }
        self.record_refusal(key.clone(), expires_ms, Code::Revoked)
    }

    /// Records a refusal and returns `code`. The same dispatch may arrive
    /// again, late or through another entry host, and must not run then.
    /// Returns [`Code::Unknown`] if the ledger has no space to record it,
    /// because "not run" could then turn out false.
    fn record_refusal(
        &mut self,
        key: Name,
        expires_ms: u64,
        code: Code,
    ) -> Code {
        if self.runs.len() >= 2 * self.config.max_runs {
            return Code::Unknown;
        }
        let state = State::Revoked;
        let run = Run { state, expires_ms, repeatable: false };
        self.runs.insert(key, run);
        code
    }

    /// Returns the state of a key, and the answer of an ended run if it is
    /// kept. A key that was never received yields [`Code::Revoked`] until it
    /// expires, although only [`Ledger::revoke`] ensures that it does not run
    /// later.
    pub fn lookup(
        &self,
        key: &Name,
        expires_ms: u64,
        now_ms: u64,
    ) -> (Code, Option<&[u8]>) {
        let Some(run) = self.runs.get(key) else {
            let is_expired = expires_ms <= now_ms;
            let code =
                if is_expired { Code::RunKeyExpired } else { Code::Revoked };
            return (code, None);
        };
        match &run.state {
            State::Running { .. } => (Code::Running, None),
            State::Ended { code: Code::Done, answer: None } => {
                (Code::AnswerGone, None)
            }
            State::Ended { code, answer } => (*code, answer.as_deref()),
            State::Revoked => (Code::Revoked, None),
        }
    }

    /// Appends a piece to the answer of a run in progress. Returns the offset
    /// of the piece in bytes and the listeners, or `None` if the key is not
    /// running.
    pub fn append_piece(
        &mut self,
        key: &Name,
        data: &[u8],
    ) -> Option<(u64, Vec<Listener>)> {
        let run = self.runs.get_mut(key)?;
        let State::Running { listeners, answer } = &mut run.state else {
            return None;
        };
        let offset = answer.len() as u64;
        answer.extend_from_slice(data);
        Some((offset, listeners.clone()))
    }

    /// Returns the answer so far of a running key, or the kept answer of one
    /// that has ended.
    pub fn answer_so_far(&self, key: &Name) -> Option<&[u8]> {
        match &self.runs.get(key)?.state {
            State::Running { answer, .. } => Some(answer),
            State::Ended { answer, .. } => answer.as_deref(),
            State::Revoked => None,
        }
    }

    /// Records the end of a run; returns `None` if the key is not running.
    /// The entry of a repeatable run is removed, since it may run again. The
    /// others stay, and their complete answers are kept while there is space.
    pub fn finish(&mut self, key: &Name, code: Code) -> Option<End> {
        let run = self.runs.get_mut(key)?;
        let State::Running { listeners, answer } = &mut run.state else {
            return None;
        };
        let end = End {
            listeners: std::mem::take(listeners),
            length_bytes: answer.len() as u64,
            digest: Digest::of(answer),
        };
        let answer = std::mem::take(answer);
        self.running -= 1;
        if run.repeatable {
            self.runs.remove(key);
            return Some(end);
        }
        let keep = code == Code::Done;
        run.state = State::Ended { code, answer: keep.then_some(answer) };
        if keep {
            self.kept_keys.push_back(key.clone());
            self.kept_bytes += end.length_bytes as usize;
            self.drop_old_answers();
        }
        Some(end)
    }

    /// Removes the listeners of an entry host that disconnected. Returns the
    /// repeatable runs that have no listeners left; other runs continue, so
    /// that a retry finds their answers.
    pub fn remove_entry_host(&mut self, entry: &str) -> Vec<Name> {
        let mut abandoned = vec![];
        for (key, run) in &mut self.runs {
            if let State::Running { listeners, .. } = &mut run.state {
                listeners.retain(|listener| *listener.entry != *entry);
                if listeners.is_empty() && run.repeatable {
                    abandoned.push(key.clone());
                }
            }
        }
        abandoned
    }

    /// Removes a listener. Returns the number of listeners left, or `None` if
    /// the key is not running.
    pub fn remove_listener(
        &mut self,
        key: &Name,
        removed: &Listener,
    ) -> Option<usize> {
        let run = self.runs.get_mut(key)?;
        let State::Running { listeners, .. } = &mut run.state else {
            return None;
        };
        listeners.retain(|listener| listener != removed);
        Some(listeners.len())
    }

    /// Removes expired keys, except those of runs in progress.
    pub fn expire(&mut self, now_ms: u64) {
        let mut freed_bytes = 0;
        self.runs.retain(|_, run| {
            let is_retained = run.expires_ms > now_ms || run.is_running();
            if !is_retained {
                freed_bytes += run.kept_bytes();
            }
            is_retained
        });
        self.kept_bytes -= freed_bytes;
        let runs = &self.runs;
        self.kept_keys.retain(|key| runs.contains_key(key));
    }

    fn drop_old_answers(&mut self) {
        while self.kept_bytes > self.config.max_answer_bytes {
            let Some(key) = self.kept_keys.pop_front() else { return };
            if let Some(run) = self.runs.get_mut(&key) {
                self.kept_bytes -= run.kept_bytes();
                if let State::Ended { answer, .. } = &mut run.state {
                    *answer = None;
                }
            }
        }
    }
}

impl Run {
    fn join(&mut self, listener: Listener) -> Admission {
        match &mut self.state {
            State::Running { listeners, answer } => {
                if !listeners.contains(&listener) {
                    listeners.push(listener);
                }
                Admission::Join { so_far: answer.clone() }
            }
            State::Ended { code, answer } => {
                Admission::Replay { code: *code, answer: answer.clone() }
            }
            State::Revoked => Admission::Refuse(Code::Revoked),
        }
    }

    fn is_running(&self) -> bool {
        matches!(self.state, State::Running { .. })
    }

    fn kept_bytes(&self) -> usize {
        match &self.state {
            State::Ended { answer: Some(answer), .. } => answer.len(),
            _ => 0,
        }
    }
}
