//! RESP arrays of bulk strings, as pop caches speak them.

use super::{take_line, Parser, WireError};

/// The greatest number of strings in an array.
const MAX_ITEMS: usize = 8;
/// The greatest length of the line with a length.
const MAX_LINE: usize = 32;

/// Reads arrays of bulk strings.
pub struct ArrayParser {
    max_string: usize,
    line: Vec<u8>,
    /// How many strings of the array are still to come, the one being read included; none: no array has begun.
    missing: Option<usize>,
    /// Length of the string being read.
    length: Option<usize>,
    items: Vec<Vec<u8>>,
    item: Vec<u8>,
}

impl ArrayParser {
    /// A reader that takes strings of so many bytes at most.
    pub fn new(max_string: usize) -> Self {
        ArrayParser {
            max_string,
            line: Vec::new(),
            missing: None,
            length: None,
            items: Vec::new(),
            item: Vec::new(),
        }
    }

    /// Whether an array has arrived in part.
    pub fn is_partial(&self) -> bool {
        self.missing.is_some() || !self.line.is_empty()
    }

    /// Reads the line as a number behind this first byte.
    fn number(&mut self, mark: u8, max: usize, what: &'static str) -> Result<usize, WireError> {
        let line = std::mem::take(&mut self.line);
        let digits = line
            .strip_prefix(&[mark])
            .filter(|d| d.iter().all(u8::is_ascii_digit));
        let number = digits.and_then(|d| std::str::from_utf8(d).ok()?.parse().ok());
        let number = number.ok_or(WireError::Malformed(what))?;
        // Checked before anything is taken for it: a peer names any length it likes.
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
            if self.missing == Some(0) {
                self.missing = None;
                return Ok((at, Some(std::mem::take(&mut self.items))));
            }
            if at == input.len() {
                return Ok((at, None));
            }
            let Some(length) = self.length else {
                let (taken, is_complete) = take_line(&input[at..], &mut self.line, MAX_LINE)?;
                at += taken;
                if is_complete && self.missing.is_none() {
                    self.missing = Some(self.number(b'*', MAX_ITEMS, "a RESP array")?);
                } else if is_complete {
                    self.length = Some(self.number(b'$', self.max_string, "a RESP string")?);
                }
                continue;
            };
            // The string and the line end behind it.
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
                self.missing = self.missing.map(|n| n - 1);
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

/// The value of a name in a list `name=value,name=value`.
pub fn field<'a>(fields: &'a [u8], name: &str) -> Option<&'a str> {
    let fields = std::str::from_utf8(fields).ok()?;
    fields.split(',').find_map(|f| {
        f.split_once('=')
            .filter(|(n, _)| *n == name)
            .map(|(_, value)| value)
    })
}
