//! Connections to boxes: many attempts share one, and answers come in any order. A link is one connection; it
//! knows frames and ids, not sockets.
//!
//! An attempt begins with the first byte of its frame that the socket takes. Until then it stays in the link's queue,
//! from where it can be recalled without a trace: whoever gives it up, a box that drains and a connection that never
//! comes up only take it out there. What an attempt may still do is asked when it begins, not when it was queued.

mod answers;
mod frames;
mod stream;

use crate::core::{AttemptId, AttemptResult, Core};
use crate::limits::Limits;
use crate::net::{Conn, Progress};
use crate::wire::resp;
use frames::frame;
use linnetknot::{Load, Micros, Outcome, ServerId};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use stream::{Sent, Stream, Unreported};

/// An attempt that has not begun.
struct Queued {
    attempt: AttemptId,
    since: Micros,
}

/// What a link tells.
#[derive(Debug, PartialEq)]
pub enum Told {
    /// The first byte of an attempt is written: from now on it can't be recalled.
    Begun(AttemptId),
    /// An attempt ended.
    Ended(AttemptId, AttemptResult),
    /// An answer has come, with the time at which the origin gave out its copy.
    Dated(Micros),
    /// A probe ended.
    Probed(Outcome, Micros, Option<Load>),
}

/// A connection to a box.
pub struct Link {
    /// The box.
    pub server: ServerId,
    /// Where it leads: a box may move, and its older connections then lead to what was there before.
    pub endpoint: Option<SocketAddr>,
    arrays: resp::Arrays,
    queue: VecDeque<Queued>,
    /// Ids whose abort has not begun.
    aborts: VecDeque<String>,
    open: HashMap<String, Stream>,
    probes: u64,
    /// When it was dialled.
    dialled: Micros,
    last_heard: Micros,
    /// When bytes last went either way.
    last_used: Micros,
    /// When something that is over is to be forgotten next.
    forgets: Option<Micros>,
    /// When the answer began that has come in part.
    half_since: Option<Micros>,
    /// A connection is taken for suspect once it has been silent for so long.
    suspect_us: Micros,
    /// Nothing came back for what was given up here: the other side may be gone without a word.
    suspect: bool,
    stalled: Option<(u64, Micros)>,
}

impl Link {
    /// A connection to a box, just begun.
    pub fn new(server: ServerId, limits: &Limits, now: Micros) -> Self {
        Link {
            server,
            endpoint: None,
            arrays: resp::Arrays::new(limits.object),
            queue: VecDeque::new(),
            aborts: VecDeque::new(),
            open: HashMap::new(),
            probes: 0,
            dialled: now,
            last_heard: now,
            last_used: now,
            forgets: None,
            half_since: None,
            suspect_us: limits.suspect_us,
            suspect: false,
            stalled: None,
        }
    }

    /// Attempts on it, if it can take one more under this id.
    pub fn room_for(&self, id: &str, core: &Core, limits: &Limits) -> Option<usize> {
        let live = self.open.values().filter(|s| s.is_live()).count() + self.queue.len();
        // Two clients may give one id: a second attempt under it here would take the first one's answer, also
        // where both still wait for the connection.
        let queued = |q: &Queued| {
            core.dispatch(q.attempt)
                .is_some_and(|dispatch| dispatch.request.id == id)
        };
        let free = self
            .open
            .get(id)
            .is_none_or(|s| matches!(s, Stream::GivenUp(_, None)))
            && !self.queue.iter().any(queued);
        (!self.suspect && live < limits.box_streams && free).then_some(live)
    }

    /// When the next attempt that was given up is reported as over.
    pub fn report_at(&self, limits: &Limits) -> Option<Micros> {
        let written = |s: &Stream| {
            if let Stream::GivenUp(_, Some(r)) = s {
                r.written
            } else {
                None
            }
        };
        self.open
            .values()
            .filter_map(written)
            .min()
            .map(|at| at + limits.give_up_us)
    }

    /// When an answer that has come in part will have stopped short, or will have taken longer than anybody waits for
    /// one: some never end.
    pub fn half_at(&self, limits: &Limits) -> Option<Micros> {
        let since = self.half_since?;
        Some((self.last_heard + limits.half_answer_us).min(since + limits.answer_us))
    }

    /// Whether what is sent on it now would wait behind an answer that comes slowly.
    pub fn is_held_up(&self, now: Micros, limits: &Limits) -> bool {
        self.half_since
            .is_some_and(|since| since + limits.half_answer_us <= now)
    }

    /// Whether an attempt under this id was given up here not long ago.
    pub fn gave_up(&self, id: &str) -> bool {
        matches!(self.open.get(id), Some(Stream::GivenUp(..)))
    }

    /// Whether nothing is open on it.
    pub fn is_idle(&self) -> bool {
        let over = |s: &Stream| matches!(s, Stream::GivenUp(_, None) | Stream::Answered(_));
        self.queue.is_empty() && self.open.values().all(over)
    }

