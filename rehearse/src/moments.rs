//! Faults by moments: several daemons that keep each other's promises, one of which dies, stands still or is cut off at
//! a moment of a promise drawn in advance, and comes back with its disk or on a new machine. What was answered yes must
//! hold. The daemon needs its named points (`--features points`).

use crate::clients::becomes;
use crate::fleet::{status_path, Disk, Fleet, Setup};
use crate::gates::Weather;
use crate::rules::promises::{judge, Answer, Held, Promises, Told};
use crate::rules::Breach;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

/// Proxies of a play.
const PROXIES: usize = 3;
/// How long all may take to agree.
const AGREE: Duration = Duration::from_secs(20);
/// How long a death or a successor may take to be known.
const KNOWN: Duration = Duration::from_secs(20);
/// What the proxies are told of the time for an answer.
const WITHIN_US: u64 = 1_000_000;
/// How late the kit may be: its threads share the cores with the daemons.
const LATE_US: u64 = 500_000;

/// When and to whom it happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Moment {
    /// The writer dies before it tells anybody.
    WriterBeforeTelling,
    /// It dies once it has told its peers.
    WriterAfterTelling,
    /// It dies before its disk has it.
    WriterBeforeDisk,
    /// It dies once its disk has it.
    WriterAfterDisk,
    /// It dies with all copies made, before its yes.
    WriterBeforeYes,
    /// It is killed the moment after its yes.
    WriterAfterYes,
    /// It is cut off from all, told, and lost before the links are back.
    WriterCut,
    /// Its disk takes nothing more.
    WriterDiskFails,
    /// A holder dies before its disk has the copy.
    HolderBeforeDisk,
    /// It dies once its disk has it.
    HolderAfterDisk,
    /// It dies before it says so.
    HolderBeforeWord,
    /// It stands still, and is lost.
    HolderStalled,
    /// It is cut off for one promise and joined for the next; the writer is lost then.
    HolderCut,
    /// The writer stands still while another takes its name, and goes on.
    Successor,
}

/// All moments, with what is armed at them.
pub const MOMENTS: [(Moment, &str, &str); 14] = [
    (Moment::WriterBeforeTelling, "writer-before-telling", "peers-tell=die"),
    (Moment::WriterAfterTelling, "writer-after-telling", "peers-told=die"),
    (Moment::WriterBeforeDisk, "writer-before-disk", "store-commits=die"),
    (Moment::WriterAfterDisk, "writer-after-disk", "store-committed=die"),
    (Moment::WriterBeforeYes, "writer-before-yes", "promise-kept=die"),
    (Moment::WriterAfterYes, "writer-after-yes", ""),
    (Moment::WriterCut, "writer-cut", ""),
    (Moment::WriterDiskFails, "writer-disk-fails", "store-fails=fail"),
    (Moment::HolderBeforeDisk, "holder-before-disk", "store-commits=die"),
    (Moment::HolderAfterDisk, "holder-after-disk", "store-committed=die"),
    (Moment::HolderBeforeWord, "holder-before-word", "holder-says=die"),
    (Moment::HolderStalled, "holder-stalled", ""),
    (Moment::HolderCut, "holder-cut", ""),
    (Moment::Successor, "successor", ""),
];

/// Faults that can be planted in the daemons, so that the rules have something to find.
pub const PLANTS: [(&str, &str, &str); 3] = [
    ("credit", "plant-credit=fail", "a yes before the copy"),
    ("skip", "plant-skip=fail", "a catch-up that skips what is missing"),
    ("no-fence", "plant-no-fence=fail", "a replaced process that goes on promising"),
];

/// One play to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Case {
    /// The moment, by its place in `MOMENTS`.
    pub moment: usize,
    /// How the one it happens to comes back.
    pub disk: Disk,
    /// For the weather, who is who, and what the gates draw.
    pub seed: u64,
}

/// So many plays, through all moments and both disks in turn.
pub fn cases(plays: usize, seed: u64) -> Vec<Case> {
    let case = |n: usize| Case {
        moment: n % MOMENTS.len(),
        disk: if n / MOMENTS.len() % 2 == 0 { Disk::Kept } else { Disk::Lost },
        seed: seed + n as u64,
    };
    (0..plays).map(case).collect()
}

/// What a play came to.
#[derive(Clone, Debug, PartialEq)]
pub struct Played {
    /// Its record.
    pub record: Promises,
    /// What it broke.
    pub breaches: Vec<Breach>,
    /// From the return of the one it happened to until all agreed; none: they did not.
    pub agreed: Option<Duration>,
}

struct Play {
    fleet: Fleet,
    begun: Instant,
    record: Promises,
    objects: u64,
}

impl Play {
    fn now(&self) -> u64 {
        self.begun.elapsed().as_micros() as u64
    }

