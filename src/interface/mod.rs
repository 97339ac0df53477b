//! The interface of the decision module: settings, events and actions. All types are plain data; the only logic is the
//! validation of settings.

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

/// A time or duration in microseconds, on the caller's clock.
pub type Micros = u64;

/// Id of a cache, parent or origin in the server list.
pub type ServerId = u64;

/// Id of a client's request; ids are never reused.
pub type RequestId = u64;
