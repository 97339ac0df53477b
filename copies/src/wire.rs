//! Datagrams, as text: one entry, or how far logs are had. At most 256 bytes, the bound of what proxies may send each
//! other on any installation.

use crate::{status, Entry, Log, Seq, What};
use linnetknot_words::{behind, Unreadable, MOST};

/// Logs of which one datagram can tell: three numbers of up to 17 bytes each behind a head.
pub(crate) const MOST_ENDS: usize = 4;
/// Gaps that one datagram can name: two numbers each behind a head and a log.
pub(crate) const MOST_GAPS: usize = 6;
/// Its first word; the digit is the form's version.
const MARK: &str = "copies1";

/// What proxies say to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Datagram {
    /// An entry.
    Entry(Entry),
    /// How far the sender has its logs, once in a while.
    Have {
        /// Some of them.
        ends: Vec<(Log, Seq)>,
        /// How many it has in all.
        all: u64,
        /// The sum over all.
        sum: u64,
    },
    /// How far the sender has these logs, of which it wants more, or may have more itself.
    Want {
        /// The logs.
        ends: Vec<(Log, Seq)>,
    },
    /// Of this log the sender lacks what is in force in these gaps, and has what is behind them. A version before this
    /// one drops it, and is asked with `Want` in time.
    Lack {
        /// The log.
        log: Log,
        /// Behind the first place, up to the second.
        gaps: Vec<(Seq, Seq)>,
    },
    /// The sender wants to hear how far the receiver has its logs.
    Ask,
    /// Up to which place the sender has all that is in force of these logs on its disk. A version before this one does
    /// not know it and drops it.
    Held {
        /// The sender's process, so that a late word of an earlier one is known for what it is.
        begun: u64,
        /// The logs.
        ends: Vec<(Log, Seq)>,
    },
}

fn listed(ends: &[(Log, Seq)]) -> String {
    ends.iter().map(|((writer, life), seq)| format!(" {writer:x} {life:x} {seq:x}")).collect()
}

fn number(word: &str) -> Option<u64> {
    // `from_str_radix` would take a sign.
    let digits = !word.is_empty() && word.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(word, 16).ok()).flatten()
}

fn ends<'a>(words: &mut impl Iterator<Item = &'a str>) -> Option<Vec<(Log, Seq)>> {
    let mut ends = Vec::new();
    while let Some(writer) = words.next() {
        let log = (number(writer)?, number(words.next()?)?);
        ends.push((log, number(words.next()?)?));
    }
    (ends.len() <= MOST_ENDS).then_some(ends)
}

impl Datagram {
    /// Its bytes; none where they would be too many, as for an object of a very long name.
    pub fn write(&self) -> Option<Vec<u8>> {
        let text = match self {
            Datagram::Entry(e) => {
                let (kind, what) = match (&e.what, e.lifted) {
                    (What::Object(object), _) => ("object", object.clone()),
                    (What::Group(group), _) => ("group", group.to_string()),
                    (What::Ban(id), false) => ("ban", id.clone()),
                    (What::Ban(id), true) => ("unban", id.clone()),
                    (What::Drain, lifted) => ("drain", if lifted { "over" } else { "on" }.to_owned()),
                    (What::Status { number, part, text }, _) => {
                        ("status", format!("{number:x}.{part:x}.{}", status::escape(text)))
                    }
                    (What::Gone { writer, number }, _) => ("gone", format!("{writer:x}.{number:x}")),
                };
                let (writer, life) = e.log;
                format!("{MARK} entry {writer:x} {life:x} {:x} {:x} {:x} {kind} {what}", e.prev, e.seq, e.at)
            }
            Datagram::Have { ends, all, sum } => format!("{MARK} have {all:x} {sum:x}{}", listed(ends)),
            Datagram::Want { ends } => format!("{MARK} want{}", listed(ends)),
            Datagram::Lack { log: (writer, life), gaps } => {
                let listed: String =
                    gaps.iter().map(|(behind, through)| format!(" {behind:x} {through:x}")).collect();
                format!("{MARK} lack {writer:x} {life:x}{listed}")
            }
            Datagram::Ask => format!("{MARK} ask"),
            Datagram::Held { begun, ends } => format!("{MARK} held {begun:x}{}", listed(ends)),
        };
        (text.len() <= MOST).then(|| text.into_bytes())
    }

    /// Reads one.
    pub fn read(bytes: &[u8]) -> Result<Self, Unreadable> {
        let text = std::str::from_utf8(behind(bytes, MARK)?).map_err(|_| Unreadable::Torn)?;
        let mut words = text.strip_prefix(' ').ok_or(Unreadable::Torn)?.split(' ');
        Self::rest(&mut words).filter(|_| words.next().is_none()).ok_or(Unreadable::Torn)
    }

    fn rest<'a>(words: &mut impl Iterator<Item = &'a str>) -> Option<Self> {
        match words.next()? {
            "entry" => {
                let [writer, life, prev, seq, at] = {
                    let mut next = || number(words.next()?);
                    [next()?, next()?, next()?, next()?, next()?]
                };
                let (what, lifted) = match (words.next()?, words.next()?) {
                    ("object", object) if !object.is_empty() => (What::Object(object.to_owned()), false),
                    ("group", group) => (What::Group(group.parse().ok()?), false),
                    ("ban", id) if !id.is_empty() => (What::Ban(id.to_owned()), false),
                    ("unban", id) if !id.is_empty() => (What::Ban(id.to_owned()), true),
                    ("drain", "on") => (What::Drain, false),
                    ("drain", "over") => (What::Drain, true),
                    ("status", said) => {
                        let mut parts = said.splitn(3, '.');
                        let (named, part) = (number(parts.next()?)?, number(parts.next()?)?);
                        let text = status::unescape(parts.next()?)?;
                        (What::Status { number: named, part: u16::try_from(part).ok()?, text }, false)
                    }
                    ("gone", said) => {
                        let (writer, named) = said.split_once('.')?;
                        (What::Gone { writer: number(writer)?, number: number(named)? }, false)
                    }
                    _ => return None,
                };
                let sound = seq > prev;
                sound.then_some(Datagram::Entry(Entry { log: (writer, life), seq, prev, what, at, lifted }))
            }
            "have" => {
                let (all, sum) = (number(words.next()?)?, number(words.next()?)?);
                Some(Datagram::Have { ends: ends(words)?, all, sum })
            }
            "ask" => Some(Datagram::Ask),
            "lack" => {
                let log = (number(words.next()?)?, number(words.next()?)?);
                let mut gaps = Vec::new();
                while let Some(behind) = words.next() {
                    gaps.push((number(behind)?, number(words.next()?)?));
                }
                let sound = gaps.len() <= MOST_GAPS && gaps.iter().all(|(behind, through)| behind < through);
                sound.then_some(Datagram::Lack { log, gaps })
            }
            "want" => Some(Datagram::Want { ends: ends(words)? }),
            "held" => Some(Datagram::Held { begun: number(words.next()?)?, ends: ends(words)? }),
            _ => None,
        }
    }
}