    /// A neighbour tells a proxy of one more object.
    fn tell(&mut self, proxy: usize, excused: bool) -> Answer {
        self.objects += 1;
        let object = format!("{:016x}", self.objects);
        let replaced = self.fleet.status(proxy).is_ok_and(|s| s.replaced);
        let at = self.now();
        let said = self.fleet.trigger(proxy, &[&object]);
        let answer = match &said {
            Ok(said) if said.status == 201 => Answer::Yes,
            Ok(_) => Answer::No,
            Err(_) => Answer::Nothing,
        };
        let (answered, trigger) = (self.now(), said.ok().as_ref().and_then(status_path));
        self.record.told.push(Told { at, answered, proxy, object, trigger, answer, excused, replaced });
        answer
    }

    /// Waits until something is so: whether it became so.
    fn until(&self, patience: Duration, so: impl Fn(&Fleet) -> bool) -> bool {
        becomes(patience, || so(&self.fleet))
    }

    fn rearm(&mut self, proxy: usize, points: &str) -> io::Result<()> {
        self.fleet.kill(proxy)?;
        self.fleet.restart_armed(proxy, Disk::Kept, points)?;
        self.agree(AGREE).map(drop)
    }

    fn agree(&self, patience: Duration) -> io::Result<Option<Duration>> {
        let begun = Instant::now();
        // One that died of its point is none that could agree.
        let agreed = self.until(patience, |fleet| fleet.agrees().unwrap_or(false));
        Ok(agreed.then(|| begun.elapsed()))
    }
}

/// The weather of a play: calm, rough or slow.
fn weather(seed: u64) -> Weather {
    match seed % 3 {
        0 => Weather::default(),
        1 => Weather { drop: 0.2, duplicate: 0.2, reorder: 0.2, jitter_ms: 5.0, ..Weather::default() },
        _ => Weather { delay_ms: 10.0, jitter_ms: 20.0, ..Weather::default() },
    }
}

/// Plays a case, with these points planted in all daemons.
///
/// # Errors
/// Where it could not be played: a daemon did not start, or has no points.
pub fn play(daemon: &Path, case: Case, planted: &str) -> io::Result<Played> {
    let (moment, _, points) = MOMENTS[case.moment % MOMENTS.len()];
    let (writer, holder) = ((case.seed % 3) as usize, ((case.seed + 1 + case.seed / 3 % 2) % 3) as usize);
    let successor = format!("p{writer}");
    let later: &[&str] = if moment == Moment::Successor { &[&successor] } else { &[] };
    let setup = Setup { later, planted, ..Setup::copying(daemon, PROXIES, case.seed) };
    let fleet = Fleet::with(setup)?;
    let record = Promises { within_us: WITHIN_US, late_us: LATE_US, ..Promises::default() };
    let mut play = Play { fleet, begun: Instant::now(), record, objects: 0 };
    let all = 0..PROXIES + later.len();
    play.fleet.gates.set_all(weather(case.seed));
    for proxy in 0..PROXIES {
        play.tell(proxy, false);
    }
    let (mut victim, mut dead) = (writer, true);
    match moment {
        Moment::WriterBeforeTelling
        | Moment::WriterAfterTelling
        | Moment::WriterBeforeDisk
        | Moment::WriterAfterDisk
        | Moment::WriterBeforeYes => {
            play.rearm(writer, points)?;
            if play.tell(writer, true) != Answer::Nothing && planted.is_empty() {
                return Err(io::Error::other("the writer did not die: this daemon has no points"));
            }
        }
        Moment::WriterAfterYes => drop(play.tell(writer, false)),
        Moment::WriterCut => {
            play.fleet.gates.split(&[writer], Weather::CUT);
            play.tell(writer, false);
        }
        Moment::WriterDiskFails => {
            play.rearm(writer, points)?;
            play.tell(writer, false);
        }
        Moment::HolderBeforeDisk | Moment::HolderAfterDisk | Moment::HolderBeforeWord => {
            victim = holder;
            play.rearm(holder, points)?;
            play.tell(writer, false);
            if !play.until(KNOWN, |fleet| fleet.status(holder).is_err()) {
                return Err(io::Error::other("the holder did not die: this daemon has no points"));
            }
        }
        Moment::HolderStalled => {
            victim = holder;
            play.fleet.stall(holder)?;
            play.tell(writer, false);
        }
        Moment::HolderCut => {
            play.agree(AGREE)?;
            play.fleet.gates.split(&[holder], Weather::CUT);
            play.tell(writer, false);
            play.fleet.gates.split(&[holder], weather(case.seed));
            play.tell(writer, false);
        }
        Moment::Successor => {
            dead = false;
            play.agree(AGREE)?;
            play.fleet.stall(writer)?;
            play.fleet.restart(PROXIES, Disk::Lost)?;
            play.tell(PROXIES, false);
            play.fleet.go_on(writer)?;
            if !play.until(KNOWN, |fleet| fleet.status(writer).is_ok_and(|s| s.replaced)) {
                return Err(io::Error::other("the old process did not learn of its successor"));
            }
            play.tell(writer, false);
        }
    }
    if dead {
        play.fleet.kill(victim)?;
        // The others go on without it.
        let other = (0..PROXIES).find(|proxy| *proxy != victim).unwrap_or_default();
        play.tell(other, false);
        play.fleet.gates.split(&[writer], weather(case.seed));
        play.fleet.restart(victim, case.disk)?;
    } else {
        // The old machine is switched off at last.
        play.fleet.kill(victim)?;
    }
    let agreed = play.agree(AGREE)?;
    let runs: Vec<usize> = all.filter(|proxy| play.fleet.process(*proxy).is_ok()).collect();
    for proxy in runs {
        let told = play.record.told.clone();
        let mut objects = std::collections::BTreeSet::new();
        for told in &told {
            if play.fleet.holds_floor(proxy, &told.object)? {
                objects.insert(told.object.clone());
            }
        }
        let short = if agreed.is_some() { play.fleet.status(proxy)?.short } else { 0 };
        let triggers = play.fleet.triggers(proxy)?;
        play.record.held.push(Held { proxy, objects, triggers, short });
    }
    let breaches = judge(&play.record);
    Ok(Played { record: play.record, breaches, agreed })
}

