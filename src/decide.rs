//! All decisions of the router. Its interface - settings, events and actions - stands in `interface.rs`.
//!
//! Reading order: constants, what is remembered, the ordinary path (`route`, `pick_cache`, `pick_source`),
//! then the defences: health by symptom, silence, crowding, cold budgets, further attempts and giving up.

use crate::aging::{faded, Counts, Pace};
use crate::checks::SettingsError;
use crate::hashing::share_of;
use crate::interface::*;
use crate::ramp::{Ramp, GOLDEN};
use linnetknot_purges::hashing::mix;
use linnetknot_purges::{BucketBits, KeyHash, PurgeTable};
use std::collections::{btree_map, BTreeMap, VecDeque};

// ---- Constants. Times in microseconds unless the name says otherwise. ----

const HALF_LIFE_S: f64 = 10.0; // Half-life of the request counts: the design's value.
const TABLE_SIZE: usize = 20_000; // Entries of a table of counts; the least counted go first when it is full.
const PRIOR_REQUESTS: f64 = 50.0; // Taken as seen by a new table: its first objects are not hot yet.
const REPEAT_COUNT: f64 = 1.3; // Asked for again while counted: kept at rank 2, so no scan pushes it out.
const MARK_US: Micros = 1_500_000; // First mark of a server that fails, doubled with each failed trial.
const MARK_MAX_US: Micros = 4_000_000; // Longest: a server that came back is missed for no longer.
const FAIL_STEP: f64 = 0.3; // Weight of one outcome in a server's failure share.
const FAIL_LIMIT: f64 = 0.45; // Marked above this failure share: two in a row, or a lasting third.
const GONE_WEIGHT: f64 = 2.0; // Not reached: marked at once, its process is down whatever the list says.
const RESET_WEIGHT: f64 = 0.5; // A broken connection: if its process has ended, that shows with the next one.
const ERRORS: u32 = 2; // So many servers that fail a request: it is the request that can't be used.
const LINK_MARGIN: f64 = 0.4; // Share of the time left that a fill may need: what is late costs others too.
const MARGIN_UNTOLD: f64 = 0.5; // Of a link or cache where sizes are not told: what is large has to fit too.
/// Share of the time left that a transfer from a cache may be expected to take: more come while it runs.
const CACHE_MARGIN: f64 = 0.75;
const STUCK_TIMES: f64 = 2.2; // Stuck: so many times as long as nearly all answers of its class.
const LONG_SHARE: f64 = 0.02; // Those that took longer than `STUCK_TIMES` is counted from.
const LONG_STEP: f64 = 0.2; // Weight of one answer in what that time is.
const STUCK_WEIGHT: f64 = 0.25; // Against its server: it may be a large object or a slow source.
const TICK_US: Micros = 50_000; // How often overdue attempts are looked for.
const OVERDUE_US: Micros = 250_000; // An attempt is overdue after this, and `OVERDUE_TIMES` its usual time.
const OVERDUE_TIMES: f64 = 2.0; // See `OVERDUE_US`.
const OVERDUE_COUNT: usize = 2; // So many overdue and no answer since the first was sent: silent.
const STRETCHED: f64 = 1.3; // Hits that take more, over their sending time, show a link shared by too many.
/// Fills tell of the link for so long, by halves: old ones would hide that it has room again.
const LINK_HALF_MS: u64 = 1_000;
const LINK_OPENS_S: f64 = 1.0; // With no fills at all the link is taken to fit twice as much after this.
const LINK_TOLD: f64 = 1.5; // As `PACE_TOLD`, however long ago they were.
const USUAL_STEP: f64 = 0.01; // Weight of one request in the usual sending time of its class.
const WAY_S: f64 = 0.02; // Time of a hit besides its sending time.
const MEAN_S: f64 = 3.0; // Own transfers are averaged over so many seconds to guess the other routers'.
const COLD_USE: f64 = 0.55; // Used share of a cold server's budget: the rest is slack for chance.
const LEAST_US: Micros = 5_000; // Least time in which an attempt can be answered.
const RETRY_AFTER_US: Micros = 200_000; // Advice with a refusal: short, so that the next try can be in time.
const ORIGIN_FALL: f64 = 0.85; // Of the share of requests that may have the origin asked, with a late answer.
const ORIGIN_FALL_MOST: f64 = 3.0; // Times that, the later the answer: a long queue is slow to show.
const ORIGIN_STEP: f64 = 0.04; // Added to it with one in time.
const ORIGIN_LEAST: f64 = 0.05; // Least: so many find out whether it is well again.
/// An answer speaks for so many more for each second since the one before: a router among many sees few.
const ORIGIN_PER_S: f64 = 10.0;
const ORIGIN_TOLD: f64 = 2.0; // An answer so many times its aim late is told to others: less may be chance.
const FILL_TRIES: u32 = 2; // Failed fills, untold ones twice, until it is only looked for in the caches.
const CLEARLY: f64 = 2.0; // The second parent fills while the first's fills take so many times as long.
const PACE_HALF_MS: u64 = 10_000; // Hits and fills of one server tell of its pace for so long, by halves.
const PACE_TOLD: f64 = 2.0; // Aged number of hits or fills from which their pace is told.
/// Purges held exactly, also once carried out: a fill across one may leave an older copy.
const EXACT_PURGES: usize = 16_384;
const WATCH_AGAIN_US: Micros = 1_000_000; // Wait before the list is asked for again after a failed call.
const TICK_TAG: u64 = 0; // Tag of the recurring timer.
const WATCH_TAG: u64 = 1; // Tag of the timer to ask for the list again.

mod purges;
mod retune;

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Role {
    #[default]
    Cache,
    Parent,
    Origin,
}

/// A server to try, and the source of its fill.
type Target = (ServerId, Option<ServerId>);

#[derive(Default)]
struct Known {
    role: Role,
    zone: usize,
    cell: u64,
    weight: f64,
    state: State,
    started: Option<Micros>,
    lost: bool, // It could not be reached; when it answers again, its process is taken to have just started.
    back: Option<Micros>,
    failing: f64, // Share of recent attempts that failed by this server's fault.
    marked_until: Micros,
    strikes: u32, // Marks in a row; above 0 the server is on trial once its mark has run out.
    on_trial: bool,
    last_ok: Micros,
    reset_at: Micros, // When a connection to it last broke.
    out: usize,
    mean_out: f64,             // Transfers to it from here, averaged over `MEAN_S`.
    hits: Pace<PACE_HALF_MS>,  // Its recent hits from here.
    fills: Pace<PACE_HALF_MS>, // Recent fills from it whose size was told.
    /// What was sent to it while cold: when, and its work in seconds.
    charged: VecDeque<(Micros, f64, RequestId)>,
}

