//! Random outages of the medium with EIO or ENOSPC, combined with power failures and restarts. A failed sync loses the
//! changes that it covered, and a later sync succeeds without writing them. Acknowledged groups must survive, and every
//! group must be stored completely or not at all.

use linnetknot_store::{Keyspace, Store, StoreError, Write};
use medium::{Calls, Medium, Outage};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

#[path = "common/medium.rs"]
mod medium;

const SPACE: Keyspace = Keyspace("test");
const RUNS: u64 = 1_000;
const STEPS: usize = 40;
const KEYS: u64 = 12;
/// Values have different lengths, so that the file grows and pages are split.
const MAX_VALUE_BYTES: usize = 3_000;

fn random_outage(random: &mut SmallRng) -> Outage {
    let calls = Calls::EACH[random.random_range(0..Calls::EACH.len())];
    let times = [1, 1, 2, 20, u64::MAX][random.random_range(0..5)];
    let outage = Outage::new(calls, random.random_range(0..30), times);
    if random.random_bool(0.5) {
        outage.evicting_pages()
    } else {
        outage
    }
}

type State = BTreeMap<u64, Vec<u8>>;

/// Returns the writes of a random group, and the state after them.
fn random_group(random: &mut SmallRng, state: &State) -> (Vec<Write>, State) {
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

fn read_state(store: &mut Store) -> Result<State, StoreError> {
    let pairs = store.scan(SPACE)?;
    let key = |bytes: Vec<u8>| u64::from_be_bytes(bytes.try_into().unwrap());
    Ok(pairs
        .into_iter()
        .map(|pair| (key(pair.key), pair.value))
        .collect())
}

/// A store on a simulated medium, with the states that the store may have.
struct Simulation {
    seed: u64,
    random: SmallRng,
    medium: Medium,
    store: Option<Store>,
    /// The state after the last acknowledged group, and the states after each of the unacknowledged groups since then.
    possible_states: Vec<State>,
    /// The number of commits that failed so far.
    failures: usize,
    power_failures: usize,
}

impl Simulation {
    fn start(seed: u64) -> Self {
        let medium = Medium::default();
        let clone = medium.clone();
        Simulation {
            seed,
            random: SmallRng::seed_from_u64(seed),
            store: Some(Store::open_on(move || clone.clone()).unwrap()),
            medium,
            possible_states: vec![State::new()],
            failures: 0,
            power_failures: 0,
        }
    }

    /// Checks that the stored state is one of the possible states. From then on only this state is possible.
    fn check(&mut self, what: &str) {
        let seed = self.seed;
        let Some(store) = &mut self.store else { return };
        match read_state(store) {
            Ok(state) => {
                assert!(
                    self.possible_states.contains(&state),
                    "seed {seed}, {what}: neither the acknowledged state nor one after a complete group: {state:?}"
                );
                self.possible_states = vec![state];
            }
            Err(e) => assert!(e.is_transient(), "seed {seed}, {what}: {e}"),
        }
    }

    fn commit(&mut self) {
        let Some(store) = &mut self.store else {
            return self.open();
        };
        // The next group is applied to the state that is found, which may include an unacknowledged group.
        let state = match read_state(store) {
            Ok(state) => state,
            Err(e) => {
                assert!(e.is_transient(), "seed {}: {e}", self.seed);
                return;
            }
        };
        assert!(
            self.possible_states.contains(&state),
            "seed {}, before a commit: {state:?}",
            self.seed
        );
        let (writes, next) = random_group(&mut self.random, &state);
        match store.commit(&writes) {
            Ok(()) => self.possible_states = vec![next],
            Err(e) => {
                assert!(e.is_transient(), "seed {}: {e}", self.seed);
                self.failures += 1;
                // A power failure may still revert the store to an earlier possible state.
                self.possible_states.push(next);
            }
        }
    }

    /// Opens the store like a starting process. Only transient errors are allowed.
    fn open(&mut self) {
        let clone = self.medium.clone();
        match Store::open_on(move || clone.clone()) {
            Ok(store) => self.store = Some(store),
            Err(e) => assert!(e.is_transient(), "seed {}, at a start: {e}", self.seed),
        }
    }

    /// Simulates a killed process. Unsynced changes are retained.
    fn kill(&mut self) {
        // The outage prevents writes by the destructor of the store, because a killed process runs no destructors.
        let outage = self.medium.set_outage(Some(Outage::permanent(Calls::ALL)));
        self.store = None;
        self.medium.set_outage(outage);
    }

    fn lose_power(&mut self) {
        self.kill();
        self.power_failures += 1;
        let seed = self.random.random();
        self.medium.0.lock().unwrap().lose_power(seed);
    }

    fn step(&mut self) {
        match self.random.random_range(0..20) {
            0..=3 => {
                let outage = random_outage(&mut self.random);
                self.medium.set_outage(Some(outage));
            }
            4 => drop(self.medium.set_outage(None)),
            5 => self.kill(),
            6 => self.lose_power(),
            _ => self.commit(),
        }
    }

    /// Ends the outage, and checks that the store has a possible state and that its commits are durable again.
    fn finish(mut self) -> (usize, usize) {
        self.medium.set_outage(None);
        if self.store.is_none() {
            self.open();
        }
        self.commit();
        assert_eq!(
            self.possible_states.len(),
            1,
            "seed {}: the commit must succeed",
            self.seed
        );
        self.lose_power();
        self.open();
        self.check("at the end");
        assert_eq!(self.possible_states.len(), 1);
        assert!(self.store.is_some(), "seed {}", self.seed);
        (self.failures, self.power_failures)
    }
}

#[test]
fn acknowledged_groups_survive_random_outages_and_no_group_is_partial() {
    let (mut failures, mut power_failures) = (0, 0);
    for seed in 0..RUNS {
        let mut simulation = Simulation::start(seed);
        for _ in 0..STEPS {
            simulation.step();
        }
        let (failure_count, power_failure_count) = simulation.finish();
        failures += failure_count;
        power_failures += power_failure_count;
    }
    assert!(
        failures > 1_000 && power_failures > 1_000,
        "{failures} failed commits and {power_failures} power failures are too few for the test"
    );
}

/// After a failed sync the kernel marks the written pages clean. Unless the store writes them again, the next commit is
/// acknowledged although these pages are not on the disk.
#[test]
fn ranges_of_a_failed_sync_are_written_again() {
    for syncs in 0..8 {
        let medium = Medium::default();
        let clone = medium.clone();
        let mut store = Store::open_on(move || clone.clone()).unwrap();
        let put = |n: u64| Write::put(SPACE, n.to_be_bytes().to_vec(), vec![n as u8; 2_000]);
        store.commit(&[put(0)]).unwrap();
        medium.set_outage(Some(Outage::single(Calls::SYNC, syncs)));
        let acknowledged: Vec<u64> = (1..10)
            .filter(|n| store.commit(&[put(*n)]).is_ok())
            .collect();
        assert_eq!(acknowledged.len(), 8, "one sync fails, after {syncs}");
        medium.set_outage(Some(Outage::permanent(Calls::ALL)));
        drop(store);
        medium.set_outage(None);
        medium.0.lock().unwrap().lose_power(u64::MAX);
        let clone = medium.clone();
        let mut store = Store::open_on(move || clone.clone())
            .unwrap_or_else(|e| panic!("a sync failed after {syncs}: {e}"));
        let found = read_state(&mut store).unwrap();
        assert!(
            acknowledged.iter().all(|n| found.contains_key(n)),
            "{syncs}"
        );
    }
}

/// A failed commit is reported as a transient error, and the store works again after the outage.
#[test]
fn any_call_of_a_commit_may_fail_once_temporarily_or_permanently() {
    for calls in Calls::EACH {
        for first in 0..30 {
            for times in [1, 5, u64::MAX] {
                let medium = Medium::default();
                let clone = medium.clone();
                let mut store = Store::open_on(move || clone.clone()).unwrap();
                let put = |n: u64| Write::put(SPACE, vec![n as u8], vec![n as u8; 5_000]);
                medium.set_outage(Some(Outage::new(calls, first, times)));
                let mut last = None;
                for n in 1..6 {
                    match store.commit(&[put(n), Write::put(SPACE, vec![0], vec![n as u8])]) {
                        Ok(()) => last = Some(n as u8),
                        Err(e) => assert!(e.is_transient(), "{calls:?} {first}: {e}"),
                    }
                }
                medium.set_outage(None);
                let value = store.get(SPACE, &[0]).unwrap().map(|value| value[0]);
                assert!(value >= last, "{calls:?} {first}: {value:?} {last:?}");
                store.commit(&[put(9)]).unwrap();
                assert!((1..=last.unwrap_or(0)).all(|n| {
                    // Unacknowledged groups may or may not be stored.
                    last != Some(n) || store.get(SPACE, &[n]).unwrap().is_some()
                }));
            }
        }
    }
}
