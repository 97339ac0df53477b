//! Tests of purges during fills on virtual time, with the decision module and a fake site. The fake caches store old copies from
//! late fills, so only the maximum age that the router requests keeps them from clients.

use linnetknot::{
    Action, Event, Fill, ListMode, Micros, Note, Outcome, Request, Router, Server, State,
};
use linnetknot_harness::settings;
use linnetknot_rehearse::fakes::site::{
    FakeSite, Fetch, NodeKind, NodeParameters, SiteOutput, SiteParameters,
};

const S: Micros = 1_000_000;
const START_US: Micros = 1_000 * S;
/// A delay after the start of a fill at which the origin has sent the copy but the fill is still in progress.
const MID_FILL_US: Micros = 80_000;
const OBJECT: u64 = 7;
const GROUP: u64 = 3;
const NODES: [(u64, &str, NodeKind, &str); 3] = [
    (1, "a", NodeKind::EdgeCache, "box"),
    (2, "b", NodeKind::EdgeCache, "box"),
    (9, "origin", NodeKind::Origin, "origin"),
];

fn name(id: u64) -> &'static str {
    NODES.iter().find(|n| n.0 == id).map_or("-", |n| n.1)
}

/// A router and the fake site behind it.
struct Play {
    router: Router,
    site: FakeSite,
    requests: u64,
}

fn router(siblings: bool) -> Router {
    let mut form = settings();
    // Copies are fresh until they are purged.
    form["family-info"]["good-for-us"] = serde_json::json!([0, 0]);
    form["family-info"]["neighbours"] = if siblings { "any" } else { "off" }.into();
    let read = linnetknot_settings::parse_settings(form.as_object().unwrap()).unwrap();
    let mut router = Router::new(read, 7).unwrap();
    let servers = NODES.iter().map(|(id, _, _, kind)| Server {
        id: *id,
        zone: if *kind == "origin" { "hub" } else { "here" }.into(),
        cell: 0,
        kind: (*kind).into(),
        weight: 8.0,
        state: State::Ready,
        started: None,
    });
    let list = Event::List {
        mode: ListMode::Full,
        servers: servers.collect(),
    };
    router.handle(START_US, list, &mut Vec::new());
    router
}

fn play(siblings: bool) -> Play {
    let mut site = FakeSite::new(SiteParameters {
        link: 8.0,
        fill_pace: 2.0,
        near_us: S / 100,
        far_us: S / 50,
        origin_us: S / 20,
        key_us: 3 * S,
        purge_takes_us: 0,
        late_fills: true,
    });
    for (_, uid, kind, _) in NODES {
        let parameters = NodeParameters {
            slots: 16,
            waiting: 16,
            capacity: 8.0,
            memory_kb: 10_000,
            fills: 8,
            fill_timeout_us: 5 * S,
        };
        site.start(uid, kind, parameters, None);
    }
    Play {
        router: router(siblings),
        site,
        requests: 0,
    }
}

impl Play {
    fn purge(&mut self, now: Micros, object: bool) {
        let object = object.then(|| OBJECT.to_string());
        let purged = Event::Purged {
            object,
            group: GROUP,
            age_us: 0,
        };
        self.router.handle(now, purged, &mut Vec::new());
    }

    /// Sends a request through the router and returns the cache and the time of the served copy. Calls `meanwhile` during the
    /// fill.
    fn ask(
        &mut self,
        now: Micros,
        meanwhile: impl FnOnce(&mut Play, Micros),
    ) -> (&'static str, Micros) {
        self.requests += 1;
        let id = self.requests;
        let request = Request {
            id,
            class: "photo".into(),
            tenant: None,
            object: OBJECT.to_string(),
            part: 0,
            group: GROUP,
            size_kb: 400.0,
            remaining_us: 5 * S,
            is_retry: false,
        };
        let mut actions = Vec::new();
        self.router
            .handle(now, Event::Request(request), &mut actions);
        let sent = actions.into_iter().find_map(|a| match a {
            Action::Attempt {
                server,
                fill: Some(fill),
                ..
            } => Some((server, fill)),
            _ => None,
        });
        let (server, fill): (u64, Fill) = sent.expect("an attempt");
        let uid = name(server);
        self.site.advance(now);
        let mut out = self.site.fetch(now, uid, fetch_of(id, &fill, server));
        out.extend(self.site.advance(now + MID_FILL_US));
        meanwhile(self, now + MID_FILL_US);
        out.extend(self.site.advance(now + 4 * S));
        let Some(SiteOutput::Answer {
            status: "200",
            how,
            made,
            ..
        }) = out.pop()
        else {
            panic!("not served: {out:?}")
        };
        let note = if how == "local" {
            Note::Hit
        } else {
            Note::Filled
        };
        let ended = Event::AttemptEnded {
            request: id,
            attempt: 0,
            server,
            outcome: Outcome::Ok,
            took_us: S / 5,
            settled: true,
            note,
            first_byte_us: 0,
            load: None,
        };
        self.router.handle(now + S / 5, ended, &mut Vec::new());
        (uid, made)
    }
}

