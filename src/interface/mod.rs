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
    AnswerDetail, Class, DedupScope, LoadReports, Repeat, Rules, Settings, Siblings, Tenant, Zone,
};
pub use validation::SettingsError;

/// A time or duration in microseconds, on the clock of the caller.
pub type Micros = u64;

/// Id of a cache, parent or origin in the list of servers.
pub type ServerId = u64;

/// Id of a client's request; never used twice.
pub type RequestId = u64;
