//! Incrementally splits a JSON list into its elements.

use crate::error::ListError;

/// Maximum length of an element. An instance with its checks usually has a few KB.
const MAX_ELEMENT_BYTES: usize = 1 << 20;

/// Splits a JSON list into its elements as its bytes arrive, so that a long response is parsed in small steps and not
/// buffered completely. The splitter tracks only strings and nesting; whether an element is valid JSON is checked when
/// it is parsed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListSplitter {
    position: Position,
    depth: u32,
    quoted: bool,
    escaped: bool,
    /// The bytes received so far of an incomplete element.
    partial: Vec<u8>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    #[default]
    BeforeList,
    /// The position after `[`, where the list may also end.
    FirstElement,
    /// The position after a comma.
    NextElement,
    InElement,
    AfterList,
}

impl ListSplitter {
    /// Processes the next bytes, and passes each element that they complete to `on_element`.
    pub(crate) fn push(
        &mut self,
        bytes: &[u8],
        mut on_element: impl FnMut(&[u8]) -> Result<(), ListError>,
    ) -> Result<(), ListError> {
        let mut start = 0;
        for (at, &byte) in bytes.iter().enumerate() {
            if self.position != Position::InElement {
                self.position = self.advance_outside_element(byte)?;
                start = at;
                continue;
            }
            if !self.ends_element(byte) {
                continue;
            }
            self.partial.extend_from_slice(&bytes[start..at]);
            on_element(&self.partial)?;
            self.partial.clear();
            self.position = match byte {
                b',' => Position::NextElement,
                _ => Position::AfterList,
            };
        }
        if self.position != Position::InElement {
            return Ok(());
        }
        self.partial.extend_from_slice(&bytes[start..]);
        if self.partial.len() > MAX_ELEMENT_BYTES {
            return Err(ListError::ElementTooLong);
        }
        Ok(())
    }

    /// Processes a byte inside an element. Returns true if the byte is the separator after the element.
    fn ends_element(&mut self, byte: u8) -> bool {
        if self.quoted {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = true,
                b'"' => self.quoted = false,
                _ => {}
            }
            return false;
        }
        match byte {
            b'"' => self.quoted = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' if self.depth > 0 => self.depth -= 1,
            b',' | b']' if self.depth == 0 => return true,
            _ => {}
        }
        false
    }

    /// Processes a byte outside elements, and returns the position after it.
    fn advance_outside_element(&mut self, byte: u8) -> Result<Position, ListError> {
        use Position::{AfterList, BeforeList, FirstElement, InElement, NextElement};
        match (self.position, byte) {
            (position, b' ' | b'\t' | b'\r' | b'\n') => Ok(position),
            (BeforeList, b'[') => Ok(FirstElement),
            (FirstElement, b']') => Ok(AfterList),
            (FirstElement | NextElement, b',' | b']' | b'}') => Err(ListError::Malformed),
            (FirstElement | NextElement, _) => {
                self.quoted = byte == b'"';
                self.depth = u32::from(matches!(byte, b'{' | b'['));
                Ok(InElement)
            }
            (BeforeList | InElement | AfterList, _) => Err(ListError::NotAList),
        }
    }

    /// Returns whether the list is complete.
    pub(crate) fn is_complete(&self) -> bool {
        self.position == Position::AfterList
    }
}

#[cfg(test)]
mod tests;
