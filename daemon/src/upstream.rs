//! Connections to boxes: many attempts share one, and answers come in any order. A link is one connection; it
//! knows frames and ids, not sockets.

use crate::core::{Asked, AttemptId, Content, Core, Ended};
use crate::limits::Limits;
use crate::net::Conn;
use crate::wire::{resp, Parser, WireError};
use linnetknot::{Load, Micros, Note, Outcome, ServerId};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// What is open on a link under an id.
enum Stream {
    Attempt(Sent),
    /// Given up at this time. A further attempt of the request at this box must come behind the word of it, so
    /// it takes this connection: on another one the box might read it first and have two at once.
    GivenUp(Micros, Option<Unreported>),
    /// A probe, sent at this time.
    Probe(Micros),
}

/// An attempt on its way.
struct Sent {
    attempt: AttemptId,
    at: Micros,
    /// So many bytes are written once it is whole.
    whole: u64,
    /// An attempt of the same request was given up here before it.
    behind: bool,
}

impl Sent {
    /// Whether an answer brings a copy from before what the attempt asked for: no box may give one, so it is
    /// not passed on.
    fn is_too_old(&self, core: &Core, fields: &[u8]) -> bool {
        let age = core.sending(self.attempt).and_then(|(_, s)| s.fill?.max_age_us);
        let made = resp::field(fields, "made").and_then(|ms| ms.parse::<u64>().ok());
        made.zip(age).is_some_and(|(ms, age)| (ms + 1) * 1000 + age < self.at)
    }
}

/// An attempt that was given up and is not reported as ended yet.
struct Unreported {
    attempt: AttemptId,
    /// So many bytes are written once the word of it is.
    whole: u64,
    /// When that was seen.
    written: Option<Micros>,
}

/// What a link tells.
#[derive(Debug, PartialEq)]
pub enum Told {
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
    queue: VecDeque<AttemptId>,
    open: HashMap<String, Stream>,
    probes: u64,
    last_heard: Micros,
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
        b"304" if asked.is_some_and(|a| a.have.is_some()) => (Outcome::Ok, Some(Content::Unchanged)),
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

/// The frame of an attempt.
fn frame(core: &Core, now: Micros, attempt: AttemptId) -> Option<Vec<u8>> {
    let (asked, sending) = core.sending(attempt)?;
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
    Some(out)
}

impl Link {
    /// A connection to a box, just begun.
    pub fn new(server: ServerId, limits: &Limits, now: Micros) -> Self {
        Link {
            server,
            endpoint: None,
            arrays: resp::Arrays::new(limits.object),
            queue: VecDeque::new(),
            open: HashMap::new(),
            probes: 0,
            last_heard: now,
            suspect_us: limits.suspect_us,
            suspect: false,
            stalled: None,
        }
    }

    /// Attempts on it, if it can take one more under this id.
    pub fn room_for(&self, id: &str, core: &Core, limits: &Limits) -> Option<usize> {
        let live =
            self.open.values().filter(|s| !matches!(s, Stream::GivenUp(..))).count() + self.queue.len();
        // Two clients may give one id: a second attempt under it here would take the first one's answer, also
        // where both still wait for the connection.
        let queued = |a: &AttemptId| core.sending(*a).is_some_and(|(asked, _)| asked.id == id);
        let free = self.open.get(id).is_none_or(|s| matches!(s, Stream::GivenUp(_, None)))
            && !self.queue.iter().any(queued);
        (!self.suspect && live < limits.box_streams && free).then_some(live)
    }

    /// When the next attempt that was given up is reported as over.
    pub fn report_at(&self, limits: &Limits) -> Option<Micros> {
        let written = |s: &Stream| if let Stream::GivenUp(_, Some(r)) = s { r.written } else { None };
        self.open.values().filter_map(written).min().map(|at| at + limits.give_up_us)
    }

    /// When an answer that has come in part will have stopped short.
    pub fn half_at(&self, limits: &Limits) -> Option<Micros> {
        self.arrays.is_half().then(|| self.last_heard + limits.half_answer_us)
    }

    /// Whether an attempt under this id was given up here not long ago.
    pub fn gave_up(&self, id: &str) -> bool {
        matches!(self.open.get(id), Some(Stream::GivenUp(..)))
    }

