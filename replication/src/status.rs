//! The text of a trigger's status, split into parts that each fit into a datagram together with the other fields of an
//! entry.

/// The maximum length of an escaped part. The other fields of an entry take at most 98 + 29 bytes of a datagram: its
/// header 98, and its kind, number and part number 29.
const MAX_PART_BYTES: usize = 112;

/// Returns the escape sequence of a character that is not allowed in a word of a datagram, or `None` if it is allowed.
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
    // Only the canonical escaping is accepted, so that a received text never gets too long to be forwarded.
    Some(out).filter(|text| escape(text) == word)
}

/// Splits a text into numbered parts that each fit into a datagram. Returns `None` if there are more parts than `u16`
/// can number.
pub fn split_status(text: &str) -> Option<Vec<(u16, String)>> {
    let mut parts = vec![String::new()];
    let mut part_bytes = 0;
    for c in text.chars() {
        let bytes = escaped(c).map_or(c.len_utf8(), |word| word.len());
        if part_bytes + bytes > MAX_PART_BYTES {
            parts.push(String::new());
            part_bytes = 0;
        }
        part_bytes += bytes;
        if let Some(last) = parts.last_mut() {
            last.push(c);
        }
    }
    parts
        .into_iter()
        .enumerate()
        .map(|(part, text)| Some((u16::try_from(part).ok()?, text)))
        .collect()
}
