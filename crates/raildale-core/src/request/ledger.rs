//! The agent's ledger of run keys: a key starts at most once.
//!
//! An entry stays until its key's time is over, so a key that the ledger
//! accepts can never have been forgotten by it. Answers are kept in bounded
//! memory and may be dropped sooner; the fact that the key ran is not.

use std::collections::{BTreeMap, VecDeque};

use crate::{Code, Digest, Name};

/// Bounds of a ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerConfig {
    /// Run keys at most; beyond it new ones are refused as not run, and as
    /// many more are kept to make such refusals true.
    pub max_runs: usize,
    /// Bytes of kept answers at most.
    pub max_answer_bytes: usize,
    /// A key whose time ends later than this from now is refused, which
    /// bounds how long an entry has to stay.
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

/// Who waits for a run's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listener {
    /// The entry host.
    pub entry: Name,
    /// Its attempt's number.
    pub attempt: u64,
}

/// What the ledger says to a dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Start the run.
    Start,
    /// It runs already; send what there is so far, then the rest.
    Join {
        /// The answer so far.
        so_far: Vec<u8>,
    },
    /// It ended; here is the answer.
    Replay {
        /// How it ended.
        code: Code,
        /// The whole answer, if it is still kept.
        answer: Option<Vec<u8>>,
    },
    /// It will not run.
    Refuse(Code),
}

/// How a run ended, for those who listened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// Who listened.
    pub listeners: Vec<Listener>,
    /// The answer's length.
    pub length_bytes: u64,
    /// The answer's digest.
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

/// A dispatch as the ledger weighs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The run key's text.
    pub key: Name,
    /// When the key's time is over.
    pub expires_ms: u64,
    /// Whether the request may run twice.
    pub repeatable: bool,
    /// Who waits for the answer.
    pub listener: Listener,
}

/// What is known of each run key.
#[derive(Debug)]
pub struct Ledger {
    config: LedgerConfig,
    runs: BTreeMap<Name, Run>,
    kept: VecDeque<Name>,
    kept_bytes: usize,
    running: usize,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(config: LedgerConfig) -> Ledger {
        Ledger {
            config,
            runs: BTreeMap::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            running: 0,
        }
    }

    /// Runs in progress.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Run keys held.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether `key` runs now.
    pub fn is_running(&self, key: &Name) -> bool {
        self.runs.get(key).is_some_and(Run::is_running)
    }

    /// Whether `key` is in the ledger: it ran, runs, or is barred.
    pub fn contains(&self, key: &Name) -> bool {
        self.runs.contains_key(key)
    }

    /// Whether no run key is held.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Decides on a dispatch. `gate` refuses a key that has not run yet, for
    /// a reason of the agent's own: leaving, no room, not ready.
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
            let code = self.bar(key, expires_ms, Code::LedgerFull);
            return Admission::Refuse(code);
        }
        if let Err(code) = gate {
            return Admission::Refuse(self.bar(key, expires_ms, code));
        }
        let state =
            State::Running { listeners: vec![listener], answer: vec![] };
        self.runs.insert(key, Run { state, expires_ms, repeatable });
        self.running += 1;
        Admission::Start
    }

    /// Bars a key that has not run from ever running; says what is known.
    pub fn revoke(
        &mut self,
        key: &Name,
        expires_ms: u64,
        now_ms: u64,
    ) -> Code {
        let known = self.lookup(key, expires_ms, now_ms).0;
        if known != Code::Revoked || self.runs.contains_key(key) {
            return known;
        }
        self.bar(key.clone(), expires_ms, Code::Revoked)
    }

    /// Makes a refusal true for good: the same dispatch may come once more,
    /// late or through another entry host, and must not run then. Without a
    /// place to remember it, "not run" would be a promise that nobody keeps.
    fn bar(&mut self, key: Name, expires_ms: u64, code: Code) -> Code {
        if self.runs.len() >= 2 * self.config.max_runs {
            return Code::Unknown;
        }
        let state = State::Revoked;
        let run = Run { state, expires_ms, repeatable: false };
        self.runs.insert(key, run);
        code
    }

    /// What is known of a key. [`Code::Revoked`] for a key that never came:
    /// it says "not run" and is made true by [`Ledger::revoke`] alone.
    pub fn lookup(
        &self,
        key: &Name,
        expires_ms: u64,
        now_ms: u64,
    ) -> (Code, Option<&[u8]>) {
        let Some(run) = self.runs.get(key) else {
            let is_past = expires_ms <= now_ms;
            let code =
                if is_past { Code::RunKeyExpired } else { Code::Revoked };
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

    /// Adds a piece to a running answer; returns its offset and who listens.
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

    /// The answer so far of a running key.
    pub fn answer_so_far(&self, key: &Name) -> Option<&[u8]> {
        match &self.runs.get(key)?.state {
            State::Running { answer, .. } => Some(answer),
            State::Ended { answer, .. } => answer.as_deref(),
            State::Revoked => None,
        }
    }

    /// A run ended. A repeatable one is forgotten, since it may run again;
    /// the others stay, and their whole answers are kept for a while.
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
            self.kept.push_back(key.clone());
            self.kept_bytes += end.length_bytes as usize;
            self.drop_old_answers();
        }
        Some(end)
    }

    /// An entry host is gone. Returns the repeatable runs that nobody waits
    /// for now; the others go on, so that a retry finds their answers.
    pub fn remove_entry_host(&mut self, entry: &str) -> Vec<Name> {
        let mut idle = vec![];
        for (key, run) in &mut self.runs {
            if let State::Running { listeners, .. } = &mut run.state {
                listeners.retain(|listener| *listener.entry != *entry);
                if listeners.is_empty() && run.repeatable {
                    idle.push(key.clone());
                }
            }
        }
        idle
    }

    /// Forgets a listener; returns how many are left, if the key runs.
    pub fn remove_listener(
        &mut self,
        key: &Name,
        gone: &Listener,
    ) -> Option<usize> {
        let run = self.runs.get_mut(key)?;
        let State::Running { listeners, .. } = &mut run.state else {
            return None;
        };
        listeners.retain(|listener| listener != gone);
        Some(listeners.len())
    }

    /// Forgets keys whose time is over. A run in progress stays.
    pub fn expire(&mut self, now_ms: u64) {
        let mut freed_bytes = 0;
        self.runs.retain(|_, run| {
            let stays = run.expires_ms > now_ms || run.is_running();
            if !stays {
                freed_bytes += run.kept_bytes();
            }
            stays
        });
        self.kept_bytes -= freed_bytes;
        let runs = &self.runs;
        self.kept.retain(|key| runs.contains_key(key));
    }

    fn drop_old_answers(&mut self) {
        while self.kept_bytes > self.config.max_answer_bytes {
            let Some(key) = self.kept.pop_front() else { return };
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
