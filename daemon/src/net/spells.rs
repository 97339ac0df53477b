//! Spells of failing system calls in the log: one line when the first call fails and one, with the counts, once none has
//! failed for a while.

use super::errno::{Call, Failure};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A spell is over once no call has failed for so long.
const QUIET: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Spell {
    failures: u64,
    begun: Instant,
    last: Instant,
}

/// The spells that go on, by the call that fails.
#[derive(Debug, Default)]
pub struct Spells {
    open: BTreeMap<Call, Spell>,
}

/// A spell that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// The call that failed.
    pub call: Call,
    /// How often it failed.
    pub failures: u64,
    /// From the first failure to the last.
    pub lasted: Duration,
}

impl Spells {
    /// Counts a failure. True: a spell has begun with it.
    pub fn note(&mut self, now: Instant, call: Call) -> bool {
        let spell = self.open.entry(call).or_insert(Spell {
            failures: 0,
            begun: now,
            last: now,
        });
        spell.failures += 1;
        spell.last = now;
        spell.failures == 1
    }

    /// Takes out the spells that are over.
    pub fn end_quiet(&mut self, now: Instant) -> Vec<Ended> {
        self.take(|spell| now.duration_since(spell.last) >= QUIET)
    }

    fn take(&mut self, is_over: impl Fn(&Spell) -> bool) -> Vec<Ended> {
        let mut ended = Vec::new();
        self.open.retain(|call, spell| {
            let over = is_over(spell);
            if over {
                ended.push(Ended {
                    call: *call,
                    failures: spell.failures,
                    lasted: spell.last.duration_since(spell.begun),
                });
            }
            !over
        });
        ended
    }
}

thread_local! {
    /// The event loop is one thread, which makes all of the calls.
    static SPELLS: RefCell<Spells> = RefCell::new(Spells::default());
}

/// Counts a failure that lies with this machine or process, or a connection lost before it was accepted; what ends one
/// connection is everyday and not logged.
pub(super) fn note(failure: &Failure) {
    let is_told = failure.is_local() || failure.call == Call::Accept;
    if is_told && SPELLS.with_borrow_mut(|spells| spells.note(Instant::now(), failure.call)) {
        log::warn!(call = failure.call.name(), kind:? = failure.kind; "system calls fail: {failure}");
    }
}

/// Logs the spells that have ended; called in each turn of the loop.
pub fn log_ended() {
    log_all(SPELLS.with_borrow_mut(|spells| {
        if spells.open.is_empty() {
            Vec::new()
        } else {
            spells.end_quiet(Instant::now())
        }
    }));
}

/// Logs all spells, also those that go on: the process ends.
pub fn log_rest() {
    log_all(SPELLS.with_borrow_mut(|spells| spells.take(|_| true)));
}

fn log_all(ended: Vec<Ended>) {
    for spell in ended {
        log::warn!(
            call = spell.call.name(),
            failures = spell.failures,
            lasted_ms = spell.lasted.as_millis() as u64;
            "system calls have stopped failing"
        );
    }
}
