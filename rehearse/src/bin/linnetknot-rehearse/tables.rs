//! Tables of outcomes and plans.

use linnetknot_rehearse::load::Plan;
use linnetknot_rehearse::player::Outcome;
use linnetknot_rehearse::scenario::Scenario;
use std::collections::BTreeSet;

/// Returns the tables of an outcome.
pub(crate) fn outcome(scenario: &Scenario, o: &Outcome) -> String {
    let share = |s: f64, of: f64| format!("{:.1}%", 100.0 * s / of.max(1e-9));
    let mut out = format!(
        "{}: {} requests sent, {} accepted by no proxy, {:.1} ms late at most (p99 {:.1}); {} writes ran, {} of them repeated\n\n",
        scenario.name,
        o.requests,
        o.unsent,
        o.lag_us.1 as f64 / 1e3,
        o.lag_us.0 as f64 / 1e3,
        o.writes.0,
        o.writes.1
    );
    out += "| | offered weight | in time | late | refused | failed | unanswered |\n";
    out += "| --- | --- | --- | --- | --- | --- | --- |\n";
    let names = scenario.load.classes.iter().map(|c| c.name.as_str());
    let rows = std::iter::once(("all", &o.score.total)).chain(names.zip(&o.score.classes));
    for (name, s) in rows {
        let [a, b, c, d, e] =
            [s.earned, s.late, s.refused, s.failed, s.unanswered].map(|x| share(x, s.offered));
        out += &format!(
            "| {name} | {:.0} | {a} | {b} | {c} | {d} | {e} |\n",
            s.offered
        );
    }
    out += "\n| wait in ms from the due time | served | p50 | p90 | p99 | p99.9 | max |\n";
    out += "| --- | --- | --- | --- | --- | --- | --- |\n";
    for (class, w) in scenario.load.classes.iter().zip(&o.waits) {
        let [a, b, c, d, e] =
            [w.p50, w.p90, w.p99, w.p999, w.max].map(|us| format!("{:.1}", us as f64 / 1e3));
        out += &format!(
            "| {} | {} of {} | {a} | {b} | {c} | {d} | {e} |\n",
            class.name, w.served, w.requests
        );
    }
    if let Some((second, score)) = o.score.worst {
        out += &format!("\nworst ten seconds: from second {second}, {score:.3}\n");
    }
    for b in o.breaches.iter().take(50) {
        out += &format!("BREACH {b}\n");
    }
    out + &format!("{} breaches\n", o.breaches.len())
}

/// Returns the tables of a plan.
pub(crate) fn plan(scenario: &Scenario, plan: &Plan) -> String {
    let (name, seconds) = (&scenario.name, scenario.seconds);
    let mut out = format!(
        "{name}: {} requests and {} purges in {seconds} s\n",
        plan.arrivals.len(),
        plan.purges.len()
    );
    out += "\n| class | requests | objects | MB |\n| --- | --- | --- | --- |\n";
    for (n, class) in scenario.load.classes.iter().enumerate() {
        let of: Vec<_> = plan.arrivals.iter().filter(|a| a.class == n).collect();
        let objects: BTreeSet<u64> = of.iter().map(|a| a.object).collect();
        let mb = of.iter().map(|a| a.size_kb).sum::<f64>() / 1e3;
        out += &format!(
            "| {} | {} | {} | {mb:.0} |\n",
            class.name,
            of.len(),
            objects.len()
        );
    }
    out += "\n| second | requests | purges |\n| --- | --- | --- |\n";
    let mut rows = vec![(0, 0); seconds.ceil() as usize];
    let last = rows.len() - 1;
    let row = |at: u64| ((at / 1_000_000) as usize).min(last);
    plan.arrivals.iter().for_each(|a| rows[row(a.at)].0 += 1);
    plan.purges.iter().for_each(|p| rows[row(p.at)].1 += 1);
    for (second, (requests, purges)) in rows.into_iter().enumerate() {
        out += &format!("| {second} | {requests} | {purges} |\n");
    }
    out
}
