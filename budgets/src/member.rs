//! One member's side: what it may spend, whom it votes for, and, where it is the divider, what the others get.

use crate::ledger::{Granted, Said};
use crate::limit::{TooSmall, Whole};
use crate::share::Wants;
use crate::vote::{Candidate, Vote, Votes};
use crate::{Amount, Life, Micros, Place};
use std::collections::BTreeMap;

/// Times and bounds, the same at all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// A vote is given for this.
    pub vote_us: Micros,
    /// A part is granted for this at most.
    pub lease_us: Micros,
    /// Votes and parts are asked for so often.
    pub ask_us: Micros,
    /// How far two clocks may drift apart, in millionths of the time that passes.
    pub drift_ppm: u64,
    /// Budgets whose divider is one and the same; each group has its own.
    pub groups: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options { vote_us: 2_000_000, lease_us: 1_000_000, ask_us: 200_000, drift_ppm: 1_000, groups: 4 }
    }
}

impl Options {
    /// What is counted of a time that another counts too: by this much less it is over first, however the two clocks
    /// drift.
    fn less_drift(&self, us: Micros) -> Micros {
        us.saturating_sub(us.saturating_mul(2 * self.drift_ppm) / 1_000_000 + 1)
    }

    /// What is counted of a time that another counts, too, where this one must not be over first.
    fn more_drift(&self, us: Micros) -> Micros {
        us.saturating_add(us.saturating_mul(2 * self.drift_ppm) / 1_000_000 + 1)
    }

    /// These times, for budgets of which a spend is felt for as long: votes last for a part and what is felt of it.
    pub fn felt_for(self, felt_us: Micros) -> Self {
        Options { vote_us: self.vote_us.saturating_add(self.more_drift(felt_us)), ..self }
    }
}

/// What members say to each other. A word says who sends it by the address it comes from, and its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Word {
    /// The sender would divide the budgets of a group: is the receiver's vote its?
    Stand {
        /// The group.
        group: usize,
        /// Names the answer.
        number: u64,
    },
    /// It is, for the time that is the same at all, or belongs to another still.
    Vote {
        /// The group.
        group: usize,
        /// Of the question.
        number: u64,
        /// Whether it is.
        yes: bool,
        /// Whose it is.
        of: Option<Place>,
    },
    /// The sender wants so much of a budget.
    Want {
        /// The budget.
        budget: usize,
        /// Names the answer.
        number: u64,
        /// How much, beyond its floor.
        wanted: Amount,
        /// The question that brought the part that it goes by; 0: none.
        of: u64,
        /// What is felt still of what it spent beyond its floor.
        felt: Amount,
    },
    /// The receiver may spend so much beyond its floor, for so long from when it asked.
    Part {
        /// The budget.
        budget: usize,
        /// Of the question.
        number: u64,
        /// How much.
        amount: Amount,
        /// How long.
        for_us: Micros,
    },
}

/// A change that operators are told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// This member divides a group from now on, or no longer.
    Divides {
        /// The group.
        group: usize,
        /// From now on.
        begins: bool,
    },
    /// This member lives on its floor of a budget, or no longer.
    Floor {
        /// The budget.
        budget: usize,
        /// From now on.
        begins: bool,
    },
}

/// Counts for the operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Tally {
    /// Parts granted to others and itself.
    pub granted: u64,
    /// Parts taken.
    pub taken: u64,
    /// Parts that came after their end or a later one, and wants that were overtaken.
    pub late: u64,
    /// Wants that came while this member did not divide.
    pub astray: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Group {
    vote: Vote,
    /// Whose vote this member's is, or who was heard to have another's, and until when that counts. It must end, and is
    /// never told on: members that believed each other's word of a third would go on doing so for ever.
    heard: Option<(Place, Micros)>,
    /// Whose vote others said theirs is when they refused it, and until when that counts.
    told: BTreeMap<Place, (Place, Micros)>,
    /// Since when this member asks for votes without having them.
    stood: Option<Micros>,
    /// It asks for none until then, so that another candidate may have them.
    rests: Micros,
    votes: Votes,
    /// When each question for votes was sent.
    asked: BTreeMap<u64, Micros>,
    divides: bool,
    /// Since when it answers those that want parts.
    began: Option<Micros>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Budget {
    whole: Whole,
    wanted: Amount,
    felt: Amount,
    /// The part in force, until when, and the question that brought it.
    part: (Amount, Micros, u64),
    asked: BTreeMap<u64, Micros>,
    granted: Granted,
    wants: Wants,
    on_floor: bool,
}

/// Questions whose answers are still taken; older ones have been asked again.
const QUESTIONS: usize = 8;

/// Notes when a question was sent; the oldest are forgotten.
fn note(asked: &mut BTreeMap<u64, Micros>, number: u64, now: Micros) {
    asked.insert(number, now);
    while asked.len() > QUESTIONS {
        asked.pop_first();
    }
}

/// A member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    place: Place,
    life: Life,
    /// Which of the configured members are believed to run.
    up: Vec<bool>,
    options: Options,
    groups: Vec<Group>,
    budgets: Vec<Budget>,
    number: u64,
    due: Micros,
    sends: Vec<(Place, Word)>,
    changes: Vec<Change>,
    tally: Tally,
}