    /// Whether nothing has gone either way for so long that its box may be about to end it: what is sent on it now may
    /// cross that end.
    pub fn is_stale(&self, now: Micros, limits: &Limits) -> bool {
        limits.box_idle_us > 0 && self.is_idle() && self.last_used + limits.box_idle_us <= now
    }

    /// Whether it should have come up by now: it may yet, but nothing new is to wait for it.
    pub fn is_late(&self, now: Micros, limits: &Limits) -> bool {
        self.dialled + limits.connect_us <= now
    }

    /// When it is given up if it has not come up by then.
    pub fn given_up_at(&self, limits: &Limits) -> Micros {
        self.dialled + limits.dial_us
    }

    /// When it was last of use.
    pub fn last_used(&self) -> Micros {
        self.last_used
    }

    /// When something last came from its box, or when it was dialled.
    pub fn last_heard(&self) -> Micros {
        self.last_heard
    }

    /// Whether it was silent for so long that it may lead nowhere any more.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Queues an attempt. Nothing of it is written before the connection is up and takes its first byte, so that what
    /// is given up or withdrawn until then never reaches the box.
    pub fn send(&mut self, now: Micros, attempt: AttemptId) {
        self.queue.push_back(Queued {
            attempt,
            since: now,
        });
    }

    /// Writes a probe, if the connection is up and takes it.
    pub fn probe(&mut self, now: Micros, conn: &mut Conn) -> bool {
        let id = format!("probe-{}", self.probes);
        let mut frame = Vec::new();
        resp::write_array(&mut frame, &[b"stats", id.as_bytes()]);
        if !conn.up || conn.is_stuck() || conn.begin(&frame) != Progress::Moved {
            return false;
        }
        self.probes += 1;
        self.open.insert(id, Stream::Probe(now));
        true
    }

    /// Begins what the connection takes, aborts first, and reports what was given up once its abort is written. False:
    /// the connection takes nothing more and must be broken off.
    pub fn pump(
        &mut self,
        now: Micros,
        conn: &mut Conn,
        core: &Core,
        limits: &Limits,
        events: &mut Vec<Told>,
    ) -> bool {
        // What waits for a connection goes on elsewhere in time, whether or not that comes up after all.
        let late = |q: &&Queued| !conn.up && q.since + limits.connect_us <= now;
        for q in self
            .queue
            .drain(..self.queue.iter().take_while(late).count())
        {
            events.push(Told::Ended(q.attempt, Outcome::Unreached.into()));
        }
        if conn.write() == Progress::Broken || !self.begin(now, conn, core, limits, events) {
            return false;
        }
        for stream in self.open.values_mut() {
            if let Stream::GivenUp(_, report) = stream {
                // The abort has a way to go: a further attempt at a nearer box must not overtake it.
                let over = |r: &mut Unreported| {
                    let written = r.end_offset.is_some_and(|end| end <= conn.written);
                    written && *r.written.get_or_insert(now) + limits.give_up_us <= now
                };
                if let Some(r) = report.take_if(over) {
                    events.push(Told::Ended(r.attempt, r.ended));
                }
            }
        }
        // What comes behind an answer that stopped short would be taken for its rest: the connection serves no
        // further use, also for all else that is open on it.
        if self.half_at(limits).is_some_and(|at| at <= now) {
            return false;
        }
        // A side that takes no bytes would keep what is given up here from ever being over.
        let stuck = conn.is_stuck();
        self.stalled = stuck.then(|| {
            self.stalled
                .filter(|s| s.0 == conn.written)
                .unwrap_or((conn.written, now))
        });
        self.stalled
            .is_none_or(|(_, since)| now - since < limits.stalled_us)
    }

    /// Begins one frame after the other while the socket takes each of them whole. False: the connection is broken.
    fn begin(
        &mut self,
        now: Micros,
        conn: &mut Conn,
        core: &Core,
        limits: &Limits,
        events: &mut Vec<Told>,
    ) -> bool {
        conn.unblock();
        while conn.up && conn.output.is_empty() {
            let progress = if let Some(id) = self.aborts.front().cloned() {
                self.begin_abort(conn, &id)
            } else if let Some(attempt) = self.queue.front().map(|q| q.attempt) {
                self.begin_attempt(now, conn, core, limits, attempt, events)
            } else {
                break;
            };
            match progress {
                Progress::Moved => {}
                end => return end != Progress::Broken,
            }
        }
        true
    }

    /// Begins the abort at the head of its queue, and takes it out there if the socket takes it.
    fn begin_abort(&mut self, conn: &mut Conn, id: &str) -> Progress {
        let mut frame = Vec::new();
        resp::write_array(&mut frame, &[b"abort", id.as_bytes()]);
        let progress = conn.begin(&frame);
        if progress == Progress::Moved {
            let end_offset = conn.written + conn.output.len() as u64;
            if let Some(Stream::GivenUp(_, Some(r))) = self.open.get_mut(id) {
                r.end_offset = Some(end_offset);
            }
            self.aborts.pop_front();
        }
        progress
    }