    /// Whether nothing is open on it.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.open.values().all(|s| matches!(s, Stream::GivenUp(_, None)))
    }

    /// Whether it was silent for so long that it may lead nowhere any more.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Queues an attempt. Nothing is written before the connection is up and takes it whole, so that what is
    /// given up or withdrawn until then never reaches the box.
    pub fn send(&mut self, attempt: AttemptId) {
        self.queue.push_back(attempt);
    }

    /// Writes a probe, if the connection is up and takes it.
    pub fn probe(&mut self, now: Micros, conn: &mut Conn) -> bool {
        let id = format!("probe-{}", self.probes);
        let mut frame = Vec::new();
        resp::write_array(&mut frame, &[b"stats", id.as_bytes()]);
        if !conn.up || conn.output.room() < frame.len() {
            return false;
        }
        conn.output.push(&frame);
        self.probes += 1;
        self.open.insert(id, Stream::Probe(now));
        true
    }

    /// Moves queued attempts into the connection's ring and reports what was given up once that is written.
    /// False: the connection takes nothing more and must be broken off.
    pub fn pump(
        &mut self,
        now: Micros,
        conn: &mut Conn,
        core: &Core,
        limits: &Limits,
        told: &mut Vec<Told>,
    ) -> bool {
        while conn.up && conn.output.len() < limits.output_ring / 4 {
            let Some(attempt) = self.queue.front().copied() else { break };
            if let Some(frame) = frame(core, now, attempt) {
                if frame.len() > limits.output_ring {
                    told.push(Told::Ended(attempt, Outcome::Moot.into()));
                } else if frame.len() > conn.output.room() {
                    break;
                } else if let Some((asked, _)) = core.sending(attempt) {
                    conn.output.push(&frame);
                    let whole = conn.written + conn.output.len() as u64;
                    let behind = self.gave_up(&asked.id);
                    let sent = Sent { attempt, at: now, whole, behind };
                    self.open.insert(asked.id.clone(), Stream::Attempt(sent));
                }
            } else {
                told.push(Told::Ended(attempt, Outcome::Moot.into()));
            }
            self.queue.pop_front();
        }
        if conn.write() == crate::net::Progress::Broken {
            return false;
        }
        for stream in self.open.values_mut() {
            if let Stream::GivenUp(_, report) = stream {
                // The word of it has a way to go: a further attempt at a nearer box must not overtake it.
                let over = |r: &mut Unreported| {
                    let written = r.whole <= conn.written;
                    written && *r.written.get_or_insert(now) + limits.give_up_us <= now
                };
                if let Some(r) = report.take_if(over) {
                    told.push(Told::Ended(r.attempt, Outcome::Cancelled.into()));
                }
            }
        }
        // What comes behind an answer that stopped short would be taken for its rest: the connection serves no
        // further use, also for all else that is open on it.
        if self.half_at(limits).is_some_and(|at| at <= now) {
            return false;
        }
        // A side that takes no bytes would keep what is given up here from ever being over.
        let waiting = conn.up && !conn.output.is_empty();
        self.stalled =
            waiting.then(|| self.stalled.filter(|s| s.0 == conn.written).unwrap_or((conn.written, now)));
        self.stalled.is_none_or(|(_, since)| now - since < limits.stalled_us)
    }

    /// Gives an attempt up: takes it out of the queue, or tells the box. False: the connection has no room
    /// even for that.
    pub fn give_up(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        conn: &mut Conn,
        told: &mut Vec<Told>,
    ) -> bool {
        if let Some(at) = self.queue.iter().position(|a| *a == attempt) {
            self.queue.remove(at);
            told.push(Told::Ended(attempt, Outcome::Cancelled.into()));
            return true;
        }
        let is_it = |s: &Stream| matches!(s, Stream::Attempt(sent) if sent.attempt == attempt);
        let Some((id, stream)) = self.open.iter_mut().find(|(_, s)| is_it(s)) else { return true };
        let mut frame = Vec::new();
        resp::write_array(&mut frame, &[b"abort", id.as_bytes()]);
        if conn.output.room() < frame.len() {
            return false;
        }
        conn.output.push(&frame);
        if let Stream::Attempt(sent) = stream {
            let silent = self.last_heard < sent.at && self.last_heard + self.suspect_us < now;
            self.suspect |= silent;
        }
        let whole = conn.written + conn.output.len() as u64;
        *stream = Stream::GivenUp(now, Some(Unreported { attempt, whole, written: None }));
        true
    }