/// A member's weight for a group: the highest of those that run is to divide it.
fn weight(place: Place, group: usize) -> u64 {
    let mut x = (place as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (group as u64 + 1).rotate_left(32);
    for by in [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 30)).wrapping_mul(by);
    }
    x ^ (x >> 31)
}

impl Member {
    /// A member at this place of so many that are configured, in this life, with these budgets.
    ///
    /// # Errors
    /// Where a whole is less than its floors: the budget's place, and by how much.
    pub fn new(
        (place, life): (Place, Life),
        members: usize,
        wholes: &[Whole],
        now: Micros,
        options: Options,
    ) -> Result<Self, (usize, TooSmall)> {
        for (budget, whole) in wholes.iter().enumerate() {
            whole.shared(members).map_err(|e| (budget, e))?;
        }
        let group = |_| Group {
            vote: Vote::new(now, options.vote_us),
            heard: None,
            told: BTreeMap::new(),
            stood: None,
            rests: 0,
            votes: Votes::default(),
            asked: BTreeMap::new(),
            divides: false,
            began: None,
        };
        let budget = |whole: &Whole| Budget {
            whole: *whole,
            wanted: 0,
            felt: 0,
            part: (0, 0, 0),
            asked: BTreeMap::new(),
            granted: Granted::default(),
            wants: Wants::default(),
            on_floor: false,
        };
        Ok(Member {
            place,
            life,
            up: (0..members).map(|m| m == place).collect(),
            options,
            groups: (0..options.groups.max(1)).map(group).collect(),
            budgets: wholes.iter().map(budget).collect(),
            number: 0,
            due: now,
            sends: Vec::new(),
            changes: Vec::new(),
            tally: Tally::default(),
        })
    }

    // ---- To be told ----

    /// Whether another member is believed to run.
    pub fn believe(&mut self, place: Place, up: bool) {
        if let Some(known) = self.up.get_mut(place).filter(|_| place != self.place) {
            *known = up;
        }
    }

    /// How much of a budget would be spent if it could be, and what is felt still of what was; floors included.
    pub fn want(&mut self, budget: usize, wanted: Amount, felt: Amount) {
        if let Some(b) = self.budgets.get_mut(budget) {
            (b.wanted, b.felt) = (wanted.saturating_sub(b.whole.floor), felt.saturating_sub(b.whole.floor));
        }
    }

    /// A budget's whole is another from now on. What was granted of the one before holds until it ends. Floors, and how
    /// long a spend is felt, belong to a start: votes are given for longer than that.
    ///
    /// # Errors
    /// Where it is less than its floors; it stays as it was.
    pub fn set(&mut self, budget: usize, whole: Amount) -> Result<(), TooSmall> {
        let Some(b) = self.budgets.get_mut(budget) else { return Ok(()) };
        let next = Whole { whole, ..b.whole };
        next.shared(self.up.len())?;
        b.whole = next;
        Ok(())
    }

    // ---- To be asked ----

    /// How much of a budget may be spent now, and until when that holds without more word: floor and part. It is to be
    /// asked at the moment of each spend.
    pub fn part(&self, now: Micros, budget: usize) -> (Amount, Micros) {
        let Some(b) = self.budgets.get(budget) else { return (0, Micros::MAX) };
        match b.part {
            (amount, until, _) if now < until => (b.whole.floor + amount, until),
            _ => (b.whole.floor, Micros::MAX),
        }
    }

    /// Whether this member divides a group: more than half of all vote for it.
    pub fn divides(&self, now: Micros, group: usize) -> bool {
        self.groups.get(group).is_some_and(|g| g.votes.until(self.up.len()) > now)
    }

    /// What this member wants of a budget beyond its floor, and has out.
    pub fn wants(&self, budget: usize) -> (Amount, Amount) {
        self.budgets.get(budget).map_or((0, 0), |b| (b.wanted, b.felt))
    }

