//! What all proxies spend together, divided among them (`linnetknot_budgets`): its datagrams, what this proxy wants and
//! has out, and what the module is told of its parts.

use super::Daemon;
use crate::budgets::{BudgetStatus, GrantStatus, Status, MOST_BUDGETS, MOST_GRANTS};
use crate::net::Due;
use linnetknot::{Budget, Micros, Part};
use linnetknot_budgets::kinds::Unit;
use linnetknot_budgets::{wire, Amount, Change, Member, Options, Place, Word};

/// A member of those who share, and what goes with it.
pub(super) struct Sharing {
    member: Member,
    /// What was last told to the module, by budget.
    told: Vec<Option<Part>>,
    due: Option<Due>,
    /// Words of proxies that share something else, or among others, were dropped: said once.
    strange: bool,
    /// The list of peers has changed under it, and with it who stands at which place: nothing is said or heard any more,
    /// and the floor is lived on until the next start.
    alone: bool,
}

/// More than is out now, so that a part is there before it is needed: this many times as much.
const AHEAD: Amount = 2;

/// What is asked for by who has so much out.
fn demand(out: Amount, unit: Unit) -> Amount {
    let more = match unit {
        Unit::Held => 4,
        Unit::Millionths => unit.one() / 10,
    };
    if out == 0 {
        0
    } else {
        AHEAD * out + more
    }
}

impl Daemon {
    /// Begins to share what the operators' file names.
    pub(super) fn join_budgets(&mut self, now: Micros) -> Result<(), String> {
        let shared = &self.config.budgets;
        let Some(ledger) = self.ledger.as_ref().filter(|_| !shared.list.is_empty()) else { return Ok(()) };
        let mut wholes: Vec<_> = shared.list.iter().map(|budget| budget.whole).collect();
        let felt_us = wholes.iter().map(|whole| whole.felt_us).max().unwrap_or(0);
        if forgets_floors() {
            wholes.iter_mut().for_each(|w| w.whole += w.floor * shared.members as Amount);
        }
        let me = (shared.place, ledger.member());
        let member = Member::new(me, shared.members, &wholes, now, Options::default().felt_for(felt_us));
        // The file was checked, by the same figures.
        let member = member.map_err(|(n, e)| format!("budgets: '{}': {e}", shared.list[n].name))?;
        let told = vec![None; wholes.len()];
        // One that were open for longer than its class allows would be felt for longer, too.
        self.core.most_us = shared.longest_open_us().unwrap_or(Micros::MAX);
        self.sharing = Some(Sharing { member, told, due: None, strange: false, alone: false });
        self.share(now);
        Ok(())
    }

    /// A peer's place among all that are configured.
    fn place_of(&self, peer: usize) -> Place {
        peer + usize::from(peer >= self.config.budgets.place)
    }

    /// Takes in words of a peer; false where they are none.
    pub(super) fn hear_budgets(&mut self, now: Micros, peer: usize, bytes: &[u8]) -> bool {
        let (from, form) = (self.place_of(peer), self.config.budgets.form);
        let (theirs, life, words) = match wire::read(bytes) {
            Err(linnetknot_budgets::wire::DecodeError::Foreign) => return false,
            Err(e) => {
                log::debug!(place = peer; "{e}");
                self.dropped.1 += 1;
                return true;
            }
            Ok(read) => read,
        };
        let Some(sharing) = self.sharing.as_mut().filter(|sharing| !sharing.alone) else { return true };
        if theirs != form {
            if !std::mem::replace(&mut sharing.strange, true) {
                log::warn!(peer = peer; "a peer's 'budgets' or list of peers is another: nothing is shared with it");
            }
            return true;
        }
        for word in words {
            sharing.member.hear(now, (from, life), word);
        }
        self.tend_budgets(now);
        true
    }

    /// Once in a while: what is wanted and out, who runs, and what time has brought.
    fn share(&mut self, now: Micros) {
        self.tell_wants(now);
        if let Some(sharing) = &mut self.sharing {
            sharing.member.tick(now);
        }
        self.tend_budgets(now);
        let due = self.sharing.as_ref().map(|sharing| sharing.member.due().max(now + 1_000));
        let old = self.sharing.as_mut().and_then(|sharing| sharing.due.take());
        let new = self.instead(old, due, |daemon, now| {
            daemon.sharing.iter_mut().for_each(|sharing| sharing.due = None);
            daemon.share(now);
        });
        self.sharing.iter_mut().for_each(|sharing| sharing.due = new);
    }

