//! Datagrams, as text: several words of one sender, at most 256 bytes, the bound of what proxies may send each other on
//! any installation.

use crate::{Life, Word};
pub use linnetknot_datagram::DecodeError;
use linnetknot_datagram::{payload, MAX_DATAGRAM_BYTES};
use std::fmt::Write as _;

/// Its first word; the digit is the form's version.
const MARK: &str = "budgets1";

fn text(word: &Word) -> String {
    match *word {
        Word::Stand { group, number } => format!(" s.{group:x}.{number:x}"),
        Word::Vote { group, number, yes, of } => {
            let of = of.map_or(0, |of| of + 1);
            format!(" v.{group:x}.{number:x}.{:x}.{of:x}", u8::from(yes))
        }
        Word::Want { budget, number, wanted, of, felt } => {
            format!(" w.{budget:x}.{number:x}.{wanted:x}.{of:x}.{felt:x}")
        }
        Word::Part { budget, number, amount, for_us } => {
            format!(" p.{budget:x}.{number:x}.{amount:x}.{for_us:x}")
        }
    }
}

fn read_word(text: &str) -> Option<Word> {
    let mut parts = text.split('.');
    let kind = parts.next()?;
    let mut next = || {
        // `from_str_radix` would take a sign.
        let digits = parts.next().filter(|p| !p.is_empty() && p.bytes().all(|b| b.is_ascii_hexdigit()))?;
        u64::from_str_radix(digits, 16).ok()
    };
    let place = |n: u64| usize::try_from(n).ok();
    let word = match kind {
        "s" => Word::Stand { group: place(next()?)?, number: next()? },
        "v" => {
            let (group, number, yes, of) = (place(next()?)?, next()?, next()?, place(next()?)?);
            Word::Vote { group, number, yes: (yes < 2).then_some(yes == 1)?, of: of.checked_sub(1) }
        }
        "w" => {
            let (budget, number) = (place(next()?)?, next()?);
            Word::Want { budget, number, wanted: next()?, of: next()?, felt: next()? }
        }
        "p" => Word::Part { budget: place(next()?)?, number: next()?, amount: next()?, for_us: next()? },
        _ => return None,
    };
    parts.next().is_none().then_some(word)
}

/// Words of a member in this life as few datagrams. `form` stands for what its words mean: the same at all that share the
/// same among the same.
pub fn write(form: u64, life: Life, words: &[Word]) -> Vec<Vec<u8>> {
    let head = format!("{MARK} {form:x} {life:x}");
    let mut datagrams: Vec<String> = Vec::new();
    for word in words.iter().map(text) {
        match datagrams.last_mut().filter(|last| last.len() + word.len() <= MAX_DATAGRAM_BYTES) {
            // Writing to a string does not fail.
            Some(last) => drop(write!(last, "{word}")),
            None => datagrams.push(format!("{head}{word}")),
        }
    }
    datagrams.into_iter().map(String::into_bytes).collect()
}

/// Reads a datagram: its sender's `form`, its life, and its words.
///
/// # Errors
/// Where it is of another kind or version, or torn. Nothing of a torn one is used.
pub fn read(bytes: &[u8]) -> Result<(u64, Life, Vec<Word>), DecodeError> {
    let text = std::str::from_utf8(payload(bytes, MARK)?).map_err(|_| DecodeError::Malformed)?;
    let mut words = text.strip_prefix(' ').ok_or(DecodeError::Malformed)?.split(' ');
    let mut number = || u64::from_str_radix(words.next()?, 16).ok();
    let (form, life) = number().zip(number()).ok_or(DecodeError::Malformed)?;
    let words = words.map(read_word).collect::<Option<Vec<Word>>>().ok_or(DecodeError::Malformed)?;
    Ok((form, life, words))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_are_read_as_they_were_written_in_datagrams_that_are_no_longer_than_they_may_be() {
        let most = u64::MAX;
        let words: Vec<Word> = (0..30)
            .flat_map(|n| {
                [
                    Word::Stand { group: n, number: most },
                    Word::Vote { group: n, number: 1, yes: n % 2 == 0, of: (n % 3 > 0).then_some(n) },
                    Word::Want { budget: n, number: most, wanted: most, of: most, felt: most },
                    Word::Part { budget: n, number: 3, amount: most, for_us: 4 },
                ]
            })
            .collect();
        let datagrams = write(300, most, &words);
        assert!(
            datagrams.iter().all(|d| d.len() <= MAX_DATAGRAM_BYTES) && datagrams.len() < 40,
            "{}",
            datagrams.len()
        );
        let mut again = Vec::new();
        for datagram in &datagrams {
            let (form, life, words) = read(datagram).unwrap();
            assert_eq!((form, life), (300, most));
            again.extend(words);
        }
        assert_eq!(again, words);
        assert!(write(3, 1, &[]).is_empty(), "nothing to say is no datagram");
    }

    #[test]
    fn what_is_no_datagram_of_this_kind_and_version_is_an_error() {
        for (bytes, error) in [
            (b"copies1 ask".as_slice(), DecodeError::Foreign),
            (b"budgets2 3 1", DecodeError::Version),
            (b"budgets1", DecodeError::Malformed),
            (b"budgets1 3", DecodeError::Malformed),
            (b"budgets1 3 1 s.0", DecodeError::Malformed),
            (b"budgets1 3 1 s.0.1.2", DecodeError::Malformed),
            (b"budgets1 3 1 s.+0.1", DecodeError::Malformed),
            (b"budgets1 3 1 v.0.1.2.0", DecodeError::Malformed),
            (b"budgets1 3 1 s.0.1 x", DecodeError::Malformed),
            (b"budgets1 3 1 s.0.11111111111111111", DecodeError::Malformed),
            (b"budgets1 3 1 \xff", DecodeError::Malformed),
        ] {
            assert_eq!(read(bytes).err(), Some(error), "{}", String::from_utf8_lossy(bytes));
        }
        assert_eq!(read(b"budgets1 3 1"), Ok((3, 1, vec![])));
    }
}