    /// Its life.
    pub fn life(&self) -> Life {
        self.life
    }

    /// A budget as it is set here.
    pub fn whole(&self, budget: usize) -> Option<Whole> {
        self.budgets.get(budget).map(|b| b.whole)
    }

    /// What this member has granted of a budget and may be felt still, by holder; floors are not in it.
    pub fn parts_granted(&self, budget: usize) -> Vec<(Place, Amount)> {
        self.budgets.get(budget).map_or_else(Vec::new, |b| b.granted.all().filter(|(_, a)| *a > 0).collect())
    }

    /// The group of a budget.
    pub fn group(&self, budget: usize) -> usize {
        budget % self.groups.len()
    }

    /// Who divides a group, as far as this member knows.
    pub fn divider(&self, now: Micros, group: usize) -> Place {
        if self.divides(now, group) {
            return self.place;
        }
        // Whoever has the votes goes on: a member that comes back must not take them away.
        let heard = self.groups.get(group).and_then(|g| g.heard).filter(|(_, until)| now < *until);
        let up = (0..self.up.len()).filter(|place| self.up[*place]);
        let best = || up.max_by_key(|place| weight(*place, group)).unwrap_or(self.place);
        heard.map_or_else(best, |(place, _)| place)
    }

    /// Counts so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Words to be sent.
    pub fn sends(&mut self) -> Vec<(Place, Word)> {
        std::mem::take(&mut self.sends)
    }

    /// What has changed.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// When `tick` has something to do.
    pub fn due(&self) -> Micros {
        self.due
    }

    // ---- Time ----

    /// Asks for votes where this member is to divide, and for parts of whoever does.
    pub fn tick(&mut self, now: Micros) {
        if now < self.due {
            return;
        }
        self.due = now + self.options.ask_us;
        for group in 0..self.groups.len() {
            if self.divider(now, group) == self.place {
                self.stand(now, group);
            } else {
                self.groups[group].stood = None;
            }
            self.say_divides(now, group);
        }
        for budget in 0..self.budgets.len() {
            let divider = self.divider(now, self.group(budget));
            self.number += 1;
            let number = self.number;
            let b = &mut self.budgets[budget];
            note(&mut b.asked, number, now);
            let want = Word::Want { budget, number, wanted: b.wanted, of: b.part.2, felt: b.felt };
            self.send(now, divider, want);
            self.say_floor(now, budget);
        }
    }

    /// Asks for votes. Candidates that share them out among themselves would renew them for ever and none would have
    /// enough: one that does not get them rests, each for a time of its own, until they are over.
    fn stand(&mut self, now: Micros, group: usize) {
        let (divides, vote_us) = (self.divides(now, group), self.options.vote_us);
        let g = &mut self.groups[group];
        if now < g.rests {
            return;
        }
        let since = *g.stood.get_or_insert(now);
        if divides {
            g.stood = Some(now);
        } else if now >= since + (2 + g.votes.count(now)) * vote_us {
            // The fewer it has the sooner, so that they come together.
            let own = weight(self.place, group) ^ self.life.rotate_left(17) ^ self.number;
            (g.stood, g.rests) = (None, now + vote_us + own % vote_us.max(1));
            return;
        }
        self.number += 1;
        let number = self.number;
        note(&mut self.groups[group].asked, number, now);
        for place in 0..self.up.len() {
            // All that are configured, as more than half of all must vote, and who runs is a belief.
            self.send(now, place, Word::Stand { group, number });
        }
    }

    fn say_divides(&mut self, now: Micros, group: usize) {
        let begins = self.divides(now, group);
        if std::mem::replace(&mut self.groups[group].divides, begins) != begins {
            self.changes.push(Change::Divides { group, begins });
        }
    }

    fn say_floor(&mut self, now: Micros, budget: usize) {
        let b = &mut self.budgets[budget];
        let begins = now >= b.part.1;
        if std::mem::replace(&mut b.on_floor, begins) != begins {
            self.changes.push(Change::Floor { budget, begins });
        }
    }

    /// Sends a word; one to itself is heard at once.
    fn send(&mut self, now: Micros, to: Place, word: Word) {
        if to == self.place {
            self.hear(now, (self.place, self.life), word);
        } else {
            self.sends.push((to, word));
        }
    }

    // ---- Words ----

