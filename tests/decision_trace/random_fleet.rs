//! Simulates one router among servers that behave at random within what the interface allows. The events are varied
//! rather than realistic, and they depend only on the seed and the router's actions.

use crate::answers::{Answer, Fault, SimulatedServer, FAULTS};
use crate::common::trace::{scramble, Trace};
use crate::common::{server, MS, S, START};
use linnetknot::*;
use std::collections::{BTreeMap, BTreeSet};

const PARTS: u64 = 3;
const GROUPS: u64 = 20;
const RATE_KB_PER_S: f64 = 5_000.0;

struct Client {
    part: (u64, u64),
    transfer_us: Micros,
    streams: bool,
    has_left: bool,
    attempts: u32,
    in_flight: Option<InFlight>,
}

struct InFlight {
    server: ServerId,
    sent: Micros,
}

enum Scheduled {
    Arrival,
    Disturbance,
    Checkpoint(u64),
    Timer(u64),
    StreamStarted(RequestId, u32),
    End(RequestId, u32, Answer),
    Deadline(RequestId),
    ClientLeaves(RequestId),
}

/// Rates and duration of a simulation.
#[derive(Clone, Copy)]
pub(crate) struct Workload {
    /// Duration of the simulation, and interval between two lines of the report, both in simulated time.
    pub seconds: u64,
    pub checkpoint_seconds: u64,
    /// Mean time between requests.
    pub arrival_interval_us: Micros,
    /// Mean time between disturbances.
    pub disturbance_interval_us: Micros,
    /// Number of objects; low numbers are requested most.
    pub object_count: u64,
}

pub(crate) struct RandomFleet {
    pub now: Micros,
    pub settings: Settings,
    workload: Workload,
    pub servers: BTreeMap<ServerId, SimulatedServer>,
    router: Router,
    clients: BTreeMap<RequestId, Client>,
    queue: BTreeMap<(Micros, u64), Scheduled>,
    sequence: u64,
    random_state: u64,
    trace: Trace,
}

impl RandomFleet {
    pub(crate) fn new(
        name: &str,
        settings: Settings,
        workload: Workload,
        seed: u64,
    ) -> RandomFleet {
        let mut fleet = RandomFleet {
            now: START,
            router: Router::new(settings.clone(), seed).expect("valid settings"),
            settings,
            workload,
            servers: BTreeMap::new(),
            clients: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            random_state: scramble(seed),
            trace: Trace::new(format!("{name}-{seed}")),
        };
        (1..=5).for_each(|id| fleet.add_server(server(id, "town", "cache")));
        fleet.add_server(server(6, "shore", "cache"));
        (11..=13).for_each(|id| fleet.add_server(server(id, "hub", "parent")));
        fleet.add_server(server(21, "hub", "origin"));
        fleet.send_list(ListMode::Full);
        fleet.schedule(0, Scheduled::Arrival);
        fleet.schedule(0, Scheduled::Disturbance);
        fleet
    }

    pub(crate) fn add_server(&mut self, mut entry: Server) {
        entry.cell = entry.id % 3;
        let new = SimulatedServer {
            entry,
            fault: Fault::None,
            cached_parts: BTreeSet::new(),
            active: 0,
        };
        self.servers.insert(new.entry.id, new);
    }

    /// Sends the router the complete list, or only the entries that may have changed.
    pub(crate) fn send_list(&mut self, mode: ListMode) {
        let servers = self.servers.values().map(|s| s.entry.clone()).collect();
        self.feed(Event::List { mode, servers });
    }

