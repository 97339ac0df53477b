//! What goes into the decision module and what comes out: settings, events and actions. Plain data, but for the check
//! of the settings.

mod actions;
mod events;
mod servers;
mod settings;
mod validation;

pub use actions::{Action, Fill};
pub use events::{Budget, Event, Lease, Note, Outcome, Request};
pub use servers::{ListMode, Load, Server, State};
pub use settings::{
    Class, DedupScope, Repeat, Reports, Rules, Settings, Siblings, Tells, Tenant, Zone,
};
pub use validation::SettingsError;

/// Time or duration in microseconds, on the clock of whoever feeds the router.
pub type Micros = u64;

/// A cache, parent or origin, by the id that the list of servers gives it.
pub type ServerId = u64;

/// A client's try of a request. Never used twice.
pub type RequestId = u64;