    fn tell_wants(&mut self, now: Micros) {
        let (held, is_stopping) = (self.core.asking() as Amount, self.is_stopping());
        let share = |used: Option<f64>| used.map(|used| (used * Unit::Millionths.one() as f64) as Amount);
        let (caches, parents) = (share(self.core.cold_use(now, false)), share(self.core.cold_use(now, true)));
        let up: Vec<(Place, bool)> = self.membership.as_ref().map_or_else(Vec::new, |fleet| {
            let up = fleet.members().iter().enumerate();
            up.map(|(peer, member)| (self.place_of(peer), member.is_up())).collect()
        });
        let Some(sharing) = &mut self.sharing else { return };
        for (n, budget) in self.config.budgets.list.iter().enumerate() {
            let out = match budget.of {
                Some(Budget::Origin) => held,
                Some(Budget::Caches) => caches.unwrap_or(0),
                Some(Budget::Parents) => parents.unwrap_or(0),
                // Another zone's.
                None => 0,
            };
            // One that ends gives all up that it does not have out.
            let wanted = if is_stopping { out } else { demand(out, budget.unit) };
            sharing.member.want(n, wanted, out);
        }
        up.into_iter().for_each(|(place, up)| sharing.member.believe(place, up));
    }

    /// Sends what is to be said, says what has changed, and tells the module of its parts.
    fn tend_budgets(&mut self, now: Micros) {
        let form = self.config.budgets.form;
        let Some(sharing) = &mut self.sharing else { return };
        let (mut sends, changes) = (sharing.member.sends(), sharing.member.changes());
        if sharing.alone {
            sends.clear();
        }
        let life = sharing.member.life();
        for (to, word) in sends.iter().filter(|_| waits_for_no_vote()) {
            if let Word::Stand { group, number } = *word {
                let vote = Word::Vote { group, number, yes: true, of: None };
                sharing.member.hear(now, (*to, 0), vote);
            }
        }
        let grants = sends.iter().any(|(_, word)| matches!(word, Word::Part { .. }));
        if grants {
            fail::fail_point!("budgets-grant");
        }
        let mut by_place = std::collections::BTreeMap::<Place, Vec<Word>>::new();
        sends.into_iter().for_each(|(to, word)| by_place.entry(to).or_default().push(word));
        for (to, words) in by_place {
            let peer = to - usize::from(to > self.config.budgets.place);
            for bytes in wire::write(form, life, &words) {
                self.send_to_place(peer, &bytes);
            }
        }
        if grants {
            fail::fail_point!("budgets-granted");
        }
        changes.into_iter().for_each(|change| self.say_change(change));
        self.tell_parts(now);
    }

    fn tell_parts(&mut self, now: Micros) {
        let Some(sharing) = &mut self.sharing else { return };
        let mut parts = Vec::new();
        for (n, budget) in self.config.budgets.list.iter().enumerate() {
            let (Some(of), Some(whole)) = (budget.of, sharing.member.whole(n)) else { continue };
            let (amount, until) = sharing.member.part(now, n);
            let unit = budget.unit.one() as f64;
            let (amount, floor) = (amount as f64 / unit, whole.floor as f64 / unit);
            if ignores_ends() && sharing.told[n].is_some_and(|told| told.amount > amount) {
                continue;
            }
            let until = if ignores_ends() { Micros::MAX } else { until };
            let part = Part { budget: of, amount, until, floor };
            if sharing.told[n].replace(part) != Some(part) {
                parts.push(part);
            }
        }
        parts.into_iter().for_each(|part| self.core.part(now, part));
    }

    fn say_change(&self, change: Change) {
        let list = &self.config.budgets.list;
        let Some(sharing) = &self.sharing else { return };
        match change {
            Change::Divides { group, begins } => {
                let all = list.iter().enumerate().filter(|(n, _)| sharing.member.group(*n) == group);
                let names: Vec<&str> = all.map(|(_, budget)| budget.name.as_str()).collect();
                if !names.is_empty() {
                    log::info!(budgets = names.join(" ").as_str(), divides = begins; "who divides has changed");
                }
            }
            Change::Floor { budget, begins } => {
                let (name, whole) = (list[budget].name.as_str(), sharing.member.whole(budget));
                let floor = whole.map_or(0, |whole| whole.floor);
                match begins {
                    true => {
                        log::warn!(budget = name, floor = floor; "no part is in force: the floor is lived on")
                    }
                    false => log::info!(budget = name; "a part is in force again"),
                }
            }
        }
    }

