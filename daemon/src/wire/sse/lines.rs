//! Splits an event stream into lines.
//!
//! A line ends with a line feed, a carriage return, or both in this order. A line that ends with a carriage return is
//! complete at once: the stream may pause before the next byte, which shows whether a line feed belongs to the same end.
//! A byte order mark at the start of the stream is not part of the first line.
//!
//! The format has no bound for a line. Only the start of a long one is stored.

/// U+FEFF in UTF-8.
const BYTE_ORDER_MARK: [u8; 3] = [0xef, 0xbb, 0xbf];

/// A line without its end.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Line {
    /// The text, or its start.
    pub(super) text: Vec<u8>,
    /// Whether the text is longer than what is stored of it.
    pub(super) is_cut: bool,
}

/// Collects the bytes of the current line.
pub(super) struct LineReader {
    max_bytes: usize,
    line: Vec<u8>,
    /// Whether the current line is longer than what is stored of it.
    is_cut: bool,
    /// Whether the last byte was a carriage return, so that a line feed belongs to the same line end.
    follows_carriage_return: bool,
    /// Whether no line of the stream is complete yet.
    is_first: bool,
}

impl LineReader {
    /// Creates a reader that stores up to `max_bytes` bytes of a line.
    pub(super) fn new(max_bytes: usize) -> Self {
        LineReader {
            max_bytes,
            line: Vec::new(),
            is_cut: false,
            follows_carriage_return: false,
            is_first: true,
        }
    }

    /// Whether part of a line has been received.
    pub(super) fn is_partial(&self) -> bool {
        !self.line.is_empty()
    }

    /// Returns the stored part of the current line if the line is longer than that.
    pub(super) fn cut_line(&self) -> Option<&[u8]> {
        self.is_cut
            .then(|| &self.line[self.byte_order_mark_length()..])
    }

    /// Consumes input up to the end of the line. Returns the number of bytes consumed, and the line if it is complete.
    /// If it is incomplete, all of the input was consumed.
    pub(super) fn read(&mut self, input: &[u8]) -> (usize, Option<Line>) {
        let skipped = self.skip_line_feed(input);
        let rest = &input[skipped..];
        let end = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r'));
        let text = &rest[..end.unwrap_or(rest.len())];
        let stored = text.len().min(self.max_bytes - self.line.len());
        self.line.extend_from_slice(&text[..stored]);
        self.is_cut |= stored < text.len();
        let Some(end) = end else {
            return (input.len(), None);
        };
        self.follows_carriage_return = rest[end] == b'\r';
        let mark_length = self.byte_order_mark_length();
        self.is_first = false;
        let mut text = std::mem::take(&mut self.line);
        text.drain(..mark_length);
        let is_cut = std::mem::take(&mut self.is_cut);
        (skipped + end + 1, Some(Line { text, is_cut }))
    }

    /// Returns the length of the byte order mark at the start of the current line.
    fn byte_order_mark_length(&self) -> usize {
        if self.is_first && self.line.starts_with(&BYTE_ORDER_MARK) {
            BYTE_ORDER_MARK.len()
        } else {
            0
        }
    }

    /// Returns the number of bytes at the front of the input that belong to the end of the previous line.
    fn skip_line_feed(&mut self, input: &[u8]) -> usize {
        let Some(first) = input.first() else {
            return 0;
        };
        let follows_carriage_return = std::mem::take(&mut self.follows_carriage_return);
        usize::from(follows_carriage_return && *first == b'\n')
    }
}
