//! Records the actions of a router and folds them into a digest. Two digests are equal only if all actions, their times
//! and their order are equal.

use linnetknot::*;
use std::fmt::Write;

/// Counts and a digest of the actions of one or more routers.
pub(crate) struct Trace {
    /// First word of each report line.
    name: String,
    digest: u64,
    events: u64,
    attempts: u64,
    cancels: u64,
    refusals: u64,
    failures: u64,
    report: String,
}

/// The finaliser of splitmix64, repeated here so that the digest does not depend on the decision module.
pub(crate) fn scramble(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Maps an optional time to a number; `None` becomes a number that no time has.
fn optional(us: Option<Micros>) -> u64 {
    us.unwrap_or(u64::MAX)
}

impl Trace {
    pub(crate) fn new(name: String) -> Trace {
        Trace {
            name,
            digest: 0,
            events: 0,
            attempts: 0,
            cancels: 0,
            refusals: 0,
            failures: 0,
            report: String::new(),
        }
    }

    /// Adds a number to the digest.
    pub(crate) fn mix_in(&mut self, value: u64) {
        self.digest = scramble(self.digest ^ value).rotate_left(1);
    }

    /// Adds the actions of a router for an event, and the results of its queries afterwards.
    pub(crate) fn record(&mut self, now: Micros, router: &mut Router, actions: &[Action]) {
        self.events += 1;
        self.mix_in(now);
        self.mix_in(actions.len() as u64);
        for action in actions {
            self.action(action);
            if let Action::Attempt { request, .. } = action {
                let max_age = router.recheck_queued_attempt(now + 1_000, *request);
                self.mix_in(max_age.map_or(u64::MAX - 1, optional));
            }
        }
        self.mix_in(router.origin_requests_in_flight() as u64);
        self.mix_in(router.take_origin_share_report().map_or(0, f64::to_bits));
        for parents in [false, true] {
            self.mix_in(
                router
                    .max_slow_start_usage(now, parents)
                    .map_or(0, f64::to_bits),
            );
        }
        self.mix_in(router.purges().exact_len() as u64);
    }

    fn action(&mut self, action: &Action) {
        let (counter, values) = match action {
            Action::Attempt {
                request,
                server,
                timeout_us,
                fill,
            } => {
                self.mix_in_all(&[*request, *server, optional(*timeout_us)]);
                self.fill(fill.as_ref());
                (&mut self.attempts, [1, 0, 0])
            }
            Action::Cancel { request, attempt } => {
                (&mut self.cancels, [2, *request, u64::from(*attempt)])
            }
            Action::Refuse {
                request,
                retry_after_us,
            } => (&mut self.refusals, [3, *request, optional(*retry_after_us)]),
            Action::Fail { request } => (&mut self.failures, [4, *request, 0]),
            Action::Timer { at, tag } => (&mut 0, [5, *at, *tag]),
            Action::Probe { server } => (&mut 0, [6, *server, 0]),
            Action::Watch => (&mut 0, [7, 0, 0]),
            Action::Report { line } => (&mut 0, [8, line.len() as u64, 0]),
        };
        *counter += 1;
        self.mix_in_all(&values);
    }

    fn fill(&mut self, fill: Option<&Fill>) {
        let Some(fill) = fill else {
            return self.mix_in(0);
        };
        let flags = [
            fill.coalesce,
            fill.only_if_cached,
            fill.bypass_parent,
            fill.background_refresh,
        ];
        let flags = flags
            .iter()
            .fold(1, |bits, flag| bits << 1 | u64::from(*flag));
        self.mix_in_all(&[
            fill.source,
            u64::from(fill.cache_rank),
            optional(fill.max_age_us),
            flags,
        ]);
    }

    fn mix_in_all(&mut self, values: &[u64]) {
        values.iter().for_each(|value| self.mix_in(*value));
    }

    /// Adds a line with all counts and the current digest to the report.
    pub(crate) fn checkpoint(&mut self, second: u64) {
        let Trace {
            name,
            digest,
            events,
            attempts,
            cancels,
            refusals,
            failures,
            report,
        } = self;
        writeln!(
            report,
            "{name} {second}s events {events} attempts {attempts} cancels {cancels} refusals {refusals} \
             failures {failures} digest {digest:016x}"
        )
        .expect("writing to a string cannot fail");
    }

    /// Returns the lines of all checkpoints.
    pub(crate) fn into_report(self) -> String {
        self.report
    }
}