    /// Wholes that are others after a reload; all else of budgets waits for the next start.
    pub(super) fn reload_budgets(&mut self, new: &crate::interconnect::Budgets) {
        if new.form != self.config.budgets.form {
            return log::warn!("SIGHUP: 'budgets' has changed beyond its wholes, which takes effect with the next start only");
        }
        let Some(sharing) = &mut self.sharing else { return };
        for (n, (old, new)) in self.config.budgets.list.iter_mut().zip(&new.list).enumerate() {
            if old.whole != new.whole {
                match sharing.member.set(n, new.whole.whole) {
                    Ok(()) => {
                        log::info!(budget = new.name.as_str(), whole = new.whole.whole; "SIGHUP: a whole is another");
                        old.whole = new.whole;
                    }
                    Err(e) => log::error!("SIGHUP: the whole of '{}' stays as it was: {e}", new.name),
                }
            }
        }
    }

    /// The list of peers is another, so that words would be taken for another member's: this proxy lives on its floors.
    pub(super) fn share_alone(&mut self) {
        if let Some(sharing) = &mut self.sharing {
            sharing.alone = true;
            log::error!("SIGHUP: the peers have changed: nothing is shared with them before the next start");
        }
    }

    /// Where the budgets stand; none where nothing is shared.
    pub(super) fn budgets_status(&self) -> Option<Status> {
        let (sharing, now) = (self.sharing.as_ref()?, self.clock.now());
        let (member, config) = (&sharing.member, &self.config.budgets);
        let peer = |place: Place| match place.cmp(&config.place) {
            std::cmp::Ordering::Equal => self.config.name.clone(),
            order => {
                let peer = place - usize::from(order == std::cmp::Ordering::Greater);
                let named = self.membership.as_ref().and_then(|fleet| fleet.members().get(peer));
                let name = named.and_then(|m| m.names.as_ref()).map(|(name, _)| name.clone());
                let address = || self.config.copies.machines.get(peer).map(|(a, _)| a.to_string());
                name.or_else(address).unwrap_or_default()
            }
        };
        let budget = |(n, budget): (usize, &crate::interconnect::Shared)| {
            let whole = member.whole(n).unwrap_or(budget.whole);
            let ((part, until), (wanted, out)) = (member.part(now, n), member.wants(n));
            let (group, granted) = (member.group(n), member.parts_granted(n));
            let divides = member.divides(now, group);
            let granted = if divides { granted } else { Vec::new() };
            BudgetStatus {
                name: budget.name.clone(),
                unit: budget.unit.name().to_owned(),
                whole: whole.whole,
                floor: whole.floor,
                part,
                ends_in_ms: (until != Micros::MAX).then_some(until.saturating_sub(now) / 1000),
                wanted,
                out,
                divider: peer(member.divider(now, group)),
                divides,
                on_floor: until == Micros::MAX,
                granted_in_all: granted.iter().map(|(_, amount)| amount).sum(),
                holders: granted.len(),
                granted: granted
                    .into_iter()
                    .take(MOST_GRANTS)
                    .map(|(place, amount)| GrantStatus { name: peer(place), amount })
                    .collect(),
            }
        };
        Some(Status {
            name: self.config.name.clone(),
            members: config.members,
            budgets: config.list.iter().enumerate().take(MOST_BUDGETS).map(budget).collect(),
            budgets_in_all: config.list.len(),
        })
    }

    /// How the sharing went, as the process ends.
    pub(super) fn say_budgets(&self) {
        let Some(sharing) = &self.sharing else { return };
        let t = sharing.member.tally();
        log::info!(
            granted = t.granted, taken = t.taken, late = t.late, astray = t.astray;
            "parts of what all proxies spend"
        );
    }
}

/// Never: only faults that rehearsals plant. A holder that goes by a part whose time is over.
fn ignores_ends() -> bool {
    fail::fail_point!("plant-lease", |_| true);
    false
}

/// A divider that does not wait for the votes of others.
fn waits_for_no_vote() -> bool {
    fail::fail_point!("plant-votes", |_| true);
    false
}

/// Floors that are not set aside of the whole.
fn forgets_floors() -> bool {
    fail::fail_point!("plant-floors", |_| true);
    false
}
