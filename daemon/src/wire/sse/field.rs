//! Splits a line of an event stream into the name and the value of its field.

/// The name of a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FieldName {
    /// The id of the event.
    Id,
    /// A line of the data of the event.
    Data,
    /// The time to wait before a reconnect.
    Retry,
    /// A field that this parser has no use for.
    Unused,
    /// None: the line is a comment.
    Comment,
}

/// The field of a line that is not empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Field<'a> {
    /// The name.
    pub(super) name: FieldName,
    /// The value, without the space that may precede it.
    pub(super) value: &'a [u8],
}

impl<'a> Field<'a> {
    /// Splits a line. The name ends at the first colon; a line without one is a name whose value is empty.
    pub(super) fn of_line(line: &'a [u8]) -> Self {
        let name_end = line.iter().position(|byte| *byte == b':');
        let name = match &line[..name_end.unwrap_or(line.len())] {
            b"id" => FieldName::Id,
            b"data" => FieldName::Data,
            b"retry" => FieldName::Retry,
            b"" => FieldName::Comment,
            _ => FieldName::Unused,
        };
        let rest = name_end.map_or(&[][..], |colon| &line[colon + 1..]);
        Field {
            name,
            value: rest.strip_prefix(b" ").unwrap_or(rest),
        }
    }
}