    /// Takes in a word of a member in one of its lives. `now` is when it was read: what is granted on it counts from
    /// the holder's question, so that a process which stands still before it sends the answer grants nothing late.
    pub fn hear(&mut self, now: Micros, from: Candidate, word: Word) {
        if from.0 >= self.up.len() {
            return;
        }
        match word {
            Word::Stand { group, number } => self.asked_for_vote(now, from, group, number),
            Word::Vote { group, number, yes, of } => self.voted(now, from.0, (group, number), yes, of),
            Word::Want { budget, number, wanted, of, felt } => {
                let said = Said { holder: from.0, life: from.1, number, of, felt };
                self.wanted(now, budget, said, wanted);
            }
            Word::Part { budget, number, amount, for_us } => {
                self.granted(now, (budget, number), amount, for_us);
            }
        }
    }

    fn asked_for_vote(&mut self, now: Micros, from: Candidate, group: usize, number: u64) {
        let (vote_us, own) = (self.options.vote_us, self.place);
        let divides = self.divides(now, group);
        let Some(g) = self.groups.get_mut(group) else { return };
        let yes = g.vote.ask(now, from, vote_us);
        // A candidate that has not the votes gives way to one that comes before it; should that one not get them either,
        // it rests.
        let stands = g.heard.is_none_or(|(heard, until)| heard == own || now >= until);
        let gives_way = !divides && stands && weight(from.0, group) > weight(own, group);
        if yes || gives_way {
            g.heard = Some((from.0, now + vote_us));
        }
        let of = g.vote.whose(now);
        self.send(now, from.0, Word::Vote { group, number, yes, of });
    }

    fn voted(
        &mut self,
        now: Micros,
        from: Place,
        (group, number): (usize, u64),
        yes: bool,
        of: Option<Place>,
    ) {
        let (vote_us, own, members) = (self.options.vote_us, self.place, self.up.len());
        let counted = self.options.less_drift(vote_us);
        let Some(g) = self.groups.get_mut(group) else { return };
        let Some(sent) = g.asked.get(&number) else { return };
        match (yes, of) {
            (true, _) => {
                g.told.remove(&from);
                g.votes.add(from, sent + counted);
            }
            // Where more than half say so another divides, and parts are asked of that one.
            (false, Some(of)) if of != own => {
                g.told.insert(from, (of, now + vote_us));
                let same = g.told.values().filter(|(told, until)| *told == of && now < *until).count();
                if same > members / 2 && g.votes.until(members) <= now {
                    g.heard = Some((of, now + vote_us));
                }
            }
            _ => {}
        }
    }

    fn wanted(&mut self, now: Micros, budget: usize, said: Said, wanted: Amount) {
        let (members, options, group) = (self.up.len(), self.options, self.group(budget));
        let Some(b) = self.budgets.get_mut(budget) else { return };
        // What is spent at the last moment of a part is felt before the votes are over, too.
        let felt_us = options.more_drift(b.whole.felt_us);
        let votes = self.groups[group].votes.until(members).saturating_sub(felt_us);
        let until = votes.min(now + options.lease_us);
        if until <= now {
            self.groups[group].began = None;
            self.tally.astray += 1;
            return;
        }
        let began = *self.groups[group].began.get_or_insert(now);
        if !b.granted.heard(now, said) {
            self.tally.late += 1;
            return;
        }
        let holder = said.holder;
        let shared = b.whole.shared(members).unwrap_or(0);
        b.wants.say(now, holder, wanted, options.lease_us);
        let (mut fair, has) = (b.wants.fair(holder, shared), b.granted.of(holder));
        if now < began + 2 * options.ask_us {
            // Not all have asked this divider yet: the first must not get what the others will want.
            fair = fair.min(shared / members as u64);
        }
        // Up at once, as far as there is room; down by halves, so that no part swings with each question.
        let due = if fair < has && wanted > 0 { fair + (has - fair) / 2 } else { fair };
        let amount = b.granted.grant(said, due, shared, until + felt_us);
        self.tally.granted += 1;
        self.send(now, holder, Word::Part { budget, number: said.number, amount, for_us: until - now });
    }

    fn granted(&mut self, now: Micros, (budget, number): (usize, u64), amount: Amount, for_us: Micros) {
        let counted = self.options.less_drift(for_us.min(self.options.lease_us));
        let Some(b) = self.budgets.get_mut(budget) else { return };
        let until = b.asked.remove(&number).map_or(0, |sent| sent + counted);
        if number < b.part.2 || until <= now {
            self.tally.late += 1;
            return;
        }
        b.part = (amount, until, number);
        self.tally.taken += 1;
        self.say_floor(now, budget);
    }
}