struct Attempt {
    number: u32,
    server: ServerId,
    source: Option<ServerId>,
    sent: Micros,
    overdue_at: Micros,
    held: f64, // Transfers that the server held, this one with them, as far as could be judged.
    fills: f64, // Fills by the location's link when it was sent, this one with them.
    cancelled: bool,
    stuck_at: Micros, // When sharing no longer explains that it is still out; called off for that.
    stuck: bool,
    fetches: bool, // Its source is a parent or the origin.
    asks: bool,    // It may have the origin asked.
}

#[derive(Default)]
struct Open {
    class: usize,
    unit: u64,
    object: u64,
    group: u64,
    work_s: f64,
    sized: bool,
    count: f64,
    repeats: f64,
    aim_at: Micros,
    deadline: Micros,
    draw: f64, // From 0 to 1: below the origin's share it may have the origin asked.
    attempts: u32,
    out: Option<Attempt>,
    begun: bool,
    over: bool,
    failed_fills: u32, // Attempts that failed by their source, or may have, or that a parent lacked.
    stuck: u32,        // Attempts called off as stuck.
    errors: u32,       // Attempts that servers failed without a reason.
    erred: Option<ServerId>, // The server of the first of these: judged once another one serves the request.
    missed: bool,            // Its cache was only looked into and holds no copy: it must be filled.
    tried: Vec<ServerId>,
    bad_sources: Vec<ServerId>,
    /// First attempt that may have run: when it was sent, and its server's zone and cell.
    may_have_run: Option<(Micros, usize, u64)>,
}

/// A router: one instance decides for one proxy.
pub struct Router {
    settings: Settings,
    random: u64,
    servers: BTreeMap<ServerId, Known>,
    ready: [Vec<ServerId>; 3], // The ready ones of each role: all that a request ranks.
    seed: u64,
    open: BTreeMap<RequestId, Open>,
    objects: Counts,
    parts: Counts,
    usual_s: Vec<(f64, f64)>, // By class: usual sending time in seconds, and how many it was learned from.
    long: Vec<f64>, // By class: what all but `LONG_SHARE` of the answers took at most, over `base_s`.
    missing: f64,   // Share of attempts that find no copy in the cache.
    /// Fills that seem to be under way by the location's link from this router, now and on average.
    filling: f64,
    mean_filling: f64,
    /// Recent fills by the location's link, whoever gave them: what they took tells its size.
    link: Pace<LINK_HALF_MS>,
    /// Share of the requests that may have the origin asked: it falls while its answers come too late.
    origin_share: f64,
    origin_at: Micros,    // When that was last learned.
    found: Option<f64>,   // What it fell to by an answer that others should know of.
    heard: (f64, Micros), // What it may be at most by what others found, and until when.
    /// The latest purge of each object and of each group.
    purges: PurgeTable,
    /// What is to be added to this router's clock for the one by which purges are dated.
    origin_offset_us: i64,
    leases: BTreeMap<Budget, Lease>, // Of what all routers share.
    ticking: bool,
}

/// The ready servers in the shared hash order of a unit.
struct Ranked {
    caches: Vec<ServerId>,
    parents: Vec<ServerId>,
    origin: Option<ServerId>,
}

