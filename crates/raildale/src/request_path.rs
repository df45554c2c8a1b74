//! Paths of requests, in which what others have named is encoded.

use std::fmt::{self, Display};

use percent_encoding::{
    AsciiSet, CONTROLS, NON_ALPHANUMERIC, percent_decode_str,
    utf8_percent_encode,
};

/// The bytes of a name that are encoded: all but the unreserved ones, which
/// mean the same either way (RFC 3986, 2.3).
const RESERVED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// The bytes that cannot be sent in a path with a query.
const NOT_SENT: &AsciiSet = &CONTROLS
    .add(b' ')
    .add(b'"')
    .add(b'#')
    .add(b'<')
    .add(b'>')
    .add(b'\\')
    .add(b'^')
    .add(b'`')
    .add(b'{')
    .add(b'|')
    .add(b'}');

/// The path of a request, with its query.
///
/// Only literals are taken as they are, so that no name can be read as
/// anything but that name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestPath {
    text: String,
    has_query: bool,
}

impl RequestPath {
    /// Creates a path without names.
    pub fn new(path: &'static str) -> RequestPath {
        RequestPath { text: path.to_string(), has_query: false }
    }

    /// Creates the path that an operator has configured. It may have escapes
    /// and a query; what cannot be sent is encoded.
    pub fn from_configured(path: &str) -> RequestPath {
        let path = path.trim_start_matches('/');
        let text = format!("/{}", utf8_percent_encode(path, NOT_SENT));
        RequestPath { has_query: text.contains('?'), text }
    }

    /// Appends a segment.
    pub fn with_segment(mut self, name: &str) -> RequestPath {
        debug_assert!(!self.has_query, "the query follows the path");
        self.text.push('/');
        self.text.extend(utf8_percent_encode(name, RESERVED));
        self
    }

    /// Appends the segments of a name that consists of names with slashes
    /// between them.
    pub fn with_segments(self, names: &str) -> RequestPath {
        names.split('/').fold(self, RequestPath::with_segment)
    }

    /// Appends a parameter to the query.
    pub fn with_query(
        mut self,
        key: &'static str,
        value: impl Display,
    ) -> RequestPath {
        self.text.push(if self.has_query { '&' } else { '?' });
        self.has_query = true;
        self.text.push_str(key);
        self.text.push('=');
        let value = value.to_string();
        self.text.extend(utf8_percent_encode(&value, RESERVED));
        self
    }

    /// Returns the text that is sent.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl Display for RequestPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// Returns the decoded value of a parameter of a query; `None` if it is
/// missing.
pub fn query_value(query: &str, key: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(found, _)| *found == key)?;
    Some(percent_decode_str(value).decode_utf8_lossy().into_owned())
}
