//! Settings, server lists and a router harness for the tests of the decision module.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub(crate) mod trace;
pub(crate) mod world;

use linnetknot::*;

pub(crate) const MS: Micros = 1_000;
pub(crate) const S: Micros = 1_000_000;
/// Start time of the tests, long after the start of every server.
pub(crate) const START: Micros = 100 * S;

pub(crate) fn class(name: &str) -> Class {
    Class {
        name: name.into(),
        objective_us: 500 * MS,
        objective_stretch: 1.5,
        deadline_us: 5 * S,
        priority_weight: 1.0,
        late_weight: 0.1,
        repeat: Repeat::Safe,
        dedup_scope: DedupScope::All,
        dedup_window_us: 2 * S,
        streaming: false,
        multipart: true,
        write: false,
        fresh_us: 0,
        grace_us: 0,
        stale_weight: 0.5,
    }
}

fn classes() -> Vec<Class> {
    vec![
        class("video"),
        Class {
            fresh_us: 10 * S,
            ..class("page")
        },
        Class {
            repeat: Repeat::Keyed,
            write: true,
            ..class("order")
        },
        Class {
            repeat: Repeat::Unsafe,
            write: true,
            ..class("charge")
        },
        Class {
            streaming: true,
            ..class("stream")
        },
    ]
}

fn rules() -> Rules {
    Rules {
        drain_grace_us: S,
        slow_start_share: 0.2,
        slow_start_us: 10 * S,
        overload_multiple: 3.0,
        overload_window_us: S,
        parent_slow_start_share: 0.1,
        parent_slow_start_us: 20 * S,
        parent_overload_multiple: 2.0,
        purge_grace_us: 500 * MS,
        purge_completion_us: 6 * S,
        max_poll_age_us: 0,
    }
}

pub(crate) fn settings() -> Settings {
    let zone = |name: &str, routers, link_kb_per_s| Zone {
        name: name.into(),
        routers,
        parent_zone: 0,
        link_kb_per_s,
    };
    Settings {
        classes: classes(),
        tenants: vec![],
        zones: vec![
            zone("hub", 0, 0.0),
            zone("town", 1, 100_000.0),
            zone("shore", 1, 100_000.0),
        ],
        zone: 1,
        router_index: None,
        parent_kind: Some("parent".into()),
        origin_kind: "origin".into(),
        polls_list: false,
        direct_to_upstream: true,
        coalesces_fills: true,
        siblings: Siblings::Off,
        answer_detail: AnswerDetail::All,
        load_reports: LoadReports::Off,
        weights_known: true,
        flow_kb_per_s: 5_000.0,
        max_attempts: 6,
        hedged_requests: false,
        cancel: true,
        probes: false,
        retry_after: true,
        max_retry_after_us: S,
        origin_overload_multiple: 2.5,
        rules: rules(),
    }
}

pub(crate) fn server(id: ServerId, zone: &str, kind: &str) -> Server {
    Server {
        id,
        zone: zone.into(),
        cell: id,
        kind: kind.into(),
        weight: if kind == "parent" { 30.0 } else { 8.0 },
        state: State::Ready,
        started: None,
    }
}

/// Returns caches 1 to 4 in the router's location, one cache in another location, two parents and the origin.
pub(crate) fn fleet() -> Vec<Server> {
    let mut all: Vec<Server> = (1..=4).map(|id| server(id, "town", "cache")).collect();
    all.push(server(5, "shore", "cache"));
    all.push(server(11, "hub", "parent"));
    all.push(server(12, "hub", "parent"));
    all.push(server(21, "hub", "origin"));
    all
}

pub(crate) struct RouterHarness {
    pub router: Router,
    pub now: Micros,
    pub next_id: RequestId,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SentAttempt {
    pub request: RequestId,
    pub server: ServerId,
    pub fill: Fill,
    pub timeout_us: Option<Micros>,
}

impl RouterHarness {
    pub(crate) fn new(settings: Settings, fleet: Vec<Server>) -> RouterHarness {
        let mut harness = RouterHarness {
            router: Router::new(settings, 7).expect("valid settings"),
            now: START,
            next_id: 1,
        };
        harness.handle(Event::List {
            mode: ListMode::Full,
            servers: fleet,
        });
        harness
    }

    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    pub(crate) fn request(
        &mut self,
        class: &str,
        object: &str,
        remaining_us: Micros,
    ) -> (RequestId, Vec<Action>) {
        self.request_of(class, object, remaining_us, 500.0)
    }

    /// Sends a request of class `video` with this size.
    pub(crate) fn request_sized(&mut self, object: &str, size_kb: f64) -> (RequestId, Vec<Action>) {
        self.request_of("video", object, 5 * S, size_kb)
    }

    fn request_of(
        &mut self,
        class: &str,
        object: &str,
        remaining_us: Micros,
        size_kb: f64,
    ) -> (RequestId, Vec<Action>) {
        let id = self.next_id;
        self.next_id += 1;
        let (class, object) = (class.into(), object.into());
        let (tenant, part, group, is_retry) = (None, 0, 3, false);
        let request = Request {
            id,
            class,
            tenant,
            object,
            part,
            group,
            size_kb,
            remaining_us,
            is_retry,
        };
        let actions = self.handle(Event::Request(request));
        (id, actions)
    }

    /// Sends a request and expects an attempt.
    pub(crate) fn send_request(&mut self, class: &str, object: &str) -> SentAttempt {
        let (_, actions) = self.request(class, object, 5 * S);
        sent(&actions).unwrap_or_else(|| panic!("no attempt in {actions:?}"))
    }

    pub(crate) fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_with(request, attempt, server, outcome, Note::None)
    }

    pub(crate) fn end_attempt_with(
        &mut self,
        request: RequestId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        note: Note,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded {
            request,
            attempt,
            server,
            outcome,
            took_us: 100 * MS,
            settled: outcome == Outcome::Ok,
            note,
            first_byte_us: 0,
            load: None,
        })
    }

    pub(crate) fn tick(&mut self) -> Vec<Action> {
        self.handle(Event::Timer { tag: 0 })
    }
}

pub(crate) fn sent(actions: &[Action]) -> Option<SentAttempt> {
    actions.iter().find_map(|a| match a {
        Action::Attempt {
            request,
            server,
            timeout_us,
            fill: Some(fill),
        } => Some(SentAttempt {
            request: *request,
            server: *server,
            fill: *fill,
            timeout_us: *timeout_us,
        }),
        _ => None,
    })
}

pub(crate) fn final_answers(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. }))
        .count()
}
