//! Connections to boxes: many attempts share one, and answers come in any order. A link is one connection; it
//! knows frames and ids, not sockets.
//!
//! An attempt begins with the first byte of its frame that the socket takes. Until then it stays in the link's queue,
//! from where it can be recalled without a trace: whoever gives it up, a box that drains and a connection that never
//! comes up only take it out there. What an attempt may still do is asked when it begins, not when it was queued.

use crate::core::{Asked, AttemptId, Content, Core, Ended};
use crate::limits::Limits;
use crate::net::{Conn, Progress};
use crate::wire::{resp, Parser, WireError};
use linnetknot::{Load, Micros, Note, Outcome, ServerId};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// What is open on a link under an id.
enum Stream {
    Attempt(Sent),
    /// Given up at this time. A further attempt of the request at this box must come behind the abort, so it takes this
    /// connection: on another one the box might read it first and have two at once.
    GivenUp(Micros, Option<Unreported>),
    /// Answered without being served, at this time. A box may say it twice, and a further attempt of the request here
    /// would take the repeat for its own answer: it goes by another connection.
    Answered(Micros),
    /// A probe, sent at this time.
    Probe(Micros),
}

impl Stream {
    /// Whether something is out under its id.
    fn is_live(&self) -> bool {
        matches!(self, Stream::Attempt(_) | Stream::Probe(_))
    }
}

/// An attempt on its way.
struct Sent {
    attempt: AttemptId,
    at: Micros,
    /// So many bytes are written once it is whole.
    whole: u64,
    /// The oldest copy that will do, as its box was told.
    max_age_us: Option<Micros>,
    /// An attempt of the same request was given up here before it.
    behind: bool,
}

impl Sent {
    /// Whether an answer brings a copy from before what the attempt asked for: no box may give one, so it is
    /// not passed on.
    fn is_too_old(&self, fields: &[u8]) -> bool {
        let made = resp::field(fields, "made").and_then(|ms| ms.parse::<u64>().ok());
        made.zip(self.max_age_us).is_some_and(|(ms, age)| (ms + 1) * 1000 + age < self.at)
    }
}

/// An attempt that was given up and is not reported as ended yet.
struct Unreported {
    attempt: AttemptId,
    /// How it will be reported.
    ended: Ended,
    /// So many bytes are written once its abort is; none: that has not begun.
    whole: Option<u64>,
    /// When that was seen.
    written: Option<Micros>,
}

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
    Ended(AttemptId, Ended),
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

fn note(fields: &[u8]) -> Note {
    match resp::field(fields, "how") {
        Some("local") => Note::Hit,
        Some("pulled") => Note::Filled,
        Some("pulled_far") => Note::FilledByOrigin,
        Some("rode") => Note::Joined,
        Some("expired") => Note::Stale,
        Some("turned_away") => Note::SourceRefused,
        Some("cut_off") => Note::SourceLost,
        Some("not_there") => Note::SourceLacks,
        Some("no_place") => Note::NoFillPlace,
        Some("far_fault") => Note::OriginFailed,
        _ => Note::None,
    }
}

fn load(fields: &[u8]) -> Option<Load> {
    let stats = resp::field(fields, "stats")?;
    let value = |name: &str| {
        let of = |pair: &str| pair.split_once(':').filter(|(n, _)| *n == name)?.1.parse().ok();
        stats.split(';').find_map(of)
    };
    let (util, inflight) = (value("util"), value("inflight"));
    Some(Load { util, inflight, hit_share: value("x0"), link_use: value("x1") })
}

fn ended(word: &[u8], fields: &[u8], body: Vec<u8>, asked: Option<&Asked>) -> Ended {
    let (outcome, content) = match word {
        b"200" => (
            Outcome::Ok,
            Some(Content::Object { bytes: body, tag: resp::field(fields, "etag").map(str::to_owned) }),
        ),
        // A copy is only called current where the box names it: an answer that names none, or another, may belong to
        // something else.
        b"304"
            if asked
                .is_some_and(|a| a.have.is_some() && a.have.as_deref() == resp::field(fields, "etag")) =>
        {
            (Outcome::Ok, Some(Content::Unchanged))
        }
        b"404" => (Outcome::Miss, None),
        b"503" => (Outcome::Full, None),
        b"504" => (Outcome::Moot, None),
        // Also what this page does not know: it may have run.
        _ => (Outcome::Error, None),
    };
    let waited = resp::field(fields, "ttfb").and_then(|ms| ms.parse::<f64>().ok()).unwrap_or(0.0);
    Ended {
        outcome,
        note: note(fields),
        waited_us: (waited.max(0.0) * 1e3) as Micros,
        load: load(fields),
        content,
    }
}

