//! Checks the load on cold caches: in any window, the work that all proxies together send to a cold cache stays below
//! the cache's overload multiple of the work that it can do in that window.

use super::{Breach, Case};
use crate::record::Micros;

pub(super) fn check(case: &Case<'_>, out: &mut Vec<Breach>) {
    for c in &case.record.cold_starts {
        let mut work: Vec<(Micros, f64)> = Vec::new();
        for a in &case.record.attempts {
            if a.target == c.uid && a.at >= c.at {
                work.push((a.at, a.work_us as f64));
            }
            if a.source.as_ref() == Some(&c.uid) && a.at >= c.at && a.fill_us > 0 {
                work.push((a.at, a.fill_us as f64));
            }
        }
        work.sort_by_key(|w| w.0);
        let end = c.at + c.warm_us;
        let (mut first, mut sum) = (0, 0.0);
        for n in 0..work.len() {
            sum += work[n].1;
            // The window ends with this arrival and begins no earlier than the cold start.
            while work[first].0 + c.overload_window_us < work[n].0 {
                sum -= work[first].1;
                first += 1;
            }
            let from = work[n].0.saturating_sub(c.overload_window_us).max(c.at);
            let may = c.overload_multiple * c.work_capacity_us(from, from + c.overload_window_us);
            if work[n].0 <= end && sum > may {
                out.push(Breach {
                    rule: "cold boxes",
                    request: None,
                    target: Some(c.uid.clone()),
                    at: work[n].0,
                    evidence: format!(
                        "{:.0} ms of work in {} ms, limit {:.0} ms, {} ms after its start",
                        sum / 1e3,
                        c.overload_window_us / 1000,
                        may / 1e3,
                        (work[n].0 - c.at) / 1000
                    ),
                });
                break;
            }
        }
    }
}
