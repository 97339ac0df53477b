//! The store on a medium whose calls fail for a while with EIO or ENOSPC, by seeds: each call, once, for a spell or for
//! good, with losses of power and restarts in between. A sync that failed loses what it covered: another one succeeds
//! without it. Whatever fails, what was acknowledged is there, and a group is there as a whole or not at all.

use linnetknot_store::{Keyspace, Store, StoreError, Write};
use medium::{Calls, Medium, Spell};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

#[path = "common/medium.rs"]
mod medium;

const SPACE: Keyspace = Keyspace("test");
const PLAYS: u64 = 1_000;
const STEPS: usize = 40;
const KEYS: u64 = 12;
/// Values of different lengths make the file grow and pages split.
const MAX_VALUE_BYTES: usize = 3_000;

fn draw_spell(random: &mut SmallRng) -> Spell {
    let calls = Calls::EACH[random.random_range(0..Calls::EACH.len())];
    let times = [1, 1, 2, 20, u64::MAX][random.random_range(0..5)];
    let spell = Spell::new(calls, random.random_range(0..30), times);
    if random.random_bool(0.5) {
        spell.evicting()
    } else {
        spell
    }
}

type State = BTreeMap<u64, Vec<u8>>;

/// The writes of a group, and what they make of a state.
fn group(random: &mut SmallRng, state: &State) -> (Vec<Write>, State) {
    let (mut writes, mut next) = (Vec::new(), state.clone());
    for _ in 0..random.random_range(1..5) {
        let key = random.random_range(0..KEYS);
        let bytes = key.to_be_bytes().to_vec();
        if random.random_bool(0.25) {
            writes.push(Write::remove(SPACE, bytes));
            next.remove(&key);
        } else {
            let value = vec![random.random(); random.random_range(1..MAX_VALUE_BYTES)];
            writes.push(Write::put(SPACE, bytes, value.clone()));
            next.insert(key, value);
        }
    }
    (writes, next)
}

fn found(store: &mut Store) -> Result<State, StoreError> {
    let pairs = store.scan(SPACE)?;
    let key = |bytes: Vec<u8>| u64::from_be_bytes(bytes.try_into().unwrap());
    Ok(pairs
        .into_iter()
        .map(|pair| (key(pair.key), pair.value))
        .collect())
}

/// A store in a medium, and the states that it may be in.
struct Play {
    seed: u64,
    random: SmallRng,
    medium: Medium,
    store: Option<Store>,
    /// What was last acknowledged, and each group since that was not: one of them is there.
    possible: Vec<State>,
    /// Commits that failed, and what was done to the medium.
    failures: usize,
    losses: usize,
}

impl Play {
    fn begin(seed: u64) -> Self {
        let medium = Medium::default();
        let clone = medium.clone();
        Play {
            seed,
            random: SmallRng::seed_from_u64(seed),
            store: Some(Store::open_on(move || clone.clone()).unwrap()),
            medium,
            possible: vec![State::new()],
            failures: 0,
            losses: 0,
        }
    }

    /// Whichever state is found is the one that is there from now on.
    fn check(&mut self, what: &str) {
        let seed = self.seed;
        let Some(store) = &mut self.store else { return };
        match found(store) {
            Ok(state) => {
                assert!(
                    self.possible.contains(&state),
                    "seed {seed}, {what}: neither what was acknowledged nor a whole group since: {state:?}"
                );
                self.possible = vec![state];
            }
            Err(e) => assert!(e.is_transient(), "seed {seed}, {what}: {e}"),
        }
    }

    fn commit(&mut self) {
        let Some(store) = &mut self.store else {
            return self.open();
        };
        // A group that was not acknowledged may be there: the next one stands on what is.
        let state = match found(store) {
            Ok(state) => state,
            Err(e) => {
                assert!(e.is_transient(), "seed {}: {e}", self.seed);
                return;
            }
        };
        assert!(
            self.possible.contains(&state),
            "seed {}, before a commit: {state:?}",
            self.seed
        );
        let (writes, next) = group(&mut self.random, &state);
        match store.commit(&writes) {
            Ok(()) => self.possible = vec![next],
            Err(e) => {
                assert!(e.is_transient(), "seed {}: {e}", self.seed);
                self.failures += 1;
                // What was seen before may be lost again with the power, if it was never acknowledged.
                self.possible.push(next);
            }
        }
    }

    /// Opens the store as a process does that starts. Where its medium fails, that is for a while.
    fn open(&mut self) {
        let clone = self.medium.clone();
        match Store::open_on(move || clone.clone()) {
            Ok(store) => self.store = Some(store),
            Err(e) => assert!(e.is_transient(), "seed {}, at a start: {e}", self.seed),
        }
    }

