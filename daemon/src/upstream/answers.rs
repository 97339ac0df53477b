//! Reading the answers that come in on a link.

use super::frames::{ended, load};
use super::stream::{made_ms, Stream};
use super::{Link, Told};
use crate::core::Core;
use crate::net::Conn;
use crate::wire::{Parser, WireError};
use linnetknot::{Micros, Outcome};

/// An answer as it came.
struct Answer {
    id: String,
    word: Vec<u8>,
    fields: Vec<u8>,
    body: Vec<u8>,
}

impl Answer {
    /// An answer from the items of its frame; none where its id is no text.
    fn new(items: Vec<Vec<u8>>) -> Result<Option<Self>, WireError> {
        let mut items = items.into_iter();
        let (Some(id), Some(word)) = (items.next(), items.next()) else {
            return Err(WireError::Malformed("a box's answer"));
        };
        let (fields, body) = (
            items.next().unwrap_or_default(),
            items.next().unwrap_or_default(),
        );
        let Ok(id) = String::from_utf8(id) else {
            return Ok(None);
        };
        Ok(Some(Answer {
            id,
            word,
            fields,
            body,
        }))
    }
}

impl Link {
    /// Reads what came in.
    pub fn read(
        &mut self,
        now: Micros,
        conn: &mut Conn,
        core: &Core,
        events: &mut Vec<Told>,
    ) -> Result<(), WireError> {
        while !conn.input.is_empty() {
            let (taken, array) = self.arrays.parse(conn.input.front())?;
            conn.input.consume(taken);
            let since = self.half_since.filter(|_| array.is_none()).unwrap_or(now);
            self.half_since = self.arrays.is_half().then_some(since);
            (self.last_heard, self.last_used) = (now, now);
            self.suspect = false;
            let Some(items) = array else { continue };
            let Some(answer) = Answer::new(items)? else {
                continue;
            };
            self.take_answer(now, conn.written, core, answer, events)?;
        }
        Ok(())
    }

    /// Takes an answer to what is open under its id, when so many bytes have been written to the connection.
    fn take_answer(
        &mut self,
        now: Micros,
        written: u64,
        core: &Core,
        answer: Answer,
        events: &mut Vec<Told>,
    ) -> Result<(), WireError> {
        match self.open.get(&answer.id) {
            Some(Stream::Attempt(sent)) if sent.end_offset > written => {
                // Nobody can have read what it answers: whatever speaks there, it is not the protocol.
                return Err(WireError::Malformed(
                    "a box's answer to what it has not been sent whole",
                ));
            }
            Some(Stream::Attempt(_)) => self.answered(now, core, answer, events),
            Some(Stream::GivenUp(_, Some(_))) => self.answered_given_up(core, answer, events),
            Some(Stream::Probe(sent)) => {
                let alive = matches!(answer.word.as_slice(), b"alive" | b"status" | b"200");
                let outcome = if alive { Outcome::Ok } else { Outcome::Error };
                events.push(Told::Probed(
                    outcome,
                    now.saturating_sub(*sent),
                    load(&answer.fields),
                ));
                self.open.remove(&answer.id);
            }
            Some(Stream::GivenUp(_, None) | Stream::Answered(_)) | None => {
                log::debug!("a box answered what is not open");
            }
        }
        Ok(())
    }

    /// Takes the answer to an attempt.
    fn answered(&mut self, now: Micros, core: &Core, answer: Answer, events: &mut Vec<Told>) {
        let Answer {
            id,
            word,
            fields,
            body,
        } = answer;
        let Some(Stream::Attempt(sent)) = self.open.get_mut(&id) else {
            return;
        };
        let (attempt, old) = (sent.attempt, sent.is_too_old(&fields));
        if let Some(made) = made_ms(&fields).and_then(|ms| ms.checked_mul(1000)) {
            events.push(Told::Dated(made));
        }
        // The answer to the attempt before may have crossed its abort: which of the two this one ends is not known.
        let unclear = std::mem::take(&mut sent.behind);
        if old && unclear {
            log::info!("an answer from before the attempt that it would end was passed over");
            return;
        }
        if old {
            log::warn!("a box gave a copy from before what was asked for");
        }
        let asked = core.dispatch(attempt).map(|d| d.request);
        let ended = if old {
            Outcome::Error.into()
        } else {
            ended(&word, &fields, body, asked)
        };
        if ended.outcome == Outcome::Ok {
            self.open.remove(&id);
        } else if unclear {
            // What is still out must be over before a further attempt begins.
            self.abort(now, id, attempt, ended);
            return;
        } else {
            self.open.insert(id, Stream::Answered(now));
        }
        events.push(Told::Ended(attempt, ended));
    }

    /// Takes the answer to an attempt that was given up. It came before the attempt was over: then this is how it ended.
    fn answered_given_up(&mut self, core: &Core, answer: Answer, events: &mut Vec<Told>) {
        let Answer {
            id,
            word,
            fields,
            body,
        } = answer;
        let Some(Stream::GivenUp(at, report)) = self.open.get_mut(&id) else {
            return;
        };
        let (at, Some(r)) = (*at, report.take()) else {
            return;
        };
        let asked = core.dispatch(r.attempt).map(|d| d.request);
        events.push(Told::Ended(r.attempt, ended(&word, &fields, body, asked)));
        if r.end_offset.is_none() {
            self.aborts.retain(|abort| *abort != id);
            self.open.insert(id, Stream::Answered(at));
        }
    }
}