/// The frame of an attempt, and the oldest copy that it lets pass; none where it must not begin any more.
fn frame(core: &Core, now: Micros, attempt: AttemptId) -> Option<(Vec<u8>, Option<Micros>)> {
    let (asked, sending) = core.beginning(now, attempt)?;
    let mut fields = format!("class={},key={},part={}", asked.class, asked.object, asked.part);
    let mut add = |name: &str, value: &str| {
        fields.extend([",", name, "=", value]);
    };
    add("wait", &(sending.until.saturating_sub(now) / 1000).max(1).to_string());
    if let Some(once) = &asked.once {
        add("once", once);
    }
    if let Some(fill) = &sending.fill {
        if fill.source != sending.server {
            add("src", core.location(fill.source)?.0);
        }
        if fill.keep > 0 {
            add("keep", &fill.keep.to_string());
        }
        if let Some(age) = fill.max_age_us {
            // Rounded down, so that no copy from before a purge passes; 0 would mean the class's fresh time.
            add("maxage", &(age / 1000).max(1).to_string());
        }
        let words = [
            (fill.join, "wait-for"),
            (fill.only_held, "no-fetch"),
            (fill.bypass_parent, "no-keep"),
            (fill.renew, "background"),
        ];
        let words: Vec<&str> = words.iter().filter(|w| w.0).map(|w| w.1).collect();
        if !words.is_empty() {
            add("flags", &words.join("+"));
        }
    }
    if let Some(have) = &asked.have {
        add("have", have);
    }
    let mut out = Vec::with_capacity(fields.len() + asked.body.len() + 80);
    resp::write_array(&mut out, &[b"fetch", asked.id.as_bytes(), fields.as_bytes(), &asked.body]);
    Some((out, sending.fill.and_then(|f| f.max_age_us)))
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
        let queued = |q: &Queued| core.sending(q.attempt).is_some_and(|(asked, _)| asked.id == id);
        let free = self.open.get(id).is_none_or(|s| matches!(s, Stream::GivenUp(_, None)))
            && !self.queue.iter().any(queued);
        (!self.suspect && live < limits.box_streams && free).then_some(live)
    }

    /// When the next attempt that was given up is reported as over.
    pub fn report_at(&self, limits: &Limits) -> Option<Micros> {
        let written = |s: &Stream| if let Stream::GivenUp(_, Some(r)) = s { r.written } else { None };
        self.open.values().filter_map(written).min().map(|at| at + limits.give_up_us)
    }

    /// When an answer that has come in part will have stopped short, or will have taken longer than anybody waits for
    /// one: some never end.
    pub fn half_at(&self, limits: &Limits) -> Option<Micros> {
        let since = self.half_since?;
        Some((self.last_heard + limits.half_answer_us).min(since + limits.answer_us))
    }

    /// Whether what is sent on it now would wait behind an answer that comes slowly.
    pub fn is_held_up(&self, now: Micros, limits: &Limits) -> bool {
        self.half_since.is_some_and(|since| since + limits.half_answer_us <= now)
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
        self.queue.push_back(Queued { attempt, since: now });
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
        told: &mut Vec<Told>,
    ) -> bool {
        // What waits for a connection goes on elsewhere in time, whether or not that comes up after all.
        let late = |q: &&Queued| !conn.up && q.since + limits.connect_us <= now;
        for q in self.queue.drain(..self.queue.iter().take_while(late).count()) {
            told.push(Told::Ended(q.attempt, Outcome::Unreached.into()));
        }
        if conn.write() == Progress::Broken || !self.begin(now, conn, core, limits, told) {
            return false;
        }
        for stream in self.open.values_mut() {
            if let Stream::GivenUp(_, report) = stream {
                // The abort has a way to go: a further attempt at a nearer box must not overtake it.
                let over = |r: &mut Unreported| {
                    let written = r.whole.is_some_and(|whole| whole <= conn.written);
                    written && *r.written.get_or_insert(now) + limits.give_up_us <= now
                };
                if let Some(r) = report.take_if(over) {
                    told.push(Told::Ended(r.attempt, r.ended));
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
        self.stalled =
            stuck.then(|| self.stalled.filter(|s| s.0 == conn.written).unwrap_or((conn.written, now)));
        self.stalled.is_none_or(|(_, since)| now - since < limits.stalled_us)
    }

    /// Begins one frame after the other while the socket takes each of them whole. False: the connection is broken.
    fn begin(
        &mut self,
        now: Micros,
        conn: &mut Conn,
        core: &Core,
        limits: &Limits,
        told: &mut Vec<Told>,
    ) -> bool {
        conn.unblock();
        while conn.up && conn.output.is_empty() {
            if let Some(id) = self.aborts.front() {
                let mut frame = Vec::new();
                resp::write_array(&mut frame, &[b"abort", id.as_bytes()]);
                match conn.begin(&frame) {
                    Progress::Moved => {}
                    end => return end != Progress::Broken,
                }
                let whole = conn.written + conn.output.len() as u64;
                if let Some(Stream::GivenUp(_, Some(r))) = self.open.get_mut(id) {
                    r.whole = Some(whole);
                }
                self.aborts.pop_front();
                continue;
            }
            let Some(attempt) = self.queue.front().map(|q| q.attempt) else { break };
            let frame = frame(core, now, attempt).filter(|(frame, _)| frame.len() <= limits.output_ring);
            match frame.zip(core.sending(attempt)) {
                None => told.push(Told::Ended(attempt, Outcome::Moot.into())),
                Some(((frame, max_age_us), (asked, _))) => {
                    match conn.begin(&frame) {
                        Progress::Moved => {}
                        end => return end != Progress::Broken,
                    }
                    let whole = conn.written + conn.output.len() as u64;
                    let behind = self.gave_up(&asked.id);
                    let sent = Sent { attempt, at: now, whole, max_age_us, behind };
                    self.open.insert(asked.id.clone(), Stream::Attempt(sent));
                    self.last_used = now;
                    told.push(Told::Begun(attempt));
                }
            }
            self.queue.pop_front();
        }
        true
    }

    /// Gives an attempt up: takes it out of the queue, or has its box told by an abort, ahead of all that has not begun.
    pub fn give_up(&mut self, now: Micros, attempt: AttemptId) {
        if let Some(at) = self.queue.iter().position(|q| q.attempt == attempt) {
            self.queue.remove(at);
            return;
        }
        let is_it = |s: &Stream| matches!(s, Stream::Attempt(sent) if sent.attempt == attempt);
        let Some((id, Stream::Attempt(sent))) = self.open.iter().find(|(_, s)| is_it(s)) else { return };
        self.suspect |= self.last_heard < sent.at && self.last_heard + self.suspect_us < now;
        let id = id.clone();
        self.abort(now, id, attempt, Outcome::Cancelled.into());
    }

    /// Has the box told that an attempt is given up; it is reported as ended in this way once that is on its way.
    fn abort(&mut self, now: Micros, id: String, attempt: AttemptId, ended: Ended) {
        let report = Unreported { attempt, ended, whole: None, written: None };
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
        self.forgets = self.open.values().filter_map(over).min().map(|at| at + limits.forget_us + 1);
        self.forgets
    }

    /// Forgets what was given up, or answered without being served, long enough ago.
    pub fn prune(&mut self, now: Micros, limits: &Limits) {
        let old = |s: &Stream| matches!(s, Stream::GivenUp(at, None) | Stream::Answered(at) if *at + limits.forget_us < now);
        self.open.retain(|_, s| !old(s));
    }

    /// Takes back what is not written yet and would go to this box or be filled from it.
    pub fn withdraw(&mut self, server: ServerId, core: &Core, told: &mut Vec<Told>) {
        self.queue.retain(|q| {
            let source = core.sending(q.attempt).and_then(|(_, s)| s.fill).map(|f| f.source);
            let keep = self.server != server && source != Some(server);
            if !keep {
                told.push(Told::Ended(q.attempt, Outcome::Moot.into()));
            }
            keep
        });
    }

    /// Reads what came in.
    pub fn read(
        &mut self,
        now: Micros,
        conn: &mut Conn,
        core: &Core,
        told: &mut Vec<Told>,
    ) -> Result<(), WireError> {
        while !conn.input.is_empty() {
            let (taken, array) = self.arrays.parse(conn.input.front())?;
            conn.input.consume(taken);
            let since = self.half_since.filter(|_| array.is_none()).unwrap_or(now);
            self.half_since = self.arrays.is_half().then_some(since);
            (self.last_heard, self.last_used) = (now, now);
            self.suspect = false;
            let Some(array) = array else { continue };
            let mut items = array.into_iter();
            let (Some(id), Some(word)) = (items.next(), items.next()) else {
                return Err(WireError::Malformed("a box's answer"));
            };
            let (fields, body) = (items.next().unwrap_or_default(), items.next().unwrap_or_default());
            let Ok(id) = std::str::from_utf8(&id) else { continue };
            match self.open.get_mut(id) {
                Some(Stream::Attempt(sent)) => {
                    if sent.whole > conn.written {
                        // Nobody can have read what it answers: whatever speaks there, it is not the protocol.
                        return Err(WireError::Malformed(
                            "a box's answer to what it has not been sent whole",
                        ));
                    }
                    let (attempt, old) = (sent.attempt, sent.is_too_old(&fields));
                    // The answer to the attempt before may have crossed its abort: which of the two this one ends is
                    // not known.
                    let unclear = std::mem::take(&mut sent.behind);
                    if old && unclear {
                        log::info!("an answer from before the attempt that it would end was passed over");
                        continue;
                    }
                    if old {
                        log::warn!("a box gave a copy from before what was asked for");
                    }
                    let asked = core.sending(attempt).map(|s| s.0);
                    let ended = if old { Outcome::Error.into() } else { ended(&word, &fields, body, asked) };
                    if ended.outcome == Outcome::Ok {
                        self.open.remove(id);
                    } else if unclear {
                        // What is still out must be over before a further attempt begins.
                        self.abort(now, id.to_owned(), attempt, ended);
                        continue;
                    } else {
                        self.open.insert(id.to_owned(), Stream::Answered(now));
                    }
                    told.push(Told::Ended(attempt, ended));
                }
                // It came before the attempt was over: then this is how it ended.
                Some(Stream::GivenUp(at, report @ Some(_))) => {
                    let (at, Some(r)) = (*at, report.take()) else { continue };
                    let asked = core.sending(r.attempt).map(|s| s.0);
                    told.push(Told::Ended(r.attempt, ended(&word, &fields, body, asked)));
                    if r.whole.is_none() {
                        self.aborts.retain(|abort| abort != id);
                        self.open.insert(id.to_owned(), Stream::Answered(at));
                    }
                }
                Some(Stream::Probe(sent)) => {
                    let alive = matches!(word.as_slice(), b"alive" | b"status" | b"200");
                    let outcome = if alive { Outcome::Ok } else { Outcome::Error };
                    told.push(Told::Probed(outcome, now.saturating_sub(*sent), load(&fields)));
                    self.open.remove(id);
                }
                Some(Stream::GivenUp(_, None) | Stream::Answered(_)) | None => {
                    log::debug!("a box answered what is not open")
                }
            }
        }
        Ok(())
    }

    /// The connection is over. What never arrived whole can't have run, and ends as `unsent`; the rest may have.
    pub fn broken(&mut self, unsent: Outcome, written: u64, told: &mut Vec<Told>) {
        for q in self.queue.drain(..) {
            told.push(Told::Ended(q.attempt, unsent.into()));
        }
        let mut open: Vec<_> = self.open.drain().collect();
        open.sort_by(|a, b| a.0.cmp(&b.0));
        for (_, stream) in open {
            told.push(match stream {
                Stream::Attempt(sent) if sent.whole > written => Told::Ended(sent.attempt, unsent.into()),
                Stream::Attempt(sent) => Told::Ended(sent.attempt, Outcome::Reset.into()),
                Stream::GivenUp(_, Some(r)) => Told::Ended(r.attempt, r.ended),
                Stream::GivenUp(_, None) | Stream::Answered(_) => continue,
                Stream::Probe(_) => Told::Probed(Outcome::Reset, 0, None),
            });
        }
    }
}
