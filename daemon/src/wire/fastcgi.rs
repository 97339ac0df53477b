//! FastCGI 1.0 for an application in the Responder role.

use super::{Parser, WireError};

/// The types of records.
pub mod kind {
    /// Begins a request.
    pub const BEGIN: u8 = 1;
    /// Aborts a request.
    pub const ABORT: u8 = 2;
    /// Ends a request.
    pub const END: u8 = 3;
    /// Part of the parameters of a request; an empty record ends the parameters.
    pub const PARAMS: u8 = 4;
    /// Part of the body of a request; an empty record ends the body.
    pub const STDIN: u8 = 5;
    /// Part of a response; an empty record ends the response.
    pub const STDOUT: u8 = 6;
    /// Part of a second input stream, which Responders do not use.
    pub const DATA: u8 = 8;
    /// Queries the capabilities of the application.
    pub const GET_VALUES: u8 = 9;
    /// The response to `GET_VALUES`.
    pub const GET_VALUES_RESULT: u8 = 10;
    /// The response to a management record of unknown type.
    pub const UNKNOWN_TYPE: u8 = 11;
}

/// The protocol status of a request that was answered.
pub const REQUEST_COMPLETE: u8 = 0;
/// The protocol status of a request that exceeds the capacity of the connection.
pub const OVERLOADED: u8 = 2;
/// The protocol status of a request in an unknown role.
pub const UNKNOWN_ROLE: u8 = 3;
/// The role of an application that responds to requests.
pub const RESPONDER: u16 = 1;
/// The flag that keeps the connection open after the response.
pub const KEEP_CONN: u8 = 1;

const VERSION: u8 = 1;
const BAD_PARAMETER: WireError = WireError::Malformed("a FastCGI parameter");
/// The length of a record without its content.
pub const HEADER_LENGTH: usize = 8;
/// The length of the content of the record that ends a request.
pub const END_LENGTH: usize = 8;
/// The maximum length of the content of a record.
pub const MAX_CONTENT: usize = 65_535;

/// A record, the unit of transfer of the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The type, one of the constants in [`kind`].
    pub kind: u8,
    /// The id of the request; 0 for management records.
    pub id: u16,
    /// The content.
    pub content: Vec<u8>,
}

/// Parses records. No limit is configured for their length, because the format allows at most 65,535 bytes of content.
#[derive(Default)]
pub struct RecordParser {
    header: Vec<u8>,
    content: Vec<u8>,
    skipped: usize,
}

impl RecordParser {
    /// Returns the number of buffered bytes of a partial record.
    pub fn buffered_bytes(&self) -> usize {
        self.header.len() + self.content.len()
    }

    /// Whether part of a record has been received.
    pub fn is_partial(&self) -> bool {
        !self.header.is_empty()
    }
}

impl Parser for RecordParser {
    type Item = Record;

    fn parse(&mut self, input: &[u8]) -> Result<(usize, Option<Record>), WireError> {
        let mut rest = input;
        let mut take = |n: usize| {
            let (taken, left) = rest.split_at(n.min(rest.len()));
            rest = left;
            taken
        };
        self.header
            .extend_from_slice(take(HEADER_LENGTH - self.header.len()));
        if self
            .header
            .first()
            .is_some_and(|version| *version != VERSION)
        {
            return Err(WireError::Malformed("the version of a FastCGI record"));
        }
        if self.header.len() < HEADER_LENGTH {
            return Ok((input.len(), None));
        }
        let h = &self.header;
        let length = usize::from(u16::from_be_bytes([h[4], h[5]]));
        let padding = usize::from(h[6]);
        self.content
            .extend_from_slice(take(length - self.content.len()));
        if self.content.len() == length {
            self.skipped += take(padding - self.skipped).len();
        }
        let left = rest.len();
        if self.content.len() < length || self.skipped < padding {
            return Ok((input.len(), None));
        }
        let id = u16::from_be_bytes([h[2], h[3]]);
        let record = Record {
            kind: h[1],
            id,
            content: std::mem::take(&mut self.content),
        };
        self.header.clear();
        self.skipped = 0;
        Ok((input.len() - left, Some(record)))
    }
}

