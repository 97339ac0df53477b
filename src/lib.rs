//! linnetknot makes the decisions of an edge proxy in front of caches that hold large objects and have low-bandwidth
//! links: which cache receives a request, where a miss is filled from, what is cached, and how failures are handled.
//!
//! The library performs no I/O. A proxy passes events to a [`Router`] and carries out the actions that it returns. The
//! router reads no clock: the caller passes the current time as `now`. All random choices derive from the seed.
//!
//! ```
//! use linnetknot::*;
//!
//! let class = Class {
//!     name: "video".into(), objective_us: 500_000, objective_stretch: 1.5, deadline_us: 5_000_000, priority_weight: 2.0,
//!     late_weight: 0.1, repeat: Repeat::Safe, dedup_scope: DedupScope::All, dedup_window_us: 0, streaming: false,
//!     multipart: true, write: false, fresh_us: 0, grace_us: 0, stale_weight: 0.0,
//! };
//! let zone = |name: &str, routers, parent_zone| Zone { name: name.into(), routers, parent_zone, link_kb_per_s: 0.0 };
//! let mut settings = Settings {
//!     classes: vec![class], tenants: vec![], zones: vec![zone("hub", 0, 0), zone("town", 1, 0)], zone: 1,
//!     router_index: Some(0),
//!     parent_kind: None, origin_kind: "origin".into(), polls_list: false,
//!     direct_to_upstream: false, coalesces_fills: true,
//!     siblings: Siblings::Off, answer_detail: AnswerDetail::All, load_reports: LoadReports::Off, weights_known: true,
//!     flow_kb_per_s: 4_000.0, max_attempts: 4, hedged_requests: false, cancel: true, probes: false,
//!     retry_after: true, max_retry_after_us: 1_000_000, origin_overload_multiple: 0.0,
//!     rules: Rules {
//!         drain_grace_us: 1_000_000, slow_start_share: 0.2, slow_start_us: 10_000_000, overload_multiple: 3.0,
//!         overload_window_us: 1_000_000, parent_slow_start_share: 0.1, parent_slow_start_us: 10_000_000,
//!         parent_overload_multiple: 2.0,
//!         purge_grace_us: 500_000, purge_completion_us: 5_000_000, max_poll_age_us: 0,
//!     },
//! };
//! let mut router = Router::new(settings.clone(), 42)?;
//! let mut actions = Vec::new();
//!
//! // The server list: one cache in the router's zone, and the origin.
//! let server = |id, zone: &str, kind: &str| Server {
//!     id, zone: zone.into(), cell: 0, kind: kind.into(), weight: 8.0, state: State::Ready, started: None,
//! };
//! let servers = vec![server(1, "town", "cache"), server(9, "hub", "origin")];
//! router.handle(0, Event::List { mode: ListMode::Full, servers }, &mut actions);
//!
//! // A request is sent to the cache, with the origin as the source of the fill.
//! actions.clear();
//! let request = Request {
//!     id: 7, class: "video".into(), tenant: None, object: "/o/film".into(), part: 0, group: 0,
//!     size_kb: 900.0, remaining_us: 5_000_000, is_retry: false,
//! };
//! router.handle(1_000, Event::Request(request), &mut actions);
//! assert!(matches!(actions[0], Action::Attempt { request: 7, server: 1, fill: Some(Fill { source: 9, .. }), .. }));
//!
//! // After the attempt has ended with an answer, no action remains.
//! actions.clear();
//! let outcome = Event::AttemptEnded {
//!     request: 7, attempt: 0, server: 1, outcome: Outcome::Ok, took_us: 240_000, settled: true,
//!     note: Note::Filled, first_byte_us: 30_000, load: None,
//! };
//! router.handle(241_000, outcome, &mut actions);
//! assert!(actions.is_empty());
//!
//! // Invalid settings are rejected.
//! settings.classes.clear();
//! assert_eq!(Router::new(settings, 42).err(), Some(SettingsError::NoClass));
//! # Ok::<(), SettingsError>(())
//! ```

mod hashing;
pub mod interface;
mod ramp;
mod router;
mod statistics;

pub use interface::*;
pub use linnetknot_purges as purges;
pub use router::{LearnedValue, Router};