    /// Returns a random number below `bound`.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.random_state = self.random_state.wrapping_add(1);
        scramble(self.random_state) % bound
    }

    /// Returns true once in `times` calls on average.
    pub(crate) fn one_in(&mut self, times: u64) -> bool {
        self.below(times) == 0
    }

    pub(crate) fn random_share(&mut self) -> f64 {
        self.below(1_000) as f64 / 1_000.0
    }

    pub(crate) fn random_server(&mut self) -> ServerId {
        let nth = self.below(self.servers.len() as u64) as usize;
        *self.servers.keys().nth(nth).expect("an index of the table")
    }

    /// Returns a random fault; half of the results are `Fault::None`.
    pub(crate) fn random_fault(&mut self) -> Fault {
        if self.one_in(2) {
            return Fault::None;
        }
        FAULTS[self.below(FAULTS.len() as u64) as usize]
    }

    pub(crate) fn random_key(&mut self) -> (Option<String>, u64) {
        let (object, group) = (self.below(self.workload.object_count), self.below(GROUPS));
        let object = (!self.one_in(4)).then(|| format!("/o/{object}"));
        (object, group)
    }

    pub(crate) fn update_settings(&mut self, settings: Settings) {
        let taken = self.router.update_settings(settings).is_ok();
        self.trace.mix_in(u64::from(taken));
    }

    fn schedule(&mut self, wait: Micros, what: Scheduled) {
        self.sequence += 1;
        self.queue.insert((self.now + wait, self.sequence), what);
    }

    /// Runs the simulation and returns the report with one line per checkpoint.
    pub(crate) fn run(mut self) -> String {
        let Workload {
            seconds,
            checkpoint_seconds,
            ..
        } = self.workload;
        for second in (1..=seconds).filter(|second| second % checkpoint_seconds == 0) {
            self.schedule(second * S, Scheduled::Checkpoint(second));
        }
        let end = START + seconds * S;
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            self.now = entry.key().0;
            match entry.remove() {
                Scheduled::Arrival => self.arrival(),
                Scheduled::Disturbance => {
                    let wait = self.below(2 * self.workload.disturbance_interval_us) + 1;
                    self.schedule(wait, Scheduled::Disturbance);
                    self.apply_disturbance();
                }
                Scheduled::Checkpoint(second) => self.trace.checkpoint(second),
                Scheduled::Timer(tag) => self.feed(Event::Timer { tag }),
                Scheduled::StreamStarted(request, attempt) => self.start_stream(request, attempt),
                Scheduled::End(request, attempt, answer) => self.end(request, attempt, answer),
                Scheduled::Deadline(request) => self.deadline(request),
                Scheduled::ClientLeaves(request) => self.client_leaves(request),
            }
        }
        self.trace.into_report()
    }

    fn arrival(&mut self) {
        let random_interarrival = self.below(2 * self.workload.arrival_interval_us) + 1;
        self.schedule(random_interarrival, Scheduled::Arrival);
        self.sequence += 1;
        let id = self.sequence;
        // The product of two random numbers favours low numbers.
        let object_count = self.workload.object_count;
        let object = self.below(object_count) * self.below(object_count) / object_count;
        let part = self.below(PARTS);
        let classes = [
            "video", "video", "page", "order", "charge", "stream", "other",
        ];
        let class = classes[self.below(classes.len() as u64) as usize];
        let size_kb = (50 + object * 37 % 900) as f64 * if self.one_in(30) { 40.0 } else { 1.0 };
        let remaining_us = if self.one_in(20) {
            self.below(20 * MS)
        } else {
            200 * MS + self.below(4 * S)
        };
        let sized = self.settings.flow_kb_per_s > 0.0;
        let request = Request {
            id,
            class: class.into(),
            tenant: None,
            object: format!("/o/{object}"),
            part,
            group: object % GROUPS,
            size_kb: if sized { size_kb } else { 0.0 },
            remaining_us,
            is_retry: self.one_in(10),
        };
        let client = Client {
            part: (object, part),
            transfer_us: (size_kb / RATE_KB_PER_S * 1e6) as Micros,
            streams: class == "stream",
            has_left: false,
            attempts: 0,
            in_flight: None,
        };
        self.clients.insert(id, client);
        self.schedule(remaining_us, Scheduled::Deadline(id));
        if self.one_in(25) {
            let wait = self.below(remaining_us + 1);
            self.schedule(wait, Scheduled::ClientLeaves(id));
        }
        let again = self.one_in(100).then(|| request.clone());
        self.feed(Event::Request(request));
        // The router must ignore a request whose id is already open.
        if let Some(request) = again {
            self.feed(Event::Request(request));
        }
    }

    fn start_stream(&mut self, request: RequestId, attempt: u32) {
        let out = |c: &Client| c.in_flight.is_some() && c.attempts == attempt + 1;
        if self.clients.get(&request).is_some_and(out) {
            self.feed(Event::StreamStarted { request, attempt });
        }
    }

    fn end(&mut self, request: RequestId, attempt: u32, answer: Answer) {
        let Some(client) = self.clients.get_mut(&request) else {
            return;
        };
        if client.attempts != attempt + 1 {
            return;
        }
        let (Some(out), has_left, part) = (client.in_flight.take(), client.has_left, client.part)
        else {
            return;
        };
        let settled = answer.outcome == Outcome::Ok || has_left;
        if let Some(server) = self.servers.get_mut(&out.server) {
            server.active = server.active.saturating_sub(1);
            if answer.outcome == Outcome::Ok {
                server.cached_parts.insert(part);
            }
        }
        if settled {
            self.clients.remove(&request);
        }
        let cpu_utilisation = self.random_share();
        self.feed(Event::AttemptEnded {
            request,
            attempt,
            server: out.server,
            outcome: answer.outcome,
            took_us: self.now - out.sent,
            settled,
            note: answer.note,
            first_byte_us: answer.first_byte_us,
            load: Some(Load {
                cpu_utilisation: Some(cpu_utilisation),
                ..Load::default()
            }),
        });
    }

    /// Ends all attempts in flight at a server with a connection reset.
    pub(crate) fn break_connections(&mut self, id: ServerId) {
        let is_out = |c: &Client| c.in_flight.as_ref().is_some_and(|out| out.server == id);
        let broken = self.clients.iter().filter(|(_, client)| is_out(client));
        let broken: Vec<_> = broken
            .map(|(id, client)| (*id, client.attempts - 1))
            .collect();
        for (request, attempt) in broken {
            self.end(request, attempt, Answer::of(Outcome::Reset, Note::None));
        }
    }

    fn deadline(&mut self, request: RequestId) {
        let Some(client) = self.clients.get_mut(&request) else {
            return;
        };
        client.has_left = true;
        let attempt = client.attempts.saturating_sub(1);
        self.end(request, attempt, Answer::of(Outcome::Timeout, Note::None));
        self.clients.remove(&request);
    }

    fn client_leaves(&mut self, request: RequestId) {
        let Some(client) = self.clients.get_mut(&request) else {
            return;
        };
        client.has_left = true;
        self.feed(Event::ClientLeft { request });
    }

    /// Passes an event to the router, and records and carries out its actions.
    pub(crate) fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        self.trace.record(self.now, &mut self.router, &actions);
        for action in actions {
            match action {
                Action::Attempt {
                    request,
                    server,
                    fill,
                    ..
                } => self.attempt(
                    request,
                    server,
                    fill.expect("a fill, which the router always gives"),
                ),
                Action::Cancel { request, attempt } => {
                    let wait = self.below(2 * MS);
                    let answer = Answer::of(Outcome::Cancelled, Note::None);
                    self.schedule(wait, Scheduled::End(request, attempt, answer));
                }
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    self.clients.remove(&request);
                }
                Action::Timer { at, tag } => self.schedule(at - self.now, Scheduled::Timer(tag)),
                Action::Watch | Action::Probe { .. } | Action::Report { .. } => {}
            }
        }
    }

    fn attempt(&mut self, request: RequestId, server: ServerId, fill: Fill) {
        let now = self.now;
        let client = self.clients.get_mut(&request).expect("an open request");
        let number = client.attempts;
        client.attempts += 1;
        client.in_flight = Some(InFlight { server, sent: now });
        let (part, transfer_us, streams) = (client.part, client.transfer_us, client.streams);
        if let Some(target) = self.servers.get_mut(&server) {
            target.active += 1;
        }
        let Some((wait, answer)) = self.answer(server, &fill, part, transfer_us) else {
            return;
        };
        let answer = Answer {
            note: self.visible_note(answer.note),
            ..answer
        };
        if streams {
            self.schedule(wait / 2, Scheduled::StreamStarted(request, number));
        }
        self.schedule(wait, Scheduled::End(request, number, answer));
    }
}