fn fetch_of(id: u64, fill: &Fill, server: u64) -> Fetch {
    Fetch {
        connection: 1,
        id: id.to_string(),
        part: (OBJECT, 0),
        group: GROUP,
        work_us: S / 10,
        kb: 400,
        source: (fill.source != server).then(|| name(fill.source).to_owned()),
        rank: fill.cache_rank,
        max_age_us: fill.max_age_us.unwrap_or(u64::MAX),
        join: fill.coalesce,
        ..Fetch::default()
    }
}

#[test]
fn copy_cached_by_a_fill_across_a_purge_is_not_served_later() {
    for by_object in [true, false] {
        let mut p = play(false);
        let mut purged_at = 0;
        let (uid, old) = p.ask(START_US, |p, now| {
            purged_at = now;
            let target = if by_object { Ok(OBJECT) } else { Err(GROUP) };
            ["a", "b"]
                .iter()
                .for_each(|uid| p.site.purge(uid, target, purged_at));
            p.purge(purged_at, by_object);
        });
        assert!(old < purged_at, "the copy is older than the purge");
        let any = Fetch {
            max_age_us: u64::MAX,
            rank: 0,
            ..fetch_of(99, &default_fill(), 0)
        };
        let (later_at, mut out) = (
            START_US + 10 * S,
            p.site.fetch(
                START_US + 10 * S,
                uid,
                Fetch {
                    source: None,
                    ..any
                },
            ),
        );
        out.extend(p.site.advance(later_at + S));
        assert!(
            matches!(out[..], [SiteOutput::Answer { how: "local", made, .. }] if made == old),
            "{out:?}"
        );
        let (_, made) = p.ask(START_US + 12 * S, |_, _| {});
        assert!(
            made >= purged_at,
            "by object {by_object}: {made} is older than {purged_at}"
        );
    }
}

/// A second proxy that has not been notified of the purge makes the other cache fill the old copy from its sibling.
#[test]
fn stale_copy_filled_from_a_sibling_is_not_served() {
    let mut p = play(true);
    let (first, old) = p.ask(START_US, |_, _| {});
    let other = if first == "a" { "b" } else { "a" };
    let purged_at = START_US + 5 * S;
    // The other cache has applied the purge. The first cache has not and still has the old copy.
    p.site.purge(other, Ok(OBJECT), purged_at);
    p.purge(purged_at, true);
    let stale_fill = Fetch {
        source: Some(first.into()),
        max_age_us: u64::MAX,
        rank: 1,
        ..fetch_of(98, &default_fill(), 0)
    };
    p.site.fetch(purged_at + S / 10, other, stale_fill);
    p.site.advance(purged_at + S);
    p.site.purge(first, Ok(OBJECT), purged_at);
    // Both caches have applied the purge. The first cache is removed from the list, so the router uses the second.
    let server = |state| Server {
        id: if first == "a" { 1 } else { 2 },
        zone: "here".into(),
        cell: 0,
        kind: "box".into(),
        weight: 8.0,
        state,
        started: None,
    };
    let list = Event::List {
        mode: ListMode::Delta,
        servers: vec![server(State::Gone)],
    };
    p.router.handle(purged_at + 7 * S, list, &mut Vec::new());
    let (uid, made) = p.ask(purged_at + 8 * S, |_, _| {});
    assert_eq!(uid, other);
    assert!(
        old < purged_at && made >= purged_at,
        "{made} is older than {purged_at}"
    );
}

/// A process started by an upgrade receives earlier purges from the bus late.
#[test]
fn restarted_process_enforces_purges_replayed_by_the_bus() {
    let mut p = play(false);
    let mut purged_at = 0;
    let (_, old) = p.ask(START_US, |p, now| {
        purged_at = now;
        ["a", "b"]
            .iter()
            .for_each(|uid| p.site.purge(uid, Ok(OBJECT), purged_at));
    });
    p.router = router(false);
    let now = START_US + 20 * S;
    let purged = Event::Purged {
        object: Some(OBJECT.to_string()),
        group: GROUP,
        age_us: now - purged_at,
    };
    p.router.handle(now, purged, &mut Vec::new());
    let (_, made) = p.ask(now + S, |_, _| {});
    assert!(
        old < purged_at && made >= purged_at,
        "{made} is older than {purged_at}"
    );
}

fn default_fill() -> Fill {
    Fill {
        source: 0,
        cache_rank: 1,
        max_age_us: None,
        coalesce: true,
        only_if_cached: false,
        bypass_parent: false,
        background_refresh: false,
    }
}
