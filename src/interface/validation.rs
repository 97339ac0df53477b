//! Validation of settings.

use super::Settings;
use std::fmt;

/// Reason why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// No class of requests is defined.
    NoClass,
    /// The router's zone or the parent zone of a zone is not in the list of zones.
    ZoneOutOfRange,
    /// The named value is negative, not finite, or zero where it must be positive.
    InvalidValue(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoClass => write!(f, "settings define no class of requests"),
            Self::ZoneOutOfRange => write!(f, "settings refer to a zone that is not defined"),
            Self::InvalidValue(name) => write!(f, "settings hold an invalid value: {name}"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns the first problem found.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClass);
        }
        let zones = self.zones.len();
        if self.zone >= zones || self.zones.iter().any(|zone| zone.parent_zone >= zones) {
            return Err(SettingsError::ZoneOutOfRange);
        }
        let rules = &self.rules;
        let mut non_negative = vec![
            ("flow", self.flow_kb_per_s),
            ("origin fall multiple", self.origin_overload_multiple),
            ("cold share", rules.slow_start_share),
            ("parent cold share", rules.parent_slow_start_share),
        ];
        let mut positive = vec![
            ("attempts", f64::from(self.max_attempts)),
            ("fall multiple", rules.overload_multiple),
            ("fall time", rules.overload_window_us as f64),
            ("parent fall multiple", rules.parent_overload_multiple),
        ];
        for class in &self.classes {
            positive.push(("deadline", class.deadline_us as f64));
            non_negative.extend([
                ("aim stretch", class.objective_stretch),
                ("worth", class.priority_weight),
            ]);
            non_negative.extend([
                ("late worth", class.late_weight),
                ("stale worth", class.stale_weight),
            ]);
        }
        non_negative.extend(
            self.zones
                .iter()
                .map(|zone| ("zone link", zone.link_kb_per_s)),
        );
        let invalid_non_negative = non_negative
            .iter()
            .find(|(_, value)| !value.is_finite() || *value < 0.0);
        let invalid_positive = positive
            .iter()
            .find(|(_, value)| !value.is_finite() || *value <= 0.0);
        invalid_non_negative
            .or(invalid_positive)
            .map_or(Ok(()), |(name, _)| Err(SettingsError::InvalidValue(name)))
    }
}