/// Writes a record. Content beyond `MAX_CONTENT` is truncated, which callers must avoid.
pub fn write_record(out: &mut Vec<u8>, kind: u8, id: u16, content: &[u8]) {
    let length = content.len().min(MAX_CONTENT);
    let (id, long) = (id.to_be_bytes(), (length as u16).to_be_bytes());
    out.extend([VERSION, kind, id[0], id[1], long[0], long[1], 0, 0]);
    out.extend_from_slice(&content[..length]);
}

/// Writes the record that ends a request.
pub fn write_end(out: &mut Vec<u8>, id: u16, status: u8) {
    write_record(out, kind::END, id, &[0, 0, 0, 0, status, 0, 0, 0]);
}

/// The content of a BEGIN_REQUEST record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BeginRequest {
    /// The role of the application, such as [`RESPONDER`].
    pub role: u16,
    /// The flags of the request, such as [`KEEP_CONN`].
    pub flags: u8,
}

/// Parses the content of a BEGIN_REQUEST record.
///
/// # Errors
/// Fails if the length is wrong.
pub fn read_begin(content: &[u8]) -> Result<BeginRequest, WireError> {
    match content {
        [a, b, flags, _, _, _, _, _] => Ok(BeginRequest {
            role: u16::from_be_bytes([*a, *b]),
            flags: *flags,
        }),
        _ => Err(WireError::Malformed("a BEGIN_REQUEST record")),
    }
}

/// The names and values of a complete parameter stream, parsed one after the other. A stream may hold thousands of them,
/// so nothing is allocated.
///
/// An item is an error if a length exceeds the input, or a text is not UTF-8. No items follow it.
pub struct Pairs<'a>(&'a [u8]);

/// Parses the names and values of a complete parameter stream.
pub fn read_pairs(bytes: &[u8]) -> Pairs<'_> {
    Pairs(bytes)
}

impl<'a> Pairs<'a> {
    fn take_pair(&mut self) -> Result<(&'a str, &'a str), WireError> {
        let name_length = take_pair_length(&mut self.0)?;
        let value_length = take_pair_length(&mut self.0)?;
        let name = self.take_text(name_length)?;
        let value = self.take_text(value_length)?;
        Ok((name, value))
    }

    fn take_text(&mut self, length: usize) -> Result<&'a str, WireError> {
        let (text, rest) = self.0.split_at_checked(length).ok_or(BAD_PARAMETER)?;
        self.0 = rest;
        std::str::from_utf8(text).map_err(|_| BAD_PARAMETER)
    }
}

impl<'a> Iterator for Pairs<'a> {
    type Item = Result<(&'a str, &'a str), WireError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.0.is_empty() {
            return None;
        }
        let pair = self.take_pair();
        if pair.is_err() {
            self.0 = &[];
        }
        Some(pair)
    }
}

/// Consumes the length of a name or value: one byte, or four if the highest bit is set.
fn take_pair_length(bytes: &mut &[u8]) -> Result<usize, WireError> {
    let (length, size) = match **bytes {
        [a, b, c, d, ..] if a >> 7 == 1 => (u32::from_be_bytes([a & 0x7f, b, c, d]) as usize, 4),
        [a, ..] if a >> 7 == 0 => (usize::from(a), 1),
        _ => return Err(BAD_PARAMETER),
    };
    *bytes = &bytes[size..];
    Ok(length)
}

/// Writes a name and its value.
pub fn write_pair(out: &mut Vec<u8>, name: &str, value: &str) {
    for n in [name.len(), value.len()] {
        match u8::try_from(n) {
            Ok(short) if short < 0x80 => out.push(short),
            _ => out.extend((n as u32 | 0x8000_0000).to_be_bytes()),
        }
    }
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(value.as_bytes());
}
