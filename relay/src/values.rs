//! JSON values as they come on a stream, one behind the other, on one line or many, in pieces of any size.
//! Nothing here reads a socket or knows what a value means.

use thiserror::Error;

/// What comes next on the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// One whole object or list.
    Value(Vec<u8>),
    /// A line's end between values: the sender is alive.
    BlankLine,
}

/// Why a stream can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ValuesError {
    /// A byte between two values is no white space.
    #[error("the list is not JSON: a value begins with neither {{ nor [")]
    NotJson,
    /// A value has more bytes than this limit.
    #[error("a value of the list is over {0} bytes")]
    TooLarge(usize),
}

/// Collects the bytes of the next value, and reads each of them once.
#[derive(Default)]
pub struct Values {
    bytes: Vec<u8>,
    /// How many of them were read.
    parsed: usize,
    /// How many brackets are open; 0 between values.
    depth: usize,
    /// Inside of a string.
    in_string: bool,
    /// Behind a backslash in a string.
    escaped: bool,
}

impl Values {
    /// Appends bytes as they came.
    pub fn add(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next part; `None` where it is not complete yet.
    ///
    /// # Errors
    /// A byte between values is no white space, or a value has more bytes than `max_bytes`: the stream can't
    /// be read any further.
    pub fn next(&mut self, max_bytes: usize) -> Result<Option<Part>, ValuesError> {
        while let Some(&byte) = self.bytes.get(self.parsed) {
            self.parsed += 1;
            let was = self.depth;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' if was > 0 => self.in_string = !self.in_string,
                _ if self.in_string => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' if was > 0 => self.depth -= 1,
                b'\n' if was == 0 => {
                    self.take();
                    return Ok(Some(Part::BlankLine));
                }
                _ if was == 0 && !byte.is_ascii_whitespace() => {
                    return Err(ValuesError::NotJson);
                }
                _ => {}
            }
            match (was, self.depth) {
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
        std::iter::from_fn(|| values.next(64).expect("it is sound")).collect()
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
    fn every_cut_and_single_bytes_give_what_the_whole_gives() {
        for cut in 0..=TEXT.len() {
            let (mut values, mut got) = (Values::default(), Vec::new());
            for part in [&TEXT[..cut], &TEXT[cut..]] {
                values.add(part.as_bytes());
                got.extend(all(&mut values));
            }
            assert_eq!(got, expected(), "cut at {cut}");
        }
        let (mut values, mut got) = (Values::default(), Vec::new());
        for byte in TEXT.bytes() {
            values.add(&[byte]);
            got.extend(all(&mut values));
        }
        assert_eq!(got, expected());
    }

    #[test]
    fn a_value_without_end_and_words_between_values_end_the_stream() {
        let mut values = Values::default();
        values.add(b"{\"a\":\"0123456789");
        assert_eq!(values.next(64), Ok(None));
        assert!(values.next(64).is_ok());
        values.add(&[b'x'; 64]);
        assert!(values.next(64).is_err());
        for odd in ["ok", "1", "}", "\"a\"", "{} x"] {
            let mut values = Values::default();
            values.add(odd.as_bytes());
            let results: Vec<_> = (0..3).map(|_| values.next(64)).collect();
            assert!(results.iter().any(Result::is_err), "{odd}: {results:?}");
        }
    }
}
