//! Whether settings can be used.

use super::Settings;
use std::fmt;

/// Why a router can't use its settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no class of requests.
    NoClass,
    /// The router's zone, or a zone's hub, is not among the zones.
    ZoneOutOfRange,
    /// The named figure is negative, not finite, or zero where that makes no sense.
    InvalidValue(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoClass => write!(f, "settings name no class of requests"),
            Self::ZoneOutOfRange => write!(f, "settings name a zone that is not among the zones"),
            Self::InvalidValue(name) => write!(f, "settings hold an unusable figure: {name}"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that a router can use these settings.
    ///
    /// # Errors
    ///
    /// The first reason found why it can't.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClass);
        }
        let zones = self.zones.len();
        if self.zone >= zones || self.zones.iter().any(|z| z.parent_zone >= zones) {
            return Err(SettingsError::ZoneOutOfRange);
        }
        let r = &self.rules;
        let mut sound = vec![
            ("flow", self.flow_kb_per_s),
            ("origin fall multiple", self.origin_overload_multiple),
            ("cold share", r.slow_start_share),
            ("parent cold share", r.parent_slow_start_share),
        ];
        let mut positive = vec![
            ("attempts", f64::from(self.max_attempts)),
            ("fall multiple", r.overload_multiple),
            ("fall time", r.overload_window_us as f64),
            ("parent fall multiple", r.parent_overload_multiple),
        ];
        for c in &self.classes {
            positive.push(("deadline", c.deadline_us as f64));
            sound.extend([
                ("aim stretch", c.objective_stretch),
                ("worth", c.priority_weight),
            ]);
            sound.extend([
                ("late worth", c.late_weight),
                ("stale worth", c.stale_weight),
            ]);
        }
        sound.extend(self.zones.iter().map(|z| ("zone link", z.link_kb_per_s)));
        let bad_sound = sound.iter().find(|(_, x)| !x.is_finite() || *x < 0.0);
        let bad_positive = positive.iter().find(|(_, x)| !x.is_finite() || *x <= 0.0);
        bad_sound
            .or(bad_positive)
            .map_or(Ok(()), |(name, _)| Err(SettingsError::InvalidValue(name)))
    }
}