    /// Forgets what was given up long enough ago.
    pub fn prune(&mut self, now: Micros, limits: &Limits) {
        self.open.retain(|_, s| !matches!(s, Stream::GivenUp(at, None) if *at + limits.forget_us < now));
    }

    /// Takes back what is not written yet and would go to this box or be filled from it.
    pub fn withdraw(&mut self, server: ServerId, core: &Core, told: &mut Vec<Told>) {
        self.queue.retain(|attempt| {
            let source = core.sending(*attempt).and_then(|(_, s)| s.fill).map(|f| f.source);
            let keep = self.server != server && source != Some(server);
            if !keep {
                told.push(Told::Ended(*attempt, Outcome::Moot.into()));
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
            self.last_heard = now;
            self.suspect = false;
            let Some(array) = array else { continue };
            let mut items = array.into_iter();
            let (Some(id), Some(word)) = (items.next(), items.next()) else {
                return Err(WireError::Malformed("a box's answer"));
            };
            let (fields, body) = (items.next().unwrap_or_default(), items.next().unwrap_or_default());
            let Ok(id) = std::str::from_utf8(&id) else { continue };
            let old =
                matches!(self.open.get(id), Some(Stream::Attempt(sent)) if sent.is_too_old(core, &fields));
            if let Some(Stream::Attempt(sent)) = self.open.get_mut(id).filter(|_| old) {
                // The answer to the attempt before may have crossed the word that it is given up: that one is
                // over, and this one is still out.
                if std::mem::take(&mut sent.behind) {
                    log::info!("an answer from before the attempt that it would end was passed over");
                    continue;
                }
            }
            let stream = self.open.remove(id);
            match stream {
                Some(Stream::Attempt(Sent { attempt, .. })) if old => {
                    log::warn!("a box gave a copy from before what was asked for");
                    told.push(Told::Ended(attempt, Outcome::Error.into()));
                }
                Some(Stream::Attempt(Sent { attempt, .. })) => {
                    let asked = core.sending(attempt).map(|s| s.0);
                    told.push(Told::Ended(attempt, ended(&word, &fields, body, asked)));
                }
                // It came before the attempt was over: then this is how it ended.
                Some(Stream::GivenUp(_, Some(Unreported { attempt, .. }))) => {
                    let asked = core.sending(attempt).map(|s| s.0);
                    told.push(Told::Ended(attempt, ended(&word, &fields, body, asked)));
                }
                Some(Stream::Probe(sent)) => {
                    let alive = matches!(word.as_slice(), b"alive" | b"status" | b"200");
                    let outcome = if alive { Outcome::Ok } else { Outcome::Error };
                    told.push(Told::Probed(outcome, now.saturating_sub(sent), load(&fields)));
                }
                Some(Stream::GivenUp(_, None)) | None => log::debug!("a box answered what is not open"),
            }
        }
        Ok(())
    }

    /// The connection is over. What never arrived whole can't have run; the rest may have. Only one that never
    /// came up tells that its box can't be reached.
    pub fn broken(self, up: bool, written: u64, told: &mut Vec<Told>) {
        let unsent = if up { Outcome::Moot } else { Outcome::ConnectFailed };
        for attempt in self.queue {
            told.push(Told::Ended(attempt, unsent.into()));
        }
        let mut open: Vec<_> = self.open.into_iter().collect();
        open.sort_by(|a, b| a.0.cmp(&b.0));
        for (_, stream) in open {
            told.push(match stream {
                Stream::Attempt(sent) if sent.whole > written => Told::Ended(sent.attempt, unsent.into()),
                Stream::Attempt(sent) => Told::Ended(sent.attempt, Outcome::Reset.into()),
                Stream::GivenUp(_, Some(r)) => Told::Ended(r.attempt, Outcome::Cancelled.into()),
                Stream::GivenUp(_, None) => continue,
                Stream::Probe(_) => Told::Probed(Outcome::Reset, 0, None),
            });
        }
    }
}