    /// Begins the attempt at the head of the queue, and takes it out there if the socket takes it. One that must not
    /// begin any more ends.
    fn begin_attempt(
        &mut self,
        now: Micros,
        conn: &mut Conn,
        core: &Core,
        limits: &Limits,
        attempt: AttemptId,
        events: &mut Vec<Told>,
    ) -> Progress {
        let frame =
            frame(core, now, attempt).filter(|frame| frame.bytes.len() <= limits.output_ring);
        let Some((frame, dispatch)) = frame.zip(core.dispatch(attempt)) else {
            events.push(Told::Ended(attempt, Outcome::Moot.into()));
            self.queue.pop_front();
            return Progress::Moved;
        };
        let progress = conn.begin(&frame.bytes);
        if progress == Progress::Moved {
            let end_offset = conn.written + conn.output.len() as u64;
            let behind = self.gave_up(&dispatch.request.id);
            let sent = Sent {
                attempt,
                at: now,
                origin_at: core.origin_time(now),
                end_offset,
                max_age_us: frame.max_age_us,
                behind,
            };
            self.open
                .insert(dispatch.request.id.clone(), Stream::Attempt(sent));
            self.last_used = now;
            events.push(Told::Begun(attempt));
            self.queue.pop_front();
        }
        progress
    }

    /// Gives an attempt up: takes it out of the queue, or has its box told by an abort, ahead of all that has not begun.
    pub fn give_up(&mut self, now: Micros, attempt: AttemptId) {
        if let Some(at) = self.queue.iter().position(|q| q.attempt == attempt) {
            self.queue.remove(at);
            return;
        }
        let is_it = |s: &Stream| matches!(s, Stream::Attempt(sent) if sent.attempt == attempt);
        let Some((id, Stream::Attempt(sent))) = self.open.iter().find(|(_, s)| is_it(s)) else {
            return;
        };
        self.suspect |= self.last_heard < sent.at && self.last_heard + self.suspect_us < now;
        let id = id.clone();
        self.abort(now, id, attempt, Outcome::Cancelled.into());
    }

    /// Has the box told that an attempt is given up; it is reported as ended in this way once that is on its way.
    fn abort(&mut self, now: Micros, id: String, attempt: AttemptId, ended: AttemptResult) {
        let report = Unreported {
            attempt,
            ended,
            end_offset: None,
            written: None,
        };
        self.aborts.push_back(id.clone());
        self.open.insert(id, Stream::GivenUp(now, Some(report)));
    }

    /// When the oldest of what is over and remembered is to be forgotten, unless that was told before and is to come: so
    /// a connection has one deadline for it, however much there is.
    pub fn forget_at(&mut self, now: Micros, limits: &Limits) -> Option<Micros> {
        if self.forgets.is_some_and(|at| at > now) {
            return None;
        }
        let over = |s: &Stream| match s {
            Stream::GivenUp(at, None) | Stream::Answered(at) => Some(*at),
            _ => None,
        };
        self.forgets = self
            .open
            .values()
            .filter_map(over)
            .min()
            .map(|at| at + limits.forget_us + 1);
        self.forgets
    }

    /// Forgets what was given up, or answered without being served, long enough ago.
    pub fn prune(&mut self, now: Micros, limits: &Limits) {
        let old = |s: &Stream| matches!(s, Stream::GivenUp(at, None) | Stream::Answered(at) if *at + limits.forget_us < now);
        self.open.retain(|_, s| !old(s));
    }

    /// Takes back what is not written yet and would go to this box or be filled from it.
    pub fn withdraw(&mut self, server: ServerId, core: &Core, events: &mut Vec<Told>) {
        self.queue.retain(|q| {
            let source = core
                .dispatch(q.attempt)
                .and_then(|dispatch| dispatch.target.fill)
                .map(|f| f.source);
            let keep = self.server != server && source != Some(server);
            if !keep {
                events.push(Told::Ended(q.attempt, Outcome::Moot.into()));
            }
            keep
        });
    }

    /// Takes out what has not begun, to go on elsewhere.
    pub fn take_queued(&mut self) -> Vec<AttemptId> {
        self.queue.drain(..).map(|queued| queued.attempt).collect()
    }

    /// The connection is over. What never arrived whole can't have run, and ends as `unsent`; the rest may have.
    pub fn broken(&mut self, unsent: Outcome, written: u64, events: &mut Vec<Told>) {
        for q in self.queue.drain(..) {
            events.push(Told::Ended(q.attempt, unsent.into()));
        }
        let mut open: Vec<_> = self.open.drain().collect();
        open.sort_by(|a, b| a.0.cmp(&b.0));
        for (_, stream) in open {
            events.push(match stream {
                Stream::Attempt(sent) if sent.end_offset > written => {
                    Told::Ended(sent.attempt, unsent.into())
                }
                Stream::Attempt(sent) => Told::Ended(sent.attempt, Outcome::Reset.into()),
                Stream::GivenUp(_, Some(r)) => Told::Ended(r.attempt, r.ended),
                Stream::GivenUp(_, None) | Stream::Answered(_) => continue,
                Stream::Probe(_) => Told::Probed(Outcome::Reset, 0, None),
            });
        }
    }
}