/// Place in the shared hash order (rendezvous hashing, by weight): lowest first.
fn place(unit: u64, server: ServerId, weight: f64) -> f64 {
    let h = mix(unit ^ mix(server.wrapping_add(0x9e37_79b9_7f4a_7c15)));
    let u = ((h >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -u.ln() / weight.max(1e-6)
}

impl Router {
    /// A router for one proxy. Equal settings, seed and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let usual_s: Vec<_> = settings
            .classes
            .iter()
            .map(|c| (c.aim_us as f64 / 1e6 / 2.0, 0.0))
            .collect();
        Ok(Router {
            settings,
            random: mix(seed ^ 0x5bd1_e995),
            servers: BTreeMap::new(),
            ready: Default::default(),
            seed,
            open: BTreeMap::new(),
            objects: Counts::new(HALF_LIFE_S, TABLE_SIZE),
            parts: Counts::new(HALF_LIFE_S, TABLE_SIZE),
            long: vec![4.0; usual_s.len()],
            usual_s,
            missing: 0.5,
            filling: 0.0,
            mean_filling: 0.0,
            link: Pace::default(),
            origin_share: 1.0,
            origin_at: Micros::MAX, // The first answer speaks for itself alone.
            found: None,
            heard: (1.0, 0),
            purges: PurgeTable::new(EXACT_PURGES, BucketBits::DEFAULT),
            origin_offset_us: 0,
            leases: BTreeMap::new(),
            ticking: false,
        })
    }

    /// Takes an event in and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if !self.ticking {
            self.ticking = true;
            actions.push(Action::Timer {
                at: now + TICK_US,
                tag: TICK_TAG,
            });
            actions.extend(self.settings.ask_for_list.then_some(Action::Watch));
        }
        match event {
            Event::List {
                mode: ListMode::Failed,
                ..
            } => {
                actions.push(Action::Timer {
                    at: now + WATCH_AGAIN_US,
                    tag: WATCH_TAG,
                });
            }
            Event::List { mode, servers } => self.list(mode == ListMode::Full, servers),
            Event::Request(r) => self.request(now, r, actions),
            Event::Begun { request, attempt } => {
                let open = self.open.get_mut(&request).into_iter();
                open.for_each(|o| o.begun |= o.out.as_ref().is_some_and(|a| a.number == attempt));
            }
            Event::Outcome { .. } => self.outcome(now, event, actions),
            Event::Left { request } => self.left(request, actions),
            Event::Timer { tag: TICK_TAG } => self.tick(now, actions),
            Event::Timer { tag: WATCH_TAG } => actions.push(Action::Watch),
            Event::Timer { .. } | Event::Probed { .. } => {}
            Event::Heard {
                origin_share,
                for_us,
            } => self.heard = (origin_share, now + for_us),
            Event::Lease(lease) => drop(self.leases.insert(lease.budget, lease)),
            Event::Purged {
                object,
                group,
                age_us,
            } => {
                let key = object.map_or(KeyHash::of_group(group), |object| {
                    KeyHash::of_object(&object)
                });
                let now = now.saturating_add_signed(self.origin_offset_us);
                self.purges.record(key, now.saturating_sub(age_us));
            }
        }
    }

    /// The share of its requests that this router lets ask the origin, if since the last call an answer was
    /// so late that others should know. It follows from its own answers alone: what is heard is not told on.
    pub fn found(&mut self) -> Option<f64> {
        self.found.take()
    }

    fn list(&mut self, full: bool, entries: Vec<Server>) {
        if full {
            let named: Vec<ServerId> = entries.iter().map(|e| e.id).collect();
            let left = self
                .servers
                .iter_mut()
                .filter(|(id, _)| !named.contains(id));
            left.for_each(|(_, known)| known.state = State::Gone);
        }
        for e in entries {
            let zone = self
                .settings
                .zones
                .iter()
                .position(|z| z.name == e.zone)
                .unwrap_or(usize::MAX);
            let role = if self.settings.parent_kind.as_ref() == Some(&e.kind) {
                Role::Parent
            } else if self.settings.origin_kind == e.kind {
                Role::Origin
            } else if zone == self.settings.zone {
                Role::Cache
            } else {
                continue; // A cache of another location: never used.
            };
            let fresh = Known {
                role,
                zone,
                cell: e.cell,
                weight: if e.weight.is_finite() && e.weight > 0.0 {
                    e.weight
                } else {
                    1.0
                },
                state: e.state,
                started: e.started,
                ..Known::default()
            };
            match self.servers.get_mut(&e.id) {
                // A new start wipes what was held against the old process; what is out to it still counts.
                Some(known) if known.started != e.started && e.state == State::Ready => {
                    let out = known.out;
                    *known = Known {
                        out,
                        charged: std::mem::take(&mut known.charged),
                        ..fresh
                    };
                }
                Some(known) => (known.state, known.weight) = (e.state, fresh.weight),
                None => drop(self.servers.insert(e.id, fresh)),
            }
        }
        self.servers
            .retain(|_, s| s.state != State::Gone || s.out > 0); // New ones come under new ids.
        self.ready = [Role::Cache, Role::Parent, Role::Origin].map(|role| {
            let ready = self
                .servers
                .iter()
                .filter(|(_, s)| s.role == role && s.state == State::Ready);
            ready.map(|(id, _)| *id).collect()
        });
    }

    fn request(&mut self, now: Micros, r: Request, actions: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.iter().position(|c| c.name == r.class) else {
            // Nothing is known of what it may do: it was not tried, so it may be refused.
            actions.push(Action::Refuse {
                request: r.id,
                retry_after_us: None,
            });
            return;
        };
        let object = KeyHash::of_object(&r.object).value();
        let unit = mix(object.wrapping_add(r.part.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        let sized = self.settings.flow_kb_per_s > 0.0 && r.size_kb > 0.0;
        let work_s = if sized {
            r.size_kb / self.settings.flow_kb_per_s
        } else {
            self.usual_s[class].0
        };
        // What could never be sent in time is no usual size: a client may claim any.
        if sized && work_s * 1e6 <= self.settings.classes[class].deadline_us as f64 {
            self.learn_usual(class, work_s);
        }
        let c = &self.settings.classes[class];
        let aim_at = now + c.aim_us + (c.aim_stretch * work_s * 1e6) as Micros;
        let write = c.write;
        let count = if write {
            0.0
        } else {
            self.objects.add(object, now)
        };
        let repeats = if write {
            0.0
        } else {
            self.parts.add(unit, now)
        };
        let open = Open {
            class,
            unit,
            object,
            group: r.group,
            work_s,
            sized,
            count,
            repeats,
            aim_at,
            deadline: now + r.remaining_us,
            draw: share_of(mix(self.seed ^ mix(r.id))),
            ..Open::default()
        };
        if let btree_map::Entry::Vacant(place) = self.open.entry(r.id) {
            place.insert(open);
            self.route(now, r.id, actions);
        }
    }

    /// What an answer's time is compared with: its own sending time and its class's.
    fn base_s(&self, open: &Open) -> f64 {
        open.work_s + self.usual_s[open.class].0 + WAY_S
    }

    fn learn_usual(&mut self, class: usize, work_s: f64) {
        let (usual, seen) = &mut self.usual_s[class];
        *seen += 1.0;
        *usual += (work_s - *usual) * USUAL_STEP.max(1.0 / *seen);
    }

    // ---- The ordinary path ----

    /// Sends a request on, or gives it up.
    fn route(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        self.random = mix(self.random.wrapping_add(0x9e37_79b9_7f4a_7c15));
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let class = &self.settings.classes[open.class];
        let late = open.deadline.saturating_sub(now) < LEAST_US
            || open.attempts >= self.settings.max_attempts
            || open.errors >= ERRORS;
        let target = if late || self.is_barred(now, open) {
            None
        } else {
            let ranked = self.rank(open.unit);
            if class.write {
                self.pick_for_write(now, open, &ranked)
            } else {
                self.pick_cache(now, open, &ranked)
                    .or_else(|| self.pick_beyond(now, open, &ranked))
            }
        };
        match target {
            Some(target) => self.send(now, id, target, actions),
            None => self.give_up(id, actions),
        }
    }

    /// Whether a request may have run, and must not run again any more.
    fn is_barred(&self, now: Micros, open: &Open) -> bool {
        let class = &self.settings.classes[open.class];
        open.may_have_run
            .is_some_and(|(sent, ..)| match class.repeat {
                Repeat::Safe => false,
                Repeat::Keyed => now.saturating_sub(sent) + LEAST_US >= class.window_us,
                Repeat::Unsafe => true,
            })
    }

    /// Sets what is to be added to this router's clock for the one by which the purges of its table are dated.
    pub fn set_origin_offset(&mut self, offset_us: i64) {
        self.origin_offset_us = offset_us;
    }

    /// Whether an attempt that waited for its connection may begin now, and the oldest copy that will do.
    pub fn begins(&self, now: Micros, id: RequestId) -> Option<Option<Micros>> {
        let open = self
            .open
            .get(&id)
            .filter(|o| !o.over && !self.is_barred(now, o))?;
        Some(self.max_age_us(now, open))
    }

    /// The oldest copy that will do; none: whatever the class allows.
    fn max_age_us(&self, now: Micros, open: &Open) -> Option<Micros> {
        let keys = [KeyHash::from(open.object), KeyHash::of_group(open.group)];
        let fresh = Some(self.settings.classes[open.class].fresh_us).filter(|us| *us > 0);
        let purged = keys
            .into_iter()
            .filter_map(|key| self.purges.latest(key))
            .max();
        purged.map(|at| {
            now.saturating_add_signed(self.origin_offset_us)
                .saturating_sub(at)
                .clamp(1, fresh.unwrap_or(Micros::MAX))
        })
    }

    /// The design: the object's share gives its number of copies; a uniform pick among those caches at the
    /// top of the shared hash order that are not full, else the next in the order.
    fn pick_cache(&self, now: Micros, open: &Open, ranked: &Ranked) -> Option<Target> {
        let all = &ranked.caches;
        let share = open.count / self.objects.total(now).max(PRIOR_REQUESTS);
        let copies = (share * all.len() as f64).ceil().max(1.0) as usize;
        let able = |id: &&ServerId| {
            let fits = !open.tried.contains(id)
                && self.is_well(**id, now)
                && self.has_room(**id, now, open);
            fits && self.in_time(**id, now, open)
        };
        let free: Vec<ServerId> = all.iter().take(copies).filter(able).copied().collect();
        let chosen = match free.len() as u64 {
            0 => *all.iter().skip(copies).find(able)?,
            n => free[(self.random % n) as usize],
        };
        let source = self
            .pick_sibling(now, open, ranked, chosen)
            .or_else(|| self.pick_source(now, open, ranked));
        (source.is_some() || !open.missed).then_some((chosen, source))
    }

    /// Where caches may fill each other: a cache that is not the first in the order, or the first just
    /// started, is filled from the one that most likely holds a copy, which spares the location's link.
    fn pick_sibling(
        &self,
        now: Micros,
        open: &Open,
        ranked: &Ranked,
        chosen: ServerId,
    ) -> Option<ServerId> {
        let order = &ranked.caches;
        let cold = |id: &ServerId| {
            self.servers
                .get(id)
                .is_none_or(|s| self.warmth(s, now) < 1.0)
        };
        let first = order.iter().copied().find(|id| *id != chosen)?;
        let likely = order.first() != Some(&chosen) || cold(&chosen);
        let fits =
            self.settings.siblings != Siblings::Off && likely && !open.bad_sources.contains(&first);
        let able = self.is_well(first, now) && !cold(&first) && self.has_room(first, now, open);
        (fits && able && self.in_time(first, now, open)).then_some(first)
    }

    /// Fills come from the first hashed parent that takes work, the second while that is clearly slower; from
    /// the origin while none does, by no more requests than may have it asked, as it may be slow or stopped.
    fn pick_source(&self, now: Micros, open: &Open, ranked: &Ranked) -> Option<ServerId> {
        if open.failed_fills >= FILL_TRIES || self.link_full(now, open) {
            return None;
        }
        let fits =
            |id: &&ServerId| !open.bad_sources.contains(id) && self.has_room(**id, now, open);
        let mut well = ranked
            .parents
            .iter()
            .filter(fits)
            .filter(|id| self.is_well(**id, now));
        let (first, second) = (well.next(), well.next());
        let pace = |id: Option<&ServerId>| self.servers.get(id?)?.fills.told(now, PACE_TOLD);
        let slower = pace(first)
            .zip(pace(second))
            .is_some_and(|(a, b)| a.0 > CLEARLY * b.0);
        let origin = || {
            ranked
                .origin
                .iter()
                .find(|id| fits(id) && self.may_ask(now, open))
        };
        let marked = || {
            ranked
                .parents
                .iter()
                .find(|id| fits(id) && self.servers.get(id).is_some_and(|s| !s.lost))
        };
        first
            .filter(|_| !slower)
            .or(second)
            .or_else(origin)
            .or_else(marked)
            .copied()
    }

    /// Whether a request may have the origin asked: so many may, and further attempts are no further chances.
    fn may_ask(&self, now: Micros, open: &Open) -> bool {
        let heard = if now < self.heard.1 {
            self.heard.0.max(ORIGIN_LEAST)
        } else {
            1.0
        };
        open.draw < self.origin_share.min(heard) && self.has_place(now)
    }

    fn rank(&self, unit: u64) -> Ranked {
        let order = |role: usize| {
            let weight = |s: &Known| {
                if self.settings.weights_told {
                    s.weight
                } else {
                    1.0
                }
            };
            let placed = self.ready[role]
                .iter()
                .filter_map(|id| self.servers.get_key_value(id));
            let mut order: Vec<_> = placed
                .map(|(id, s)| (place(unit, *id, weight(s)), *id))
                .collect();
            order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            order
                .into_iter()
                .map(|(_, id)| id)
                .collect::<Vec<ServerId>>()
        };
        Ranked {
            caches: order(0),
            parents: order(1),
            origin: order(2).first().copied(),
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, target: Target, actions: &mut Vec<Action>) {
        let (server, source) = target;
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let bound = STUCK_TIMES
            * self.long[open.class]
            * self.base_s(open)
            * f64::from(1 << open.stuck.min(4));
        let held = self.servers.get(&server).map_or(0.0, |s| self.held(s)) + 1.0;
        let fills = self.fills() + 1.0;
        let may_ask = self.may_ask(now, open);
        let fetches =
            source.is_some_and(|id| self.servers.get(&id).is_some_and(|s| s.role != Role::Cache));
        let max_age_us = self.max_age_us(now, open);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let class = &self.settings.classes[open.class];
        let fill = Fill {
            source: source.unwrap_or(server),
            keep: if class.write {
                0
            } else {
                1 + u8::from(open.repeats >= REPEAT_COUNT)
            },
            max_age_us,
            join: self.settings.joins && !class.write,
            only_held: !class.write && source.is_some() && !may_ask,
            bypass_parent: false,
            renew: class.fresh_us > 0 && open.repeats >= REPEAT_COUNT,
        };
        let direct = self
            .servers
            .get(&server)
            .is_some_and(|s| s.role != Role::Cache);
        let attempt = Attempt {
            number: open.attempts,
            server,
            source,
            sent: now,
            overdue_at: now + OVERDUE_US + (OVERDUE_TIMES * open.work_s * 1e6) as Micros,
            held,
            fills,
            cancelled: false,
            stuck_at: now + (bound * 1e6) as Micros,
            stuck: false,
            fetches,
            asks: fetches && !fill.only_held,
        };
        open.attempts += 1;
        self.filling += self.missing;
        open.out = Some(attempt);
        for s in [Some(server), source].into_iter().flatten() {
            if let Some(known) = self.servers.get_mut(&s) {
                known
                    .charged
                    .push_back((now, self.usual_s[open.class].0, id));
                known.on_trial = known.strikes > 0;
            }
        }
        self.servers
            .get_mut(&server)
            .into_iter()
            .for_each(|known| known.out += 1);
        let fill = if direct {
            Fill {
                keep: 0,
                join: false,
                renew: false,
                ..fill
            }
        } else {
            fill
        };
        actions.push(Action::Attempt {
            request: id,
            server,
            timeout_us: None,
            fill: Some(fill),
        });
    }

    // ---- Where the ordinary path has no answer ----

    /// A write runs at the origin: straight where that is allowed, else by way of a cache.
    fn pick_for_write(&self, now: Micros, open: &Open, ranked: &Ranked) -> Option<Target> {
        let scope = self.settings.classes[open.class].scope;
        let same_group = |id: &ServerId| match (open.may_have_run, self.servers.get(id)) {
            (Some((_, zone, _)), Some(s)) if scope == DedupScope::Zone => s.zone == zone,
            (Some((.., cell)), Some(s)) if scope == DedupScope::Cell => s.cell == cell,
            _ => true,
        };
        // There is one origin, so a mark on it leaves no other way: it is asked all the same.
        let origin = ranked.origin.filter(|_| self.has_place(now))?;
        if self.settings.direct && same_group(&origin) {
            return Some((origin, None));
        }
        let fits = |id: &&ServerId| {
            same_group(id) && self.is_well(**id, now) && self.has_room(**id, now, open)
        };
        Some((*ranked.caches.iter().find(fits)?, Some(origin)))
    }

    /// No cache that is well would be in time. With none well, straight to the first hashed parent where that
    /// is allowed; else the first in the order that would be in time, marked or not: when marks leave none,
    /// they tell of overload rather than of single servers.
    fn pick_beyond(&self, now: Micros, open: &Open, ranked: &Ranked) -> Option<Target> {
        let free = |id: &&ServerId| !open.tried.contains(id) && self.has_room(**id, now, open);
        let none_well = !ranked.caches.iter().any(|id| self.is_well(*id, now));
        if none_well && self.settings.direct && !self.link_full(now, open) {
            if let Some(parent) = ranked
                .parents
                .iter()
                .filter(free)
                .find(|id| self.is_well(**id, now))
            {
                return Some((*parent, ranked.origin));
            }
        }
        let in_time = |id: &&ServerId| {
            self.servers.get(id).is_some_and(|s| !s.lost) && self.in_time(**id, now, open)
        };
        let chosen = *ranked.caches.iter().filter(free).find(in_time)?;
        let source = self.pick_source(now, open, ranked);
        (source.is_some() || !open.missed).then_some((chosen, source))
    }

    // ---- Defences ----

    /// Not marked; once a mark has run out, a single trial at a time.
    fn is_well(&self, id: ServerId, now: Micros) -> bool {
        self.servers
            .get(&id)
            .is_some_and(|s| s.strikes == 0 || (now >= s.marked_until && !s.on_trial))
    }

    /// Whether the rules let a server be given this request, as target or as source of its fill.
    fn has_room(&self, id: ServerId, now: Micros, open: &Open) -> bool {
        // The rule weighs each by its class's mean: what is large has the same chance.
        let work_s = self.usual_s[open.class].0;
        self.servers
            .get(&id)
            .is_some_and(|s| s.state == State::Ready && self.cold_room(id, s, now, work_s))
    }

    /// Whether a request sent so many times slower than at full pace is in time: while it is wanted, or, once
    /// that is past, until the client gives up.
    fn fits(&self, now: Micros, open: &Open, times: f64, margin: f64) -> bool {
        let until = if now < open.aim_at {
            open.aim_at.min(open.deadline)
        } else {
            open.deadline
        };
        open.work_s * times * 1e6 <= margin * until.saturating_sub(now) as f64
    }

    /// Whether a cache is not full: by its transfers from here and the capacity that its answers showed.
    fn in_time(&self, id: ServerId, now: Micros, open: &Open) -> bool {
        let Some(s) = self.servers.get(&id) else {
            return false;
        };
        let sharing = (self.held(s) + 1.0) / (self.shown_capacity(now, s) * self.warmth(s, now));
        self.fits(
            now,
            open,
            sharing.max(1.0),
            if open.sized {
                CACHE_MARGIN
            } else {
                MARGIN_UNTOLD
            },
        )
    }

    /// Transfers that a server holds: this router's own, and the others' guessed. Reported loads foretold
    /// less: they count requests that wait for fills, and are old by the time they are used.
    fn held(&self, s: &Known) -> f64 {
        s.out as f64 + s.mean_out * (self.routers() - 1.0)
    }

    /// Routers of this location.
    fn routers(&self) -> f64 {
        f64::from(self.settings.zones[self.settings.zone].routers.max(1))
    }

    /// Capacity in transfers as recent hits showed it: where each took longer than its size explains, the
    /// link was shared by more transfers than it fits.
    fn shown_capacity(&self, now: Micros, s: &Known) -> f64 {
        match s.hits.told(now, PACE_TOLD) {
            Some((stretch, held)) if stretch >= STRETCHED => (held / stretch).max(0.2),
            Some((_, held)) => self.capacity(s).max(held),
            None => self.capacity(s),
        }
    }

    /// What a server's link fits at full pace, in transfers.
    fn capacity(&self, s: &Known) -> f64 {
        if self.settings.weights_told {
            return s.weight;
        }
        // Not told. A location's link carries only the misses of its caches, so its part for one cache is
        // less than that cache's own link; and a parent is built for more than one location.
        let z = &self.settings.zones;
        let links: f64 = z.iter().map(|z| z.link_kb_per_s).sum();
        let places = z.iter().filter(|z| z.link_kb_per_s > 0.0).count().max(1) as f64;
        let link = links / places / self.settings.flow_kb_per_s.max(1.0);
        let caches = self
            .servers
            .values()
            .filter(|s| s.role == Role::Cache)
            .count()
            .max(1) as f64;
        let part = if s.role == Role::Cache {
            link / caches
        } else {
            link
        };
        part.max(1.0)
    }

    /// The location's link shares its pace among all fills: one that could not be in time would only make the
    /// others late too, so the cache is just looked into. Where the link's size is not told, what it fits is
    /// what its fills showed: without a bound, fills that come too late are begun anew and keep it jammed.
    fn link_full(&self, now: Micros, open: &Open) -> bool {
        let told = self.settings.zones[self.settings.zone].link_kb_per_s;
        let fits = if told > 0.0 {
            told / self.settings.flow_kb_per_s.max(1.0)
        } else {
            let shown = self
                .link
                .shown(LINK_TOLD)
                .filter(|(stretch, _)| *stretch >= STRETCHED);
            let Some((stretch, held)) = shown else {
                return false;
            };
            held / stretch / faded((1.0, self.link.at), now, LINK_OPENS_S)
        };
        let margin = if open.sized {
            LINK_MARGIN
        } else {
            MARGIN_UNTOLD
        };
        !self.fits(now, open, (self.fills() + 1.0) / fits.max(1e-3), margin)
    }

    /// More fills than the origin can give in time wait for each other there, and what its askers no longer
    /// wait for is worked off all the same: it would be late for all, long after its trouble is over. So the
    /// fewer requests may have it asked, the more of its answers are late; parents still give what they hold.
    /// `late`: the wait for the answer, over its class's aim.
    fn learn_origin(&mut self, now: Micros, note: Note, late: f64) {
        let since_s = now.saturating_sub(self.origin_at).min(1_000_000) as f64 / 1e6;
        let weight = 1.0 + ORIGIN_PER_S * since_s;
        self.origin_share = match note {
            Note::FilledByOrigin if late <= 1.0 => {
                (self.origin_share + ORIGIN_STEP * weight).min(1.0)
            }
            Note::FilledByOrigin | Note::OriginFailed | Note::SourceLost => {
                let fall = ORIGIN_FALL.powf(late.clamp(1.0, ORIGIN_FALL_MOST) * weight);
                (self.origin_share * fall).max(ORIGIN_LEAST)
            }
            _ => return,
        };
        self.origin_at = now;
    }

    /// Fills by the location's link: this router's own, and the others' guessed.
    fn fills(&self) -> f64 {
        self.filling + self.mean_filling * (self.routers() - 1.0)
    }

    /// Share of its capacity that a server is sure to have, in a line from its cold share.
    fn ramp(&self, s: &Known) -> Ramp {
        let r = &self.settings.rules;
        match s.role {
            Role::Parent => Ramp {
                share: r.parent_cold_share,
                cold_us: r.parent_cold_us,
            },
            _ => Ramp {
                share: r.cold_share,
                cold_us: r.cold_us,
            },
        }
    }

    fn warmth(&self, s: &Known, at: Micros) -> f64 {
        s.started
            .max(s.back)
            .map_or(1.0, |started| self.ramp(s).at(at.saturating_sub(started)))
    }

    /// What this router may spend of a budget of all: by its lease, else one of so many equal shares.
    fn budget_share(&self, budget: Budget, routers: u32, now: Micros) -> f64 {
        let leased = |lease: &Lease| {
            if now < lease.until {
                lease.amount
            } else {
                lease.reserved
            }
        };
        self.leases
            .get(&budget)
            .map_or(1.0 / f64::from(routers.max(1)), leased)
    }

    /// Requests from here that the origin holds, or may hold.
    pub fn asking(&self) -> usize {
        let origin = |id| {
            self.servers
                .get(&id)
                .is_some_and(|s| s.role == Role::Origin)
        };
        self.open
            .values()
            .filter_map(|o| o.out.as_ref())
            .filter(|a| a.asks || origin(a.server))
            .count()
    }

    /// Whether the origin may hold one more: without a lease of its places there is no bound.
    fn has_place(&self, now: Micros) -> bool {
        let of = Budget::Origin;
        !self.leases.contains_key(&of)
            || self.asking() as f64 + 1.0 <= self.budget_share(of, 1, now)
    }

    /// The greatest share of what a cold cache, or parent, bears that was sent from here; none: none is cold.
    pub fn cold_use(&self, now: Micros, parents: bool) -> Option<f64> {
        let cold = self
            .servers
            .values()
            .filter(|s| (s.role == Role::Parent) == parents);
        cold.filter_map(|s| self.cold(s, now))
            .map(|(bears, spent)| spent / bears)
            .reduce(f64::max)
    }

    /// What a cold server bears within the rule's window, and what was sent from here; none: it is warm.
    fn cold(&self, s: &Known, now: Micros) -> Option<(f64, f64)> {
        let r = &self.settings.rules;
        // What it can do in the window's mean: by the time this is judged it can do more.
        let warmth = self.warmth(s, now.saturating_sub(r.fall_us / 2));
        if warmth >= 1.0 || s.role == Role::Origin || s.state != State::Ready {
            return None;
        }
        let multiple = if s.role == Role::Parent {
            r.parent_fall_multiple
        } else {
            r.fall_multiple
        };
        let bears = COLD_USE * multiple * warmth * self.capacity(s) * (r.fall_us as f64 / 1e6);
        let spent = s
            .charged
            .iter()
            .filter(|c| c.0 + r.fall_us >= now)
            .map(|c| c.1)
            .sum();
        Some((bears, spent))
    }

    /// Rule on cold servers: this router's share of the budget, retries and fills charged with the rest.
    fn cold_room(&self, id: ServerId, s: &Known, now: Micros, work_s: f64) -> bool {
        let Some((bears, spent)) = self.cold(s, now) else {
            return true;
        };
        let zones = &self.settings.zones;
        let share = match s.role {
            Role::Parent => {
                self.budget_share(Budget::Parents, zones.iter().map(|z| z.routers).sum(), now)
            }
            _ => self.budget_share(Budget::Caches, zones[self.settings.zone].routers, now),
        };
        // A share below one request is spent by turns, each of the largest class's usual work. A router
        // that starts again, and has forgotten what it sent, finds them where they were, by its number.
        let (budget, turn_s) = (
            bears * share,
            self.usual_s.iter().map(|u| u.0).fold(0.0, f64::max),
        );
        let since = s.started.max(s.back).unwrap_or(0);
        let number = self
            .settings
            .rank
            .map_or(share_of(mix(self.seed)), |rank| GOLDEN * f64::from(rank));
        let own = share_of(mix(id ^ mix(since))) + number;
        let (age, window) = (now.saturating_sub(since), self.settings.rules.fall_us);
        let turn = budget < turn_s && self.ramp(s).is_turn(age, budget / turn_s, window, own);
        spent + work_s <= if turn { turn_s } else { budget }
    }

    /// Counts a success or failure of a server; failing servers are marked, longer each time, and come back
    /// by way of a single trial.
    fn judge(&mut self, now: Micros, id: ServerId, failed: Option<f64>) {
        let Some(s) = self.servers.get_mut(&id) else {
            return;
        };
        s.on_trial = false;
        match failed {
            None => {
                s.last_ok = now;
                if std::mem::take(&mut s.lost) {
                    s.back = Some(now);
                }
                s.failing -= FAIL_STEP * s.failing;
                if now >= s.marked_until {
                    s.strikes = 0;
                }
            }
            Some(weight) => {
                s.failing += (FAIL_STEP * weight * (1.0 - s.failing)).min(1.0);
                if s.failing > FAIL_LIMIT || s.strikes > 0 {
                    Self::mark(s, now);
                }
            }
        }
    }

    fn mark(s: &mut Known, now: Micros) {
        if now < s.marked_until {
            return;
        }
        s.marked_until = now + (MARK_US << s.strikes.min(4)).min(MARK_MAX_US);
        s.strikes += 1;
        s.on_trial = false;
    }

    /// Silence: a server that hangs shows only in what does not come back. All that is overdue there is
    /// called off and goes elsewhere.
    fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::Timer {
            at: now + TICK_US,
            tag: TICK_TAG,
        });
        let origin_now = now.saturating_add_signed(self.origin_offset_us);
        self.purges
            .compact(origin_now, self.settings.rules.purge_done_us);
        let step = TICK_US as f64 / 1e6 / MEAN_S;
        for s in self.servers.values_mut() {
            s.mean_out += step * (s.out as f64 - s.mean_out);
            s.charged
                .retain(|c| c.0 + self.settings.rules.fall_us >= now);
        }
        let under_way = |o: &&Open| {
            let since = |a: &Attempt| now.saturating_sub(a.sent) as f64 / 1e6;
            // What is stuck is lost rather than filled.
            let fills = |a: &Attempt| since(a) > 1.5 * o.work_s + WAY_S && now <= a.stuck_at;
            o.out
                .as_ref()
                .is_some_and(|a| fills(a) && self.is_well(a.server, now))
        };
        self.filling = self.open.values().filter(under_way).count() as f64;
        self.mean_filling += step * (self.filling - self.mean_filling);
        let mut overdue: BTreeMap<ServerId, (usize, Micros)> = BTreeMap::new();
        for a in self
            .open
            .values()
            .filter_map(|o| o.out.as_ref())
            .filter(|a| a.overdue_at < now)
        {
            for id in [Some(a.server), a.source].into_iter().flatten() {
                let entry = overdue.entry(id).or_insert((0, a.sent));
                *entry = (entry.0 + 1, entry.1.min(a.sent));
            }
        }
        for (id, (count, since)) in overdue {
            let Some(s) = self.servers.get_mut(&id) else {
                continue;
            };
            if (count >= OVERDUE_COUNT || s.on_trial) && s.last_ok < since {
                Self::mark(s, now);
            }
        }
        for (id, o) in &mut self.open {
            let safe = self.settings.classes[o.class].repeat == Repeat::Safe && !o.begun;
            let Some(a) = o
                .out
                .as_mut()
                .filter(|a| self.settings.cancel && safe && !a.cancelled)
            else {
                continue;
            };
            let silent = |id: &ServerId| {
                self.servers
                    .get(id)
                    .is_some_and(|s| now < s.marked_until && s.last_ok < a.sent)
            };
            let hangs =
                a.overdue_at < now && (silent(&a.server) || a.source.as_ref().is_some_and(silent));
            if hangs || now > a.stuck_at {
                a.stuck = !hangs;
                a.cancelled = true;
                actions.push(Action::Cancel {
                    request: *id,
                    attempt: a.number,
                });
            }
        }
    }

    fn outcome(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let Event::Outcome {
            request: id,
            attempt: number,
            outcome,
            took_us,
            settled,
            note,
            waited_us,
            ..
        } = event
        else {
            return;
        };
        let Some(base_s) = self.open.get(&id).map(|open| self.base_s(open)) else {
            return;
        };
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let Some(attempt) = open.out.take_if(|a| a.number == number) else {
            return;
        };
        let (class, over, work_s, sized) = (open.class, open.over, open.work_s, open.sized);
        let server = attempt.server;
        open.stuck += u32::from(attempt.stuck);
        let mut erred = open.erred.filter(|id| *id != server);
        // Where a server answered others meanwhile, only this answer may be lost: the work ran, and the copy
        // is there by now, so the same server is asked again.
        let answered = |id: ServerId| {
            self.servers
                .get(&id)
                .is_some_and(|s| s.last_ok > attempt.sent)
        };
        let slow = attempt.stuck && answered(server);
        let again = slow && open.stuck == 1;
        let mute = attempt.source.filter(|id| attempt.stuck && !answered(*id));
        // A parent that is lost tells nothing of the origin: the others must go on asking it.
        let by_origin = attempt
            .source
            .is_some_and(|id| note != Note::SourceLost || answered(id));
        // Nothing came back while it was wanted, though cache and source are well: an origin that is asked
        // for more than it can do shows that first, and many routers see nothing else of it.
        let aim_us = self.settings.classes[class].aim_us.max(1);
        let ended = matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        let sound = answered(server)
            && attempt
                .source
                .is_none_or(|id| answered(id) || self.is_well(id, now));
        let unanswered = attempt.asks && ended && took_us > aim_us && sound;
        let capacity = self.servers.get(&server).map_or(0.0, |s| self.capacity(s));
        let hit = outcome == Outcome::Ok && matches!(note, Note::Hit | Note::Stale);
        let took_s = took_us as f64 / 1e6;
        if hit && !sized {
            // Sizes are not told: what hits take, less the sharing that the told link explains.
            let sharing = (attempt.held / capacity.max(0.1)).max(1.0);
            self.learn_usual(class, (took_s - WAY_S).max(0.001) / sharing);
        }
        let held_now = self.servers.get(&server).map_or(0.0, |s| self.held(s));
        if let Some(s) = self.servers.get_mut(&server) {
            if hit {
                s.hits
                    .add(now, took_s, work_s + WAY_S, (attempt.held + held_now) / 2.0);
            }
            s.out = s.out.saturating_sub(1);
        }
        // However it ended, a trial is over: left open by what judges nobody, it would bar the server.
        for id in [Some(server), attempt.source].into_iter().flatten() {
            self.servers
                .get_mut(&id)
                .into_iter()
                .for_each(|s| s.on_trial = false);
        }
        // What was called off as slow had its share of the link all the while. What timed out at the client's
        // deadline may as well have waited for the origin, which says nothing of the link.
        let filled = outcome == Outcome::Ok && matches!(note, Note::Filled | Note::FilledByOrigin);
        if sized && attempt.source.is_some() && (filled || slow) {
            let moving_s = took_us.saturating_sub(waited_us) as f64 / 1e6;
            self.link.add(
                now,
                moving_s,
                work_s + WAY_S,
                (attempt.fills + self.fills()) / 2.0,
            );
        }
        if unanswered {
            self.learn_origin(now, Note::OriginFailed, took_us as f64 / aim_us as f64);
        } else if by_origin {
            let late = waited_us as f64 / aim_us as f64;
            self.learn_origin(now, note, late);
            let clear = note == Note::FilledByOrigin && late >= ORIGIN_TOLD;
            self.found = clear.then_some(self.origin_share).or(self.found);
        }
        let told = matches!(
            note,
            Note::SourceRefused | Note::SourceLost | Note::OriginFailed
        );
        // Where reasons are not told, cache or source failed: the blame is shared by their failures so far,
        // and the sound one is cleared by its other answers.
        let failing =
            |id: ServerId| self.servers.get(&id).map_or(0.0, |s| s.failing) + FAIL_STEP / 4.0;
        let untold =
            self.settings.tells != Tells::All && matches!(outcome, Outcome::Full | Outcome::Error);
        let shared = attempt.source.filter(|_| untold).map(failing);
        let blame = shared.map_or(f64::from(u8::from(told)), |source| {
            source / (source + failing(server))
        });
        let by_source = blame >= 0.5;
        match outcome {
            Outcome::Ok => {
                erred
                    .into_iter()
                    .for_each(|id| self.judge(now, id, Some(1.0)));
                self.judge(now, server, None);
                let longer = f64::from(u8::from(took_s > self.long[class] * base_s));
                self.long[class] *= 1.0 + LONG_STEP * (longer - LONG_SHARE);
                self.missing += 0.01 * (f64::from(u8::from(!hit)) - self.missing);
                if let Some(source) = attempt.source {
                    if hit {
                        // Found in the cache: the source was never asked.
                        let s = self.servers.get_mut(&source).into_iter();
                        s.for_each(|s| s.charged.retain(|c| c.2 != id));
                    } else if note != Note::None && note != Note::Joined {
                        self.judge(now, source, None);
                        let s = self.servers.get_mut(&source).filter(|_| sized);
                        s.into_iter()
                            .for_each(|s| s.fills.add(now, took_s, work_s + WAY_S, 0.0));
                    }
                }
            }
            Outcome::Cancelled if attempt.stuck => {
                // It counts as long as well: were only answers counted, cutting off their tail would lower
                // the bound further, and a slow origin would have all its work called off and begun anew.
                if slow {
                    self.long[class] *= 1.0 + LONG_STEP * (1.0 - LONG_SHARE);
                }
                let muted = [Some(server).filter(|_| !again), mute];
                muted
                    .into_iter()
                    .flatten()
                    .for_each(|id| self.judge(now, id, Some(STUCK_WEIGHT)));
            }
            Outcome::Miss | Outcome::Moot | Outcome::Cancelled => {}
            _ if told => attempt
                .source
                .into_iter()
                .for_each(|id| self.judge(now, id, Some(1.0))),
            Outcome::Full if note == Note::NoFillPlace || note == Note::SourceLacks => {}
            _ if shared.is_some() => {
                self.judge(now, server, Some(1.0 - blame));
                attempt
                    .source
                    .into_iter()
                    .for_each(|id| self.judge(now, id, Some(blame)));
            }
            Outcome::Timeout if now < attempt.overdue_at => {}
            Outcome::ConnectFailed | Outcome::Unreached => {
                self.judge(now, server, Some(GONE_WEIGHT));
                let s = self.servers.get_mut(&server).into_iter();
                s.for_each(|s| s.lost |= outcome == Outcome::ConnectFailed);
            }
            Outcome::Reset => {
                // One break ends all that is out on a connection: it counts once.
                let last = self
                    .servers
                    .get_mut(&server)
                    .map(|s| std::mem::replace(&mut s.reset_at, now));
                if last.is_some_and(|last| last != now) {
                    self.judge(now, server, Some(RESET_WEIGHT));
                }
            }
            // Whose fault it is, the server's or the request's, shows elsewhere.
            Outcome::Error => erred = Some(server),
            _ => self.judge(now, server, Some(1.0)),
        }
        if settled || over {
            self.open.remove(&id);
            return;
        }
        let lost = outcome == Outcome::Cancelled
            && attempt.source.is_some_and(|id| !self.is_well(id, now));
        let by_source = by_source || lost && self.is_well(server, now);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        use Outcome::{ConnectFailed, Full, Miss, Moot, Unreached};
        if !matches!(outcome, Full | ConnectFailed | Unreached | Moot | Miss) {
            let place = self
                .servers
                .get(&server)
                .map_or((usize::MAX, u64::MAX), |s| (s.zone, s.cell));
            open.may_have_run = open.may_have_run.or(Some((attempt.sent, place.0, place.1)));
        }
        open.bad_sources.extend(mute);
        if outcome == Outcome::Error && !told && shared.is_none() {
            open.errors += 1;
            open.erred = open.erred.or(erred);
        }
        // An untold failure may be the origin's behind the source: another fill would only add to its load.
        open.failed_fills += if shared.is_some() {
            2
        } else {
            u32::from(by_source || mute.is_some())
        };
        if by_source || outcome == Outcome::Miss || note == Note::SourceLacks {
            // What two parents lack hardly any other holds, and the cache has just been looked into.
            open.missed |= outcome == Outcome::Miss;
            open.failed_fills += u32::from(outcome == Outcome::Miss && attempt.fetches);
            open.bad_sources.extend(attempt.source);
        } else if !self.settings.classes[class].write && !again {
            open.tried.push(server);
        }
        self.route(now, id, actions);
    }

    /// The client left: what is out for it is called off, so that no link carries it in vain.
    fn left(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let Some(a) = open.out.as_mut() else {
            return drop(self.open.remove(&id));
        };
        open.over = true;
        if self.settings.cancel && !a.cancelled && !open.begun {
            a.cancelled = true;
            actions.push(Action::Cancel {
                request: id,
                attempt: a.number,
            });
        }
    }

    /// The final answer to a request that no server is to be tried for: at once, and a refusal if that is
    /// known to be safe.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        let class = &self.settings.classes[open.class];
        let refusable = match class.repeat {
            Repeat::Safe => true,
            Repeat::Keyed => open.may_have_run.is_none() || class.scope == DedupScope::All,
            Repeat::Unsafe => open.may_have_run.is_none(),
        };
        // Advice is given also where clients are not said to follow it: it does them no harm.
        let most = Some(self.settings.max_retry_after_us).filter(|us| *us > 0);
        let refusal = Action::Refuse {
            request: id,
            retry_after_us: most.map(|us| us.min(RETRY_AFTER_US)),
        };
        actions.push(if refusable {
            refusal
        } else {
            Action::Fail { request: id }
        });
    }
}
