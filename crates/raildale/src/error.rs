//! The error type of the library.

use std::fmt;

use displaydoc::Display;
use raildale_core::Code;

/// An error of the library, with an [`ErrorKind`] and a [`Code`].
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
    detail: String,
}

/// The kind of an error.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ErrorKind {
    /// the settings file is invalid
    Config,
    /// the settings are invalid
    Settings,
    /// the handshake failed
    Handshake,
    /// the frame is malformed
    Frame,
    /// the protocol version is not supported
    Version,
    /// the platform does not answer
    Platform,
    /// the origin does not answer
    Origin,
    /// the target does not answer
    Target,
    /// input or output failed
    Io,
    /// the entry host refused the request
    Refused(
        /// The code of the refusal.
        Code,
    ),
}

impl Error {
    /// Creates an error. `detail` must not contain secrets.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Error {
        Error { kind, detail: detail.into() }
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the detail message.
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// Returns the error's code, whose number is stable for scripts.
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
