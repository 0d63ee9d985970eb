//! Finds values in JSON texts. The texts are kept as they were written.

/// The text of the value of `key` in the object `text`.
pub fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_blanks(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_blanks(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let name_end = value_end(bytes, at)?;
        let name = &text[at + 1..name_end - 1];
        at = skip_blanks(bytes, name_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_blanks(bytes, at + 1);
        let end = value_end(bytes, at)?;
        if name == key {
            return Some(&text[at..end]);
        }
        at = skip_blanks(bytes, end);
        if bytes.get(at) == Some(&b',') {
            at = skip_blanks(bytes, at + 1);
        }
    }
    None
}

/// The text of a string field without its quotes.
pub fn string_field(text: &str, key: &str) -> Option<String> {
    Some(field(text, key)?.trim_matches('"').to_owned())
}

/// A whole number in a field.
pub fn number_field(text: &str, key: &str) -> Option<u64> {
    field(text, key)?.parse().ok()
}

fn skip_blanks(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// The index after the value that begins at `at`.
fn value_end(bytes: &[u8], mut at: usize) -> Option<usize> {
    let mut depth = 0;
    loop {
        match bytes.get(at)? {
            b'"' => {
                at += 1;
                while *bytes.get(at)? != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
            }
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' => {
                depth -= 1;
                at += 1;
            }
            b',' | b':' if depth > 0 => at += 1,
            byte if byte.is_ascii_whitespace() => at += 1,
            _ => {
                while bytes.get(at).is_some_and(|byte| !b",:]} \n\r\t".contains(byte)) {
                    at += 1;
                }
            }
        }
        if depth == 0 {
            return Some(at);
        }
    }
}
