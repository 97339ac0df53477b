//! Lists the values that a router learns from answers, with the bounds that each of them stays within.

use super::origin::MIN_ORIGIN_SHARE;
use super::statistics::{max_tail_factor, ClassStatistics, MIN_SLOWDOWN_SAMPLES, MIN_TAIL_FACTOR};
use super::Router;
use crate::interface::{Class, Micros};

/// A value learned from answers, for diagnostics.
#[derive(Clone, Debug, PartialEq)]
pub struct LearnedValue {
    /// Name of the value.
    pub name: &'static str,
    /// Class or server to which the value belongs; empty if it belongs to the whole router.
    pub subject: String,
    /// Current value.
    pub value: f64,
    /// Lowest value that it can have.
    pub min: f64,
    /// Highest value that it can have.
    pub max: f64,
}

impl LearnedValue {
    /// Returns whether the value is finite and within its bounds.
    pub fn is_within_bounds(&self) -> bool {
        self.value.is_finite() && (self.min..=self.max).contains(&self.value)
    }
}

impl Router {
    /// Returns the values learned from answers, as they apply at a time.
    pub fn learned_values(&self, now: Micros) -> Vec<LearnedValue> {
        let mut values = self.learned_by_router();
        let classes = self.settings.classes.iter().zip(&self.class_statistics);
        values.extend(classes.flat_map(|(class, statistics)| learned_by_class(class, statistics)));
        values.extend(self.learned_by_server(now));
        values
    }

    fn learned_by_router(&self) -> Vec<LearnedValue> {
        let value = |name, value, min, max| LearnedValue {
            name,
            subject: String::new(),
            value,
            min,
            max,
        };
        vec![
            value("miss_rate", self.miss_rate, 0.0, 1.0),
            value(
                "origin_share",
                self.origin_admission.share(),
                MIN_ORIGIN_SHARE,
                1.0,
            ),
            value("active_fills", self.active_fills, 0.0, f64::MAX),
            value("mean_active_fills", self.mean_active_fills, 0.0, f64::MAX),
        ]
    }

    fn learned_by_server(&self, now: Micros) -> Vec<LearnedValue> {
        let mut values = Vec::new();
        for (id, server) in &self.endpoints {
            let mut add = |name, value, max| {
                values.push(LearnedValue {
                    name,
                    subject: id.to_string(),
                    value,
                    min: 0.0,
                    max,
                });
            };
            add("failure_rate", server.failure_rate, 1.0);
            add("mean_in_flight", server.mean_in_flight, f64::MAX);
            for (name, average) in [
                ("hit_slowdown", &server.hit_slowdown),
                ("fill_slowdown", &server.fill_slowdown),
            ] {
                if let Some(average) = average.recent_average(now, MIN_SLOWDOWN_SAMPLES) {
                    add(name, average.slowdown, f64::MAX);
                }
            }
        }
        values
    }
}

fn learned_by_class(class: &Class, statistics: &ClassStatistics) -> [LearnedValue; 2] {
    let deadline_s = class.deadline_us as f64 / 1e6;
    let value = |name, value, min, max| LearnedValue {
        name,
        subject: class.name.clone(),
        value,
        min,
        max,
    };
    [
        value("transfer_s", statistics.transfer_s, 0.0, deadline_s),
        value(
            "tail_factor",
            statistics.tail_factor,
            MIN_TAIL_FACTOR,
            max_tail_factor(class),
        ),
    ]
}
