//! The library's one error type.

use std::fmt;

use displaydoc::Display;
use raildale_core::Code;

/// An error of the library: opaque, with a [`ErrorKind`] and a [`Code`].
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
    detail: String,
}

/// What went wrong.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ErrorKind {
    /// the settings file does not check
    Config,
    /// the settings do not check
    Settings,
    /// the peer was refused
    Handshake,
    /// the frame is malformed
    Frame,
    /// the peer speaks another protocol version
    Version,
    /// the platform does not answer
    Platform,
    /// the origin does not answer
    Origin,
    /// the target does not answer
    Target,
    /// the operating system refused
    Io,
    /// the entry host refused
    Refused(
        /// With this code.
        Code,
    ),
}

impl Error {
    /// An error of `kind` with words that hold no secret.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Error {
        Error { kind, detail: detail.into() }
    }

    /// What went wrong.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// The words that go with it.
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// The number that scripts may rely on.
    pub fn code(&self) -> Code {
        match self.kind {
            ErrorKind::Config | ErrorKind::Io => Code::ConfigInvalid,
            ErrorKind::Settings => Code::SettingsInvalid,
            ErrorKind::Handshake => Code::ForeignCluster,
            ErrorKind::Frame => Code::BadFrame,
            ErrorKind::Version => Code::ProtocolVersion,
            ErrorKind::Platform => Code::PlatformDown,
            ErrorKind::Origin => Code::ManifestMismatch,
            ErrorKind::Target => Code::TargetRefused,
            ErrorKind::Refused(code) => code,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.code().number(), self.kind, self.detail)
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Error {
        Error::new(ErrorKind::Io, error.to_string())
    }
}
