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
        let code = behind
            .get(..2)
            .filter(|code| code.bytes().all(|b| b.is_ascii_hexdigit()))?;
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
    pieces
        .into_iter()
        .enumerate()
        .map(|(part, text)| Some((u16::try_from(part).ok()?, text)))
        .collect()
}
