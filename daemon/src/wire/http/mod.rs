//! HTTP/1.1 messages: a head, and a body whose end is given by Content-Length, by chunks or by the end of the
//! connection.

mod head;

pub use head::Head;

use super::lines::{take_line, LineEnds};
use super::{Parser, WireError};
use head::{parse_field, parse_start};

/// The maximum number of headers in a message.
const MAX_HEADERS: usize = 64;
/// The maximum number of interim responses before a final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// A part of a message, as returned by the parser in the order of arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// The head.
    Head(Head),
    /// A part of the body.
    Body(Vec<u8>),
    /// The message is complete.
    End,
}

/// The part of a message that is parsed next.
#[derive(Clone, Debug)]
enum State {
    /// A line of a head.
    Head,
    /// The remaining bytes of a body with a known length.
    Length(usize),
    /// The line with the size of a chunk.
    ChunkSize,
    /// The remaining bytes of a chunk.
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// A line of the trailers.
    Trailers,
    /// A body that ends with the connection.
    UntilClosed,
}

impl State {
    /// Returns the ends that a line may have in this state. LF alone ends no line of a chunk: another party may take what
    /// follows for a part of the line, and so find another body.
    fn line_ends(&self) -> LineEnds {
        match self {
            State::ChunkSize | State::ChunkEnd => LineEnds::CrLf,
            _ => LineEnds::CrLfOrLf,
        }
    }
}

/// Parses messages.
#[derive(Clone, Debug)]
pub struct MessageParser {
    responses: bool,
    max_line: usize,
    max_body: usize,
    max_headers: usize,
    line: Vec<u8>,
    head: Option<Head>,
    /// The number of interim responses since the last final one.
    interim_responses: usize,
    state: State,
    /// The total size of the chunks of the body that have been announced so far.
    body: usize,
    /// Whether the message is complete and `Piece::End` is still to be returned.
    is_end_pending: bool,
}

impl MessageParser {
    /// Creates a parser of requests.
    pub fn requests(max_line: usize, max_body: usize) -> Self {
        MessageParser {
            responses: false,
            max_line,
            max_body,
            max_headers: MAX_HEADERS,
            line: Vec::new(),
            head: None,
            interim_responses: 0,
            state: State::Head,
            body: 0,
            is_end_pending: false,
        }
    }

    /// Creates a parser of responses. `max_body` is `usize::MAX` for response streams without an end.
    pub fn responses(max_line: usize, max_body: usize) -> Self {
        MessageParser {
            responses: true,
            ..Self::requests(max_line, max_body)
        }
    }

    /// Whether the connection may end now: the body ends with the connection, or no message has begun.
    pub fn may_end(&self) -> bool {
        matches!(self.state, State::UntilClosed)
            || matches!(self.state, State::Head) && self.head.is_none()
    }

    /// Returns the state that parses the body after this head.
    fn body_state(&self, head: &Head) -> Result<State, WireError> {
        const BAD_LENGTH: WireError = WireError::Malformed("an HTTP body's length");
        let length = head.header("content-length");
        let coding = head.header("transfer-encoding");
        // A message with both Content-Length and Transfer-Encoding is rejected, because it allows request smuggling.
        if length.is_some() && coding.is_some()
            || head
                .headers
                .iter()
                .filter(|(n, _)| n == "content-length")
                .count()
                > 1
        {
            return Err(BAD_LENGTH);
        }
        if self.responses && head.excludes_body() {
            return Ok(State::Length(0));
        }
        if let Some(coding) = coding {
            return if coding.eq_ignore_ascii_case("chunked") {
                Ok(State::ChunkSize)
            } else {
                Err(BAD_LENGTH)
            };
        }
        if let Some(length) = length {
            let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
            let length: usize = length.parse().ok().filter(|_| digits).ok_or(BAD_LENGTH)?;
            return if length > self.max_body {
                Err(WireError::TooLong("an HTTP body"))
            } else {
                Ok(State::Length(length))
            };
        }
        Ok(if self.responses {
            State::UntilClosed
        } else {
            State::Length(0)
        })
    }

    /// Parses a line of a head. Returns the head if this was its last line.
    fn head_line(&mut self, line: Vec<u8>) -> Result<Option<Head>, WireError> {
        let Some(head) = &mut self.head else {
            if !line.is_empty() {
                self.head = Some(parse_start(line, self.responses)?);
            }
            return Ok(None);
        };
        if line.is_empty() {
            return Ok(self.head.take());
        }
        if head.headers.len() >= self.max_headers {
            return Err(WireError::TooLong("an HTTP head"));
        }
        head.headers.push(parse_field(&line)?);
        Ok(None)
    }

