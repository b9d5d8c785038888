//! Splits a stream of JSON values into single values. Each value may span one line or several, and the bytes
//! may arrive in pieces of any size. Nothing here reads a socket or interprets a value.

use thiserror::Error;

/// One part of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// One complete object or list.
    Value(Vec<u8>),
    /// A line end between values. It shows that the sender is alive.
    BlankLine,
}

/// Why the stream can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ValuesError {
    /// A byte between two values is not white space.
    #[error("the endpoint list is not JSON: a value begins with neither {{ nor [")]
    NotJson,
    /// A value has more bytes than this limit.
    #[error("a value of the list is larger than {0} bytes")]
    TooLarge(usize),
}

/// Collects the bytes of the next value, and parses each of them only once.
#[derive(Default)]
pub struct Values {
    bytes: Vec<u8>,
    /// Number of bytes that were parsed.
    parsed: usize,
    /// Number of open brackets; 0 between values.
    depth: usize,
    /// Whether the next byte is inside a string.
    in_string: bool,
    /// Whether the next byte follows a backslash in a string.
    escaped: bool,
}

impl Values {
    /// Appends the next bytes of the stream.
    pub fn add(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next part; `None` if it is not complete yet.
    ///
    /// # Errors A byte between values is not white space, or a value has more bytes than `max_bytes`. The
    /// stream can't be read any further.
    pub fn next(&mut self, max_bytes: usize) -> Result<Option<Part>, ValuesError> {
        while let Some(&byte) = self.bytes.get(self.parsed) {
            self.parsed += 1;
            let depth_before = self.depth;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' if depth_before > 0 => self.in_string = !self.in_string,
                _ if self.in_string => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' if depth_before > 0 => self.depth -= 1,
                b'\n' if depth_before == 0 => {
                    self.take();
                    return Ok(Some(Part::BlankLine));
                }
                _ if depth_before == 0 && !byte.is_ascii_whitespace() => {
                    return Err(ValuesError::NotJson);
                }
                _ => {}
            }
            match (depth_before, self.depth) {
                (0, 0) => _ = self.take(),
                (1, 0) => return Ok(Some(Part::Value(self.take()))),
                _ if self.parsed > max_bytes => return Err(ValuesError::TooLarge(max_bytes)),
                _ => {}
            }
        }
        Ok(None)
    }

    fn take(&mut self) -> Vec<u8> {
        let rest = self.bytes.split_off(self.parsed);
        self.parsed = 0;
        std::mem::replace(&mut self.bytes, rest)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str = "{\"a\":[1,{\"b\":\"}]{[\\\"\\\\\"}]}\n\n  {\n  \"c\": [\n  ]\n}\r\n[2]{}\n";

    fn all(values: &mut Values) -> Vec<Part> {
        std::iter::from_fn(|| values.next(64).expect("the text is valid JSON")).collect()
    }

    fn expected() -> Vec<Part> {
        let value = |text: &str| Part::Value(text.as_bytes().to_vec());
        vec![
            value("{\"a\":[1,{\"b\":\"}]{[\\\"\\\\\"}]}"),
            Part::BlankLine,
            Part::BlankLine,
            value("{\n  \"c\": [\n  ]\n}"),
            Part::BlankLine,
            value("[2]"),
            value("{}"),
            Part::BlankLine,
        ]
    }

    #[test]
    fn pieces_of_any_size_give_the_same_parts() {
        for cut in 0..=TEXT.len() {
            let (mut values, mut parts) = (Values::default(), Vec::new());
            for piece in [&TEXT[..cut], &TEXT[cut..]] {
                values.add(piece.as_bytes());
                parts.extend(all(&mut values));
            }
            assert_eq!(parts, expected(), "cut at {cut}");
        }
        let (mut values, mut parts) = (Values::default(), Vec::new());
        for byte in TEXT.bytes() {
            values.add(&[byte]);
            parts.extend(all(&mut values));
        }
        assert_eq!(parts, expected());
    }

    #[test]
    fn oversized_value_and_text_between_values_are_errors() {
        let mut values = Values::default();
        values.add(b"{\"a\":\"0123456789");
        assert_eq!(values.next(64), Ok(None));
        assert_eq!(values.next(64), Ok(None));
        values.add(&[b'x'; 64]);
        assert_eq!(values.next(64), Err(ValuesError::TooLarge(64)));
        for text in ["ok", "1", "}", "\"a\"", "{} x"] {
            let mut values = Values::default();
            values.add(text.as_bytes());
            let results: Vec<_> = (0..3).map(|_| values.next(64)).collect();
            assert!(results.iter().any(Result::is_err), "{text}: {results:?}");
        }
    }
}