    /// The process is killed: the system still has what it wrote.
    fn kill(&mut self) {
        // What a store writes when it is dropped, a killed one does not.
        let spell = self.medium.fail(Some(Spell::for_good(Calls::ALL)));
        self.store = None;
        self.medium.fail(spell);
    }

    fn lose_power(&mut self) {
        self.kill();
        self.losses += 1;
        let seed = self.random.random();
        self.medium.0.lock().unwrap().lose_power(seed);
    }

    fn step(&mut self) {
        match self.random.random_range(0..20) {
            0..=3 => {
                let spell = draw_spell(&mut self.random);
                self.medium.fail(Some(spell));
            }
            4 => drop(self.medium.fail(None)),
            5 => self.kill(),
            6 => self.lose_power(),
            _ => self.commit(),
        }
    }

    /// The medium is back: what is there is what may be, and it takes and keeps what comes.
    fn end(mut self) -> (usize, usize) {
        self.medium.fail(None);
        if self.store.is_none() {
            self.open();
        }
        self.commit();
        assert_eq!(self.possible.len(), 1, "seed {}: it is taken", self.seed);
        self.lose_power();
        self.open();
        self.check("at the end");
        assert_eq!(self.possible.len(), 1);
        assert!(self.store.is_some(), "seed {}", self.seed);
        (self.failures, self.losses)
    }
}

#[test]
fn a_thousand_plays_lose_nothing_that_was_acknowledged_and_have_no_group_in_part() {
    let (mut failures, mut losses) = (0, 0);
    for seed in 0..PLAYS {
        let mut play = Play::begin(seed);
        for _ in 0..STEPS {
            play.step();
        }
        let (failed, lost) = play.end();
        failures += failed;
        losses += lost;
    }
    assert!(
        failures > 1_000 && losses > 1_000,
        "{failures} failed commits and {losses} losses of power prove little"
    );
}

/// The pages of a sync that failed are clean to the system: the commit after it is acknowledged with nothing of them on
/// the disk, unless they are written again.
#[test]
fn what_a_failed_sync_covered_is_written_again() {
    for syncs in 0..8 {
        let medium = Medium::default();
        let clone = medium.clone();
        let mut store = Store::open_on(move || clone.clone()).unwrap();
        let put = |n: u64| Write::put(SPACE, n.to_be_bytes().to_vec(), vec![n as u8; 2_000]);
        store.commit(&[put(0)]).unwrap();
        medium.fail(Some(Spell::nth(Calls::SYNC, syncs)));
        let acknowledged: Vec<u64> = (1..10)
            .filter(|n| store.commit(&[put(*n)]).is_ok())
            .collect();
        assert_eq!(acknowledged.len(), 8, "one sync fails, after {syncs}");
        medium.fail(Some(Spell::for_good(Calls::ALL)));
        drop(store);
        medium.fail(None);
        medium.0.lock().unwrap().lose_power(u64::MAX);
        let clone = medium.clone();
        let mut store = Store::open_on(move || clone.clone())
            .unwrap_or_else(|e| panic!("a sync failed after {syncs}: {e}"));
        let found = found(&mut store).unwrap();
        assert!(
            acknowledged.iter().all(|n| found.contains_key(n)),
            "{syncs}"
        );
    }
}

/// Each call of the first commits fails once and for good: it is said, and the store goes on once the medium is back.
#[test]
fn each_call_of_a_commit_may_fail_once_for_a_spell_or_for_good() {
    for calls in Calls::EACH {
        for first in 0..30 {
            for times in [1, 5, u64::MAX] {
                let medium = Medium::default();
                let clone = medium.clone();
                let mut store = Store::open_on(move || clone.clone()).unwrap();
                let put = |n: u64| Write::put(SPACE, vec![n as u8], vec![n as u8; 5_000]);
                medium.fail(Some(Spell::new(calls, first, times)));
                let mut last = None;
                for n in 1..6 {
                    match store.commit(&[put(n), Write::put(SPACE, vec![0], vec![n as u8])]) {
                        Ok(()) => last = Some(n as u8),
                        Err(e) => assert!(e.is_transient(), "{calls:?} {first}: {e}"),
                    }
                }
                medium.fail(None);
                let value = store.get(SPACE, &[0]).unwrap().map(|value| value[0]);
                assert!(value >= last, "{calls:?} {first}: {value:?} {last:?}");
                store.commit(&[put(9)]).unwrap();
                assert!((1..=last.unwrap_or(0)).all(|n| {
                    // Of those that were refused in between any may be there.
                    last != Some(n) || store.get(SPACE, &[n]).unwrap().is_some()
                }));
            }
        }
    }
}