    /// Returns the bytes of the body at the front of the input; `None` if a line comes next.
    fn take_body(&mut self, input: &[u8]) -> Option<Vec<u8>> {
        let (left, is_chunk) = match self.state {
            State::Length(left) => (left, false),
            State::Chunk(left) => (left, true),
            State::UntilClosed => return Some(input.to_vec()),
            _ => return None,
        };
        let taken = left.min(input.len());
        self.is_end_pending = !is_chunk && taken == left;
        self.state = match (is_chunk, left - taken) {
            (true, 0) => State::ChunkEnd,
            (true, left) => State::Chunk(left),
            (false, left) => State::Length(left),
        };
        Some(input[..taken].to_vec())
    }

    /// Parses a line of a head, a chunk or the trailers. Returns the piece that it completes, if any.
    fn take_complete_line(&mut self, line: Vec<u8>) -> Result<Option<Piece>, WireError> {
        match self.state {
            State::Head => {
                let Some(head) = self.head_line(line)? else {
                    return Ok(None);
                };
                if self.responses && head.is_interim() {
                    self.skip_interim_response()?;
                    return Ok(None);
                }
                self.interim_responses = 0;
                self.state = self.body_state(&head)?;
                self.is_end_pending = matches!(self.state, State::Length(0));
                return Ok(Some(Piece::Head(head)));
            }
            State::ChunkSize => self.state = self.chunk(&line)?,
            State::ChunkEnd if line.is_empty() => self.state = State::ChunkSize,
            State::Trailers if line.is_empty() => {
                self.state = State::Head;
                self.body = 0;
                return Ok(Some(Piece::End));
            }
            State::Trailers => {}
            _ => return Err(WireError::Malformed("an HTTP chunk's end")),
        }
        Ok(None)
    }

    /// Counts an interim response, such as 103, which no caller has a use for.
    fn skip_interim_response(&mut self) -> Result<(), WireError> {
        self.interim_responses += 1;
        if self.interim_responses > MAX_INTERIM_RESPONSES {
            return Err(WireError::TooLong("a series of interim responses"));
        }
        Ok(())
    }

    /// Parses the size of a chunk and returns the next state.
    fn chunk(&mut self, line: &[u8]) -> Result<State, WireError> {
        let text = std::str::from_utf8(line)
            .unwrap_or("")
            .split(';')
            .next()
            .unwrap_or("")
            .trim();
        let size = usize::from_str_radix(text, 16)
            .ok()
            .filter(|_| !text.starts_with('+'));
        let size = size.ok_or(WireError::Malformed("an HTTP chunk"))?;
        self.body = self.body.saturating_add(size);
        if self.body > self.max_body && self.max_body != usize::MAX {
            return Err(WireError::TooLong("an HTTP body"));
        }
        Ok(if size == 0 {
            State::Trailers
        } else {
            State::Chunk(size)
        })
    }
}

impl Parser for MessageParser {
    type Item = Piece;

    fn parse(&mut self, input: &[u8]) -> Result<(usize, Option<Piece>), WireError> {
        if std::mem::take(&mut self.is_end_pending) {
            self.state = State::Head;
            self.body = 0;
            return Ok((0, Some(Piece::End)));
        }
        let mut at = 0;
        while at < input.len() {
            let rest = &input[at..];
            if let Some(body) = self.take_body(rest) {
                return Ok((at + body.len(), Some(Piece::Body(body))));
            }
            let ends = self.state.line_ends();
            let (taken, is_complete) = take_line(rest, &mut self.line, self.max_line, ends)?;
            at += taken;
            if !is_complete {
                break;
            }
            let line = std::mem::take(&mut self.line);
            if let Some(piece) = self.take_complete_line(line)? {
                return Ok((at, Some(piece)));
            }
        }
        Ok((at, None))
    }
}

/// A header to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderField<'a> {
    /// The name.
    pub name: &'a str,
    /// The value.
    pub value: &'a str,
}

impl<'a> From<(&'a str, &'a str)> for HeaderField<'a> {
    fn from((name, value): (&'a str, &'a str)) -> Self {
        HeaderField { name, value }
    }
}

/// Writes a message with its body and Content-Length.
pub fn write_message<'a, Header>(out: &mut Vec<u8>, start: &str, headers: &[Header], body: &[u8])
where
    Header: Copy + Into<HeaderField<'a>>,
{
    out.extend_from_slice(start.as_bytes());
    out.extend_from_slice(b"\r\n");
    for header in headers {
        let HeaderField { name, value } = (*header).into();
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
}
