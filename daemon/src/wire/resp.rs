//! RESP arrays of bulk strings, the protocol of pop caches.

use super::lines::{take_line, LineEnds};
use super::{Parser, WireError};

/// The maximum number of strings in an array.
const MAX_ITEMS: usize = 8;
/// The maximum length of a line that states the length of an array or string.
const MAX_LINE: usize = 32;

/// Parses arrays of bulk strings.
pub struct ArrayParser {
    max_string: usize,
    line: Vec<u8>,
    /// The number of strings still to parse, including the current one; `None` between arrays.
    remaining: Option<usize>,
    /// The length of the current string.
    length: Option<usize>,
    items: Vec<Vec<u8>>,
    item: Vec<u8>,
}

impl ArrayParser {
    /// Creates a parser for strings of up to `max_string` bytes.
    pub fn new(max_string: usize) -> Self {
        ArrayParser {
            max_string,
            line: Vec::new(),
            remaining: None,
            length: None,
            items: Vec::new(),
            item: Vec::new(),
        }
    }

    /// Whether part of an array has been received.
    pub fn is_partial(&self) -> bool {
        self.remaining.is_some() || !self.line.is_empty()
    }

    /// Parses the number that follows the type byte in the line.
    fn number(
        &mut self,
        type_byte: u8,
        max: usize,
        what: &'static str,
    ) -> Result<usize, WireError> {
        let line = std::mem::take(&mut self.line);
        let digits = line
            .strip_prefix(&[type_byte])
            .filter(|d| d.iter().all(u8::is_ascii_digit));
        let number = digits.and_then(|d| std::str::from_utf8(d).ok()?.parse().ok());
        let number = number.ok_or(WireError::Malformed(what))?;
        // The length comes from the peer, so it is checked before memory is allocated.
        if number > max {
            return Err(WireError::TooLong(what));
        }
        Ok(number)
    }
}

impl Parser for ArrayParser {
    type Item = Vec<Vec<u8>>;

    fn parse(&mut self, input: &[u8]) -> Result<(usize, Option<Self::Item>), WireError> {
        let mut at = 0;
        loop {
            if self.remaining == Some(0) {
                self.remaining = None;
                return Ok((at, Some(std::mem::take(&mut self.items))));
            }
            if at == input.len() {
                return Ok((at, None));
            }
            let Some(length) = self.length else {
                let (taken, is_complete) =
                    take_line(&input[at..], &mut self.line, MAX_LINE, LineEnds::CrLf)?;
                at += taken;
                if is_complete && self.remaining.is_none() {
                    self.remaining = Some(self.number(b'*', MAX_ITEMS, "a RESP array")?);
                } else if is_complete {
                    self.length = Some(self.number(b'$', self.max_string, "a RESP string")?);
                }
                continue;
            };
            // The string and its line end.
            let needed = length + 2 - self.item.len();
            let taken = needed.min(input.len() - at);
            self.item.extend_from_slice(&input[at..at + taken]);
            at += taken;
            if taken == needed {
                if !self.item.ends_with(b"\r\n") {
                    return Err(WireError::Malformed("the end of a RESP string"));
                }
                self.item.truncate(length);
                self.items.push(std::mem::take(&mut self.item));
                self.length = None;
                self.remaining = self.remaining.map(|n| n - 1);
            }
        }
    }
}

/// Writes an array of bulk strings.
pub fn write_array(out: &mut Vec<u8>, items: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", items.len()).as_bytes());
    for item in items {
        out.extend_from_slice(format!("${}\r\n", item.len()).as_bytes());
        out.extend_from_slice(item);
        out.extend_from_slice(b"\r\n");
    }
}

/// Returns the value with this name in a list of the form `name=value,name=value`.
pub fn field<'a>(fields: &'a [u8], name: &str) -> Option<&'a str> {
    let fields = std::str::from_utf8(fields).ok()?;
    fields.split(',').find_map(|f| {
        f.split_once('=')
            .filter(|(n, _)| *n == name)
            .map(|(_, value)| value)
    })
}
