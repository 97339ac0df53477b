//! Answers of the servers in a random fleet, which depend on their faults, their copies and the detail that the
//! settings allow.

use crate::common::MS;
use crate::random_fleet::RandomFleet;
use linnetknot::*;
use std::collections::BTreeSet;

/// The way in which a simulated server misbehaves.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    None,
    Slow,
    Silent,
    Down,
    Unreachable,
    Resets,
    Errors,
    Full,
    /// A third of the answers is lost and a third are errors.
    Flaky,
}

pub(crate) const FAULTS: [Fault; 9] = [
    Fault::None,
    Fault::Slow,
    Fault::Silent,
    Fault::Down,
    Fault::Unreachable,
    Fault::Resets,
    Fault::Errors,
    Fault::Full,
    Fault::Flaky,
];

pub(crate) struct SimulatedServer {
    pub entry: Server,
    pub fault: Fault,
    pub cached_parts: BTreeSet<(u64, u64)>,
    pub active: u64,
}

/// How an attempt ends in the simulation.
#[derive(Clone, Copy)]
pub(crate) struct Answer {
    pub outcome: Outcome,
    pub note: Note,
    pub first_byte_us: Micros,
}

impl Answer {
    pub(crate) const fn of(outcome: Outcome, note: Note) -> Answer {
        Answer {
            outcome,
            note,
            first_byte_us: 0,
        }
    }
}

impl RandomFleet {
    /// Returns a server's note with only the details that the settings allow.
    pub(crate) fn visible_note(&self, note: Note) -> Note {
        match (self.settings.answer_detail, note) {
            (AnswerDetail::All, note) => note,
            (AnswerDetail::Hit, Note::Hit | Note::Stale) => Note::Hit,
            (AnswerDetail::Hit, Note::Filled | Note::FilledByOrigin) => Note::Filled,
            _ => Note::None,
        }
    }

    /// Returns the delay and the answer of a server; `None` if it never answers.
    pub(crate) fn answer(
        &mut self,
        id: ServerId,
        fill: &Fill,
        part: (u64, u64),
        transfer_us: Micros,
    ) -> Option<(Micros, Answer)> {
        let jitter = self.below(4 * MS);
        let draw = self.below(3);
        let Some(target) = self.servers.get(&id) else {
            return Some((MS, Answer::of(Outcome::ConnectFailed, Note::None)));
        };
        let failed = |wait, outcome| Some((wait + jitter, Answer::of(outcome, Note::None)));
        match target.fault {
            Fault::Silent => return None,
            Fault::Down => return failed(MS, Outcome::ConnectFailed),
            Fault::Unreachable => return failed(250 * MS, Outcome::Unreached),
            Fault::Resets => return failed(20 * MS, Outcome::Reset),
            Fault::Errors => return failed(15 * MS, Outcome::Error),
            Fault::Full => return failed(2 * MS, Outcome::Full),
            Fault::Flaky if draw == 0 => return None,
            Fault::Flaky if draw == 1 => return failed(15 * MS, Outcome::Error),
            Fault::None | Fault::Slow | Fault::Flaky => {}
        }
        let slowness = if target.fault == Fault::Slow { 12 } else { 1 };
        let duration_us = transfer_us * (target.active / 8).max(1) * slowness + 10 * MS + jitter;
        let has_copy = target.cached_parts.contains(&part) || target.entry.kind != "cache";
        if self.one_in(200) {
            return failed(MS, Outcome::Moot);
        }
        if has_copy {
            let note = if self.one_in(9) {
                Note::Stale
            } else {
                Note::Hit
            };
            return Some((duration_us, Answer::of(Outcome::Ok, note)));
        }
        if fill.source == id {
            return failed(5 * MS, Outcome::Miss);
        }
        let (wait, answer) = self.fill(fill, part)?;
        let duration_us = if answer.outcome == Outcome::Ok {
            duration_us
        } else {
            0
        };
        Some((wait + duration_us, answer))
    }

    /// Returns the delay and the result of a fill from a source; `None` if it never answers.
    fn fill(&mut self, fill: &Fill, part: (u64, u64)) -> Option<(Micros, Answer)> {
        let first_byte_us = 8 * MS + self.below(6 * MS);
        let draw = self.below(3);
        let ended = |outcome, note| Some((first_byte_us, Answer::of(outcome, note)));
        let origin = self.servers.get(&21).map_or(Fault::Down, |s| s.fault);
        if self.one_in(80) {
            return ended(Outcome::Full, Note::NoFillPlace);
        }
        let Some(source) = self.servers.get_mut(&fill.source) else {
            return ended(Outcome::Full, Note::SourceLost);
        };
        match source.fault {
            Fault::Silent => return None,
            Fault::Down | Fault::Unreachable => return ended(Outcome::Full, Note::SourceLost),
            Fault::Resets => return ended(Outcome::Error, Note::SourceLost),
            Fault::Errors => return ended(Outcome::Error, Note::OriginFailed),
            Fault::Full => return ended(Outcome::Full, Note::SourceRefused),
            Fault::Flaky if draw == 0 => return None,
            Fault::None | Fault::Slow | Fault::Flaky => {}
        }
        let slowness = if source.fault == Fault::Slow { 20 } else { 1 };
        if source.cached_parts.contains(&part) {
            let first_byte_us = first_byte_us * slowness;
            let note = if self.one_in(12) {
                Note::Joined
            } else {
                Note::Filled
            };
            return Some((
                first_byte_us,
                Answer {
                    first_byte_us,
                    ..Answer::of(Outcome::Ok, note)
                },
            ));
        }
        if fill.only_if_cached {
            return ended(Outcome::Miss, Note::SourceLacks);
        }
        source.cached_parts.insert(part);
        let first_byte_us = match origin {
            Fault::Silent => return None,
            Fault::Down | Fault::Errors => return ended(Outcome::Error, Note::OriginFailed),
            Fault::Slow => 700 * MS + self.below(900 * MS),
            _ => 60 * MS + self.below(60 * MS),
        };
        let answer = Answer::of(Outcome::Ok, Note::FilledByOrigin);
        Some((
            first_byte_us,
            Answer {
                first_byte_us,
                ..answer
            },
        ))
    }
}