/// One row of the matrix.
#[derive(Clone, Debug, Default, PartialEq)]
struct Row {
    plays: usize,
    answers: [usize; 3],
    lost: usize,
    broken: BTreeMap<&'static str, usize>,
    apart: usize,
    agreed: Vec<Duration>,
    nothing: usize,
}

/// What all plays came to, by moment and disk.
#[derive(Clone, Debug, Default)]
pub struct Matrix {
    rows: BTreeMap<(usize, bool), Row>,
    /// Why plays proved nothing, and each breach with its case.
    pub said: Vec<String>,
}

impl Matrix {
    /// Takes a play in.
    pub fn add(&mut self, case: Case, played: io::Result<Played>) {
        let row = self.rows.entry((case.moment, case.disk == Disk::Lost)).or_default();
        let name = format!("{}, disk {:?}, seed {}", MOMENTS[case.moment].1, case.disk, case.seed);
        match played {
            Err(e) => {
                row.nothing += 1;
                self.said.push(format!("{name}: proved nothing: {e}"));
            }
            Ok(played) => {
                row.plays += 1;
                for told in &played.record.told {
                    let place = match told.answer {
                        Answer::Yes => 0,
                        Answer::No => 1,
                        Answer::Nothing => 2,
                    };
                    row.answers[place] += 1;
                }
                row.lost += played.breaches.iter().filter(|b| b.rule == "promises").count();
                played.breaches.iter().for_each(|b| *row.broken.entry(b.rule).or_default() += 1);
                row.apart += usize::from(played.agreed.is_none());
                row.agreed.extend(played.agreed);
                if played.agreed.is_none() {
                    self.said.push(format!("{name}: not all agreed within {} s", AGREE.as_secs()));
                }
                self.said.extend(played.breaches.iter().map(|breach| format!("{name}: {breach}")));
            }
        }
    }

    /// 0 where no rule was broken and all agreed, 1 where one was or they did not, 2 where nothing was proved.
    pub fn status(&self) -> u8 {
        let broken = self.rows.values().any(|row| !row.broken.is_empty() || row.apart > 0);
        match (broken, self.rows.values().map(|row| row.plays).sum::<usize>()) {
            (true, _) => 1,
            (false, 0) => 2,
            (false, _) => u8::from(self.rows.values().any(|row| row.nothing > 0)) * 2,
        }
    }
}

impl fmt::Display for Matrix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "| moment | disk | plays | yes | no | no answer | promises lost | rules broken | did not agree | agree p50, p99 ms | proved nothing |")?;
        writeln!(f, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")?;
        let mut whole = Row::default();
        let line = |f: &mut fmt::Formatter<'_>, name: &str, disk: &str, row: &Row| {
            let mut agreed = row.agreed.clone();
            agreed.sort_unstable();
            let at =
                |share: usize| agreed.get((agreed.len() * share / 100).min(agreed.len().saturating_sub(1)));
            let ms = |share| at(share).map_or_else(|| "-".to_owned(), |d| d.as_millis().to_string());
            let mut broken = String::new();
            for (rule, times) in &row.broken {
                write!(broken, "{}{rule} {times}", if broken.is_empty() { "" } else { ", " })?;
            }
            let [yes, no, none] = row.answers;
            let broken = if broken.is_empty() { "0" } else { &broken };
            writeln!(
                f,
                "| {name} | {disk} | {} | {yes} | {no} | {none} | {} | {broken} | {} | {}, {} | {} |",
                row.plays,
                row.lost,
                row.apart,
                ms(50),
                ms(99),
                row.nothing
            )
        };
        for ((moment, lost), row) in &self.rows {
            line(f, MOMENTS[*moment].1, if *lost { "lost" } else { "kept" }, row)?;
            whole.plays += row.plays;
            (0..3).for_each(|n| whole.answers[n] += row.answers[n]);
            whole.lost += row.lost;
            row.broken.iter().for_each(|(rule, times)| *whole.broken.entry(rule).or_default() += times);
            whole.apart += row.apart;
            whole.agreed.extend(&row.agreed);
            whole.nothing += row.nothing;
        }
        line(f, "all", "", &whole)
    }
}
