//! Reads the lines of HTTP and RESP.
//!
//! Their formats end a line with CR LF. A carriage return anywhere else is an error: another party may take it for the end
//! of a line, or ignore it, and then sees another message than this proxy.

use super::WireError;

/// The ends that a line may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LineEnds {
    /// CR LF alone.
    CrLf,
    /// CR LF, or LF alone.
    CrLfOrLf,
}

/// Moves bytes up to the end of the line to `line`, without the line end. Returns the number of bytes consumed, and
/// whether the line is complete.
///
/// # Errors
/// Fails if the line has more than `max` bytes with its end, and if a complete line has another end than allowed.
pub(super) fn take_line(
    input: &[u8],
    line: &mut Vec<u8>,
    max: usize,
    ends: LineEnds,
) -> Result<(usize, bool), WireError> {
    let end = input.iter().position(|b| *b == b'\n');
    let taken = end.map_or(input.len(), |at| at + 1);
    if line.len() + taken > max {
        return Err(WireError::TooLong("a line"));
    }
    line.extend_from_slice(&input[..end.unwrap_or(input.len())]);
    if end.is_none() {
        return Ok((taken, false));
    }
    let ends_with_cr = line.last() == Some(&b'\r');
    if ends_with_cr {
        line.pop();
    }
    if line.contains(&b'\r') || !ends_with_cr && ends == LineEnds::CrLf {
        return Err(WireError::Malformed("a line end"));
    }
    Ok((taken, true))
}
