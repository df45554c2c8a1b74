//! Numbered result codes for callers and operators.
//!
//! `docs/CODES.md` holds the same table; a test checks that they are equal.

use std::fmt;

/// Whether a request ran, as far as the process that reports the code can
/// prove.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// The request did not run and will not run in this attempt.
    NotRun,
    /// The request ran.
    Ran,
    /// It may or may not have run.
    Unknown,
    /// The code is not about a request.
    NotApplicable,
}

impl Ran {
    /// Returns the value as responses spell it.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::NotRun => "not run",
            Ran::Ran => "ran",
            Ran::Unknown => "unknown",
            Ran::NotApplicable => "none",
        }
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $http:literal, $ran:ident, $text:literal;)*) => {
        /// A result code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[repr(u32)]
        pub enum Code {
            $(#[doc = $text] $name = $number,)*
        }

        impl Code {
            /// All codes, ordered by number.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// Returns the HTTP status for the code.
            pub fn http_status(self) -> u16 {
                match self { $(Code::$name => $http,)* }
            }

            /// Returns whether a request with this code ran.
            pub fn ran(self) -> Ran {
                match self { $(Code::$name => Ran::$ran,)* }
            }

            /// Returns the description of the code, one line.
            pub fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }

            /// Returns the code with this number; `None` if there is none.
            pub fn from_number(number: u32) -> Option<Code> {
                match number { $($number => Some(Code::$name),)* _ => None }
            }
        }
    };
}

codes! {
    Done = 1000, 200, Ran, "done; the answer is whole";
    Accepted = 1001, 200, NotApplicable, "accepted";
    Running = 1002, 202, Ran, "the request is running";
    Malformed = 2000, 400, NotRun, "the request is malformed";
    TooLarge = 2001, 413, NotRun, "the request's body is too large";
    Unauthorised = 2002, 401, NotApplicable, "the key is missing or wrong";
    NotFound = 2003, 404, NotRun, "no such organisation, model or page for this key";
    RunKeyInvalid = 2004, 400, NotRun, "the run key was not issued by this system to this organisation";
    RunKeyExpired = 2005, 410, Unknown, "the run key's time is over; what it did is no longer known";
    BodyLate = 2006, 408, NotRun, "the request's body did not come in time";
    HeadTooLarge = 2007, 431, NotRun, "the request's head is too large";
    RequestLimit = 3000, 429, NotRun, "the organisation's request limit is reached";
    ConcurrencyLimit = 3001, 429, NotRun, "the organisation's concurrency limit is reached";
    DeadlineHopeless = 3002, 503, NotRun, "the answer cannot be had before the deadline";
    QueueFull = 3003, 503, NotRun, "the queue for this class is full";
    NoTarget = 3004, 503, NotRun, "no target serves this model now";
    TargetBusy = 3005, 503, NotRun, "the target has no room";
    TargetLeaving = 3006, 503, NotRun, "the target is leaving and took no new work";
    Leaving = 3007, 307, NotApplicable, "this entry host is leaving; ask another";
    Revoked = 3008, 409, NotRun, "the run key was revoked before it ran and will never run";
    LedgerFull = 3009, 503, NotRun, "the target's ledger of run keys is full";
    HostLeaving = 3010, 503, NotRun, "this entry host is about to stop; ask another";
    TargetRefused = 3011, 502, NotRun, "the target refused before it started";
    Quarantined = 3012, 503, NotRun, "requests like this one ended the targets that ran them; this try was sent to none";
    NoAllowedTarget = 3013, 503, NotRun, "no target that this request may use takes requests now";
    PartQuarantined = 3014, 503, NotRun, "requests with a part of this prompt ended the targets that ran them; this try was sent to none";
    BodyMemoryFull = 3015, 503, NotRun, "this entry host has no memory left for the request's body; it was sent to no target";
    Unknown = 4000, 504, Unknown, "the outcome is unknown; ask again with the run key";
    Cut = 4001, 502, Unknown, "the answer was cut; what was sent is not whole";
    Cancelled = 4002, 499, Unknown, "cancelled; the request may have run in part";
    AnswerGone = 4003, 410, Ran, "the request ran; its answer is no longer kept";
    DeadlinePassed = 4004, 504, Unknown, "the deadline passed while the request was with a target";
    HeldKeyRefused = 4005, 503, Unknown, "this try was refused; what earlier tries under the run key did is not known here";
    SettingsInvalid = 5000, 422, NotApplicable, "the settings do not check";
    SettingsConflict = 5001, 409, NotApplicable, "the settings changed meanwhile";
    SettingsTooLarge = 5002, 413, NotApplicable, "the settings exceed the platform's limit on a value";
    PlatformDown = 5003, 503, NotApplicable, "the platform does not answer; nothing was written";
    WriteUnsettled = 5004, 503, NotApplicable, "the platform does not say whether the write took effect";
    Forbidden = 5005, 403, NotApplicable, "the operator's role does not reach this";
    ForeignCluster = 6000, 403, NotApplicable, "the peer does not hold this cluster's key";
    ProtocolVersion = 6001, 400, NotApplicable, "the peer speaks another protocol version";
    BadFrame = 6002, 400, NotApplicable, "the frame is malformed or out of place";
    ManifestMismatch = 6003, 422, NotApplicable, "the manifest does not match its digest";
    ConfigInvalid = 7000, 500, NotApplicable, "the process's settings file does not check";
}

impl Code {
    /// Returns the code's number.
    pub fn number(self) -> u32 {
        self as u32
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.number(), self.text())
    }
}
