//! A small JSON reader and writer: the stand-ins use the standard library
//! only.

use std::fmt;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number, as it was written.
    Number(String),
    /// A string.
    Text(String),
    /// An array.
    Array(Vec<Value>),
    /// An object; the order of its fields is kept.
    Object(Vec<(String, Value)>),
}

impl Value {
    /// Parses a text; `None` if it is not JSON.
    pub fn parse(text: &str) -> Option<Value> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.skip_blanks();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Object(fields) => {
                fields.iter().find(|(n, _)| n == name).map(|(_, v)| v)
            }
            _ => None,
        }
    }

    /// Returns the text of a string.
    pub fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns a whole number.
    pub fn whole(&self) -> Option<u64> {
        match self {
            Value::Number(text) => text.parse().ok(),
            _ => None,
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Null => write!(f, "null"),
            Value::Bool(value) => write!(f, "{value}"),
            Value::Number(text) => write!(f, "{text}"),
            Value::Text(text) => write_text(f, text),
            Value::Array(items) => {
                write!(f, "[")?;
                for (place, item) in items.iter().enumerate() {
                    let comma = if place > 0 { "," } else { "" };
                    write!(f, "{comma}{item}")?;
                }
                write!(f, "]")
            }
            Value::Object(fields) => {
                write!(f, "{{")?;
                for (place, (name, value)) in fields.iter().enumerate() {
                    if place > 0 {
                        write!(f, ",")?;
                    }
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                write!(f, "}}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(f, "\"")?;
    for c in text.chars() {
        match c {
            '"' => write!(f, "\\\"")?,
            '\\' => write!(f, "\\\\")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    write!(f, "\"")
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_blanks(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    /// Consumes `token` if it comes next.
    fn take(&mut self, token: &str) -> bool {
        self.skip_blanks();
        let is_next = self.bytes[self.at..].starts_with(token.as_bytes());
        self.at += if is_next { token.len() } else { 0 };
        is_next
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_blanks();
        match *self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.array(),
            b'"' => self.string().map(Value::Text),
            b't' => self.take("true").then_some(Value::Bool(true)),
            b'f' => self.take("false").then_some(Value::Bool(false)),
            b'n' => self.take("null").then_some(Value::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Value> {
        let mut fields = Vec::new();
        self.take("{");
        while !self.take("}") {
            if !fields.is_empty() && !self.take(",") {
                return None;
            }
            self.skip_blanks();
            let name = self.string()?;
            if !self.take(":") {
                return None;
            }
            fields.push((name, self.value()?));
        }
        Some(Value::Object(fields))
    }

    fn array(&mut self) -> Option<Value> {
        let mut items = Vec::new();
        self.take("[");
        while !self.take("]") {
            if !items.is_empty() && !self.take(",") {
                return None;
            }
            items.push(self.value()?);
        }
        Some(Value::Array(items))
    }

    fn string(&mut self) -> Option<String> {
        if *self.bytes.get(self.at)? != b'"' {
            return None;
        }
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let c = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let hex = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let hex = std::str::from_utf8(hex).ok()?;
                            let code = u32::from_str_radix(hex, 16).ok()?;
                            char::from_u32(code)?
                        }
                        other => other as char,
                    };
                    let mut buffer = [0; 4];
                    text.extend(c.encode_utf8(&mut buffer).bytes());
                }
                byte => text.push(byte),
            }
        }
    }

    fn number(&mut self) -> Option<Value> {
        let is_part = |b: &u8| b"+-.eE0123456789".contains(b);
        let rest = &self.bytes[self.at..];
        let length = rest.iter().take_while(|b| is_part(b)).count();
        let text = std::str::from_utf8(&rest[..length]).ok()?;
        text.parse::<f64>().ok()?;
        self.at += length;
        Some(Value::Number(text.to_string()))
    }
}
