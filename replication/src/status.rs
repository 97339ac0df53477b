//! The status of a trigger as text that is cut into pieces, each of which fits into a datagram with all that an entry
//! says besides.

/// Bytes of a piece as it stands in a datagram. The head of an entry takes 98 at most, the kind, number and part 29.
const PIECE: usize = 112;

/// How a character stands in a datagram, whose words are parted by blanks.
fn escaped(c: char) -> Option<String> {
    (c <= ' ' || c == '%' || c == '\u{7f}').then(|| format!("%{:02x}", u32::from(c)))
}

pub(crate) fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match escaped(c) {
            Some(word) => out.push_str(&word),
            None => out.push(c),
        }
    }
    out
}

pub(crate) fn unescape(word: &str) -> Option<String> {
    let mut out = String::with_capacity(word.len());
    let mut rest = word;
    while let Some((before, behind)) = rest.split_once('%') {
        out.push_str(before);
        let code = behind.get(..2).filter(|code| code.bytes().all(|b| b.is_ascii_hexdigit()))?;
        out.push(char::from(u8::from_str_radix(code, 16).ok()?));
        rest = &behind[2..];
    }
    out.push_str(rest);
    // One text has one word, so that what was read is never too long to be passed on.
    Some(out).filter(|text| escape(text) == word)
}

/// Cuts a text into pieces that each fit into a datagram; none where there would be more than can be numbered.
pub fn pieces(text: &str) -> Option<Vec<(u16, String)>> {
    let mut pieces = vec![String::new()];
    let mut long = 0;
    for c in text.chars() {
        let bytes = escaped(c).map_or(c.len_utf8(), |word| word.len());
        if long + bytes > PIECE {
            pieces.push(String::new());
            long = 0;
        }
        long += bytes;
        if let Some(last) = pieces.last_mut() {
            last.push(c);
        }
    }
    pieces.into_iter().enumerate().map(|(part, text)| Some((u16::try_from(part).ok()?, text))).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Datagram, Entry, LogId, Subject};

    #[test]
    fn a_text_of_any_characters_comes_back_from_pieces_that_each_fit_a_datagram() {
        let odd = "{\"a\": \"50% of\u{7f} \u{1}\t\u{e9}\u{1f600} %zz\"}";
        for text in [odd.to_owned(), odd.repeat(40), "%".repeat(500), " ".repeat(113), "x".repeat(112)] {
            let cut = pieces(&text).unwrap();
            assert_eq!(cut.iter().map(|(_, piece)| piece.as_str()).collect::<String>(), text);
            for (part, text) in cut {
                // All numbers as long as they can be.
                let subject = Subject::Status { number: u64::MAX, part: u16::MAX - part, text };
                let most = u64::MAX;
                let entry = Entry {
                    log: LogId::new(most, most),
                    index: most,
                    prev: most - 1,
                    subject,
                    at: most,
                    revoked: false,
                };
                let bytes = Datagram::Entry(entry.clone()).write().expect("it fits");
                assert_eq!(Datagram::read(&bytes), Ok(Datagram::Entry(entry)));
            }
        }
        assert_eq!(pieces("").unwrap(), [(0, String::new())]);
        for torn in ["%", "%4", "%zz", "%+1", "a%\u{e9}", "%41", "\u{1}", "%2A"] {
            assert_eq!(unescape(torn), None, "{torn}");
        }
        assert!(
            pieces(&"x".repeat(112 * 65_536)).is_some() && pieces(&"x".repeat(112 * 65_536 + 1)).is_none()
        );
    }
}
