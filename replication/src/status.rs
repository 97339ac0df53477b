//! The status of a trigger as text, cut into pieces that each fit into a datagram with the rest of an entry.

/// The most bytes of an escaped piece. The head of an entry takes 98 at most, its kind, number and part 29.
const MAX_PIECE_BYTES: usize = 112;

/// Returns the escape sequence of a character that can't be in a word of a datagram; `None` if it can.
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
    // Each text has exactly one escaped form, so that a text that was received is never too long to be passed on.
    Some(out).filter(|text| escape(text) == word)
}

/// Cuts a text into numbered pieces that each fit into a datagram; `None` if there would be more than can be numbered.
pub fn split_status(text: &str) -> Option<Vec<(u16, String)>> {
    let mut pieces = vec![String::new()];
    let mut piece_bytes = 0;
    for c in text.chars() {
        let bytes = escaped(c).map_or(c.len_utf8(), |word| word.len());
        if piece_bytes + bytes > MAX_PIECE_BYTES {
            pieces.push(String::new());
            piece_bytes = 0;
        }
        piece_bytes += bytes;
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
