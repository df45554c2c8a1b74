//! Finds the fields of a JSON object without decoding their values.

/// Returns the text of a top-level field's value.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let mut at = object.find('{')? + 1;
    loop {
        at = skip_space(bytes, at);
        if *bytes.get(at)? != b'"' {
            return None;
        }
        let key_end = skip_value(bytes, at)?;
        let key = &object[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        at = skip_space(bytes, at + 1);
        let end = skip_value(bytes, at)?;
        if key == name {
            return Some(object[at..end].trim());
        }
        at = skip_space(bytes, end);
        if *bytes.get(at)? != b',' {
            return None;
        }
        at += 1;
    }
}

/// Returns the text of a field that is a string without escapes.
pub fn text<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    field(object, name)?.strip_prefix('"')?.strip_suffix('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns where the value that begins at `at` ends.
fn skip_value(bytes: &[u8], at: usize) -> Option<usize> {
    let (mut depth, mut is_text, mut end) = (0, false, at);
    loop {
        let byte = *bytes.get(end)?;
        match (is_text, byte) {
            (true, b'\\') => end += 1,
            (true, b'"') => is_text = false,
            (true, _) => {}
            (false, b'"') => is_text = true,
            (false, b'{' | b'[') => depth += 1,
            (false, b'}' | b']') if depth == 0 => return Some(end),
            (false, b'}' | b']') => depth -= 1,
            (false, b',') if depth == 0 => return Some(end),
            (false, _) => {}
        }
        end += 1;
        if depth == 0 && !is_text && matches!(byte, b'"' | b'}' | b']') {
            return Some(end);
        }
    }
}
