//! The wire's messages to and from the interface's plain types.

use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::fmt::Write;
use weirrouter as w;

type Fields = Map<String, Value>;
type Result<T> = std::result::Result<T, String>;

/// The instances, and the batch being read.
#[derive(Default)]
pub struct Host {
    routers: BTreeMap<u64, w::Router>,
    now: u64,
    round: Option<u64>,
    actions: Vec<w::Action>,
    reply: String,
}

fn get<'a>(m: &'a Fields, key: &str) -> Option<&'a Value> {
    m.get(key).filter(|v| !v.is_null())
}

fn need<'a>(m: &'a Fields, key: &str) -> Result<&'a Value> {
    get(m, key).ok_or_else(|| format!("field '{key}' is missing"))
}

fn wrong(key: &str) -> String {
    format!("field '{key}' has the wrong type")
}

fn as_int(v: &Value) -> Option<u64> {
    v.as_u64().or_else(|| v.as_f64().filter(|f| *f >= 0.0 && f.is_finite()).map(|f| f as u64))
}

fn int(m: &Fields, key: &str) -> Result<u64> {
    as_int(need(m, key)?).ok_or_else(|| wrong(key))
}

fn int_or(m: &Fields, key: &str, default: u64) -> Result<u64> {
    get(m, key).map_or(Ok(default), |v| as_int(v).ok_or_else(|| wrong(key)))
}

fn num_or(m: &Fields, key: &str, default: f64) -> Result<f64> {
    get(m, key).map_or(Ok(default), |v| v.as_f64().ok_or_else(|| wrong(key)))
}

fn flag(m: &Fields, key: &str) -> Result<bool> {
    get(m, key).map_or(Ok(false), |v| v.as_bool().ok_or_else(|| wrong(key)))
}

fn text(m: &Fields, key: &str) -> Result<String> {
    need(m, key)?.as_str().map(str::to_owned).ok_or_else(|| wrong(key))
}

fn text_or(m: &Fields, key: &str, default: &str) -> Result<String> {
    get(m, key).map_or(Ok(default.to_owned()), |v| v.as_str().map(str::to_owned).ok_or_else(|| wrong(key)))
}

/// A name that is left out, null or 0 when there is none.
fn name(m: &Fields, key: &str) -> Result<Option<String>> {
    match get(m, key) {
        None => Ok(None),
        Some(Value::String(s)) => Ok(Some(s.clone())),
        Some(v) if v.as_f64() == Some(0.0) => Ok(None),
        Some(_) => Err(wrong(key)),
    }
}

fn list<'a>(m: &'a Fields, key: &str) -> Result<&'a [Value]> {
    get(m, key).map_or(Ok(&[][..]), |v| v.as_array().map(Vec::as_slice).ok_or_else(|| wrong(key)))
}

fn object<'a>(m: &'a Fields, key: &str) -> Result<&'a Fields> {
    need(m, key)?.as_object().ok_or_else(|| wrong(key))
}

fn at<T>(m: &Fields, key: &str, i: usize, read: impl Fn(&Value) -> Option<T>) -> Result<Option<T>> {
    list(m, key)?.get(i).map(|v| read(v).ok_or_else(|| wrong(key))).transpose()
}

fn settings(m: &Fields) -> Result<w::Settings> {
    let empty = Fields::new();
    let sub = |key: &str| match get(m, key) {
        None => Ok(&empty),
        Some(v) => v.as_object().ok_or_else(|| wrong(key)),
    };
    let (family, limits, rules) = (sub("family-info")?, sub("limits")?, sub("rules")?);
    let mut classes = Vec::new();
    for (i, v) in list(m, "categories")?.iter().enumerate() {
        let c = v.as_object().ok_or_else(|| wrong("categories"))?;
        classes.push(w::Class {
            name: text(c, "name")?,
            aim_us: int(c, "aim-us")?,
            aim_stretch: num_or(c, "aim-stretch", 0.0)?,
            deadline_us: int(c, "deadline-us")?,
            worth: num_or(c, "worth", 1.0)?,
            late_worth: num_or(c, "late-worth", 0.0)?,
            repeat: match text_or(c, "repeat", "side_effect")?.as_str() {
                "pure" => w::Repeat::Safe,
                "token" => w::Repeat::Keyed,
                _ => w::Repeat::Unsafe,
            },
            scope: match text_or(c, "dedup-scope", "cell")?.as_str() {
                "all" => w::DedupScope::All,
                "zone" => w::DedupScope::Zone,
                _ => w::DedupScope::Cell,
            },
            window_us: int_or(c, "window-us", 0)?,
            streaming: flag(c, "streaming")?,
            parts: at(family, "in-pieces", i, Value::as_bool)?.unwrap_or(false),
            write: at(family, "never-kept", i, Value::as_bool)?.unwrap_or(false),
            fresh_us: at(family, "good-for-us", i, as_int)?.unwrap_or(0),
            grace_us: at(family, "usable-after-us", i, as_int)?.unwrap_or(0),
            stale_worth: at(family, "old-copy-worth", i, Value::as_f64)?.unwrap_or(0.0),
        });
    }
    let kinds = list(m, "kinds")?;
    let kind = |key: &str| -> Result<Option<String>> {
        let place = num_or(family, key, -1.0)?;
        Ok((place >= 0.0).then(|| kinds.get(place as usize)?.as_str().map(str::to_owned)).flatten())
    };
    let zone_names = list(m, "localities")?;
    let mut zones = Vec::new();
    for (i, v) in zone_names.iter().enumerate() {
        zones.push(w::Zone {
            name: v.as_str().ok_or_else(|| wrong("localities"))?.to_owned(),
            routers: at(family, "seats-by-zone", i, as_int)?.unwrap_or(1) as u32,
            hub: at(family, "attached-to", i, as_int)?.unwrap_or(0) as usize,
            link_kb_per_s: at(family, "zone-link-kb-per-s", i, Value::as_f64)?.unwrap_or(0.0),
        });
    }
    let own = text(m, "zone")?;
    let zone = zones.iter().position(|z| z.name == own).unwrap_or(usize::MAX);
    let mut tenants = Vec::new();
    for v in list(m, "customers")? {
        let t = v.as_object().ok_or_else(|| wrong("customers"))?;
        tenants.push(w::Tenant { name: text(t, "name")?, quota_rps: num_or(t, "quota-rps", 0.0)? });
    }
    let telemetry = sub("telemetry")?;
    Ok(w::Settings {
        classes,
        tenants,
        zones,
        zone,
        parent_kind: kind("mid-kind")?,
        origin_kind: kind("source-kind")?.unwrap_or_default(),
        ask_for_list: text_or(m, "discovery", "push")? == "ask",
        direct: flag(family, "may-pass-by")?,
        joins: flag(family, "can-join")?,
        siblings: match text_or(family, "neighbours", "off")?.as_str() {
            "location" => w::Siblings::Location,
            "any" => w::Siblings::Any,
            _ => w::Siblings::Off,
        },
        tells: match text_or(family, "note-level", "off")?.as_str() {
            "all" => w::Tells::All,
            "hit" => w::Tells::Hit,
            _ => w::Tells::Off,
        },
        reports: match text_or(telemetry, "source", "off")?.as_str() {
            "inline" => w::Reports::Answers,
            "on_probe" => w::Reports::Probes,
            _ => w::Reports::Off,
        },
        weights_told: matches!(text_or(m, "weights", "off")?.as_str(), "nominal" | "rough"),
        flow_kb_per_s: num_or(family, "one-flow-kb-per-s", 0.0)?,
        max_attempts: int_or(limits, "try-limit", 1)? as u32,
        second_copies: flag(limits, "second-copies")?,
        cancel: flag(limits, "cancel")?,
        probes: flag(limits, "probing")?,
        retry_after: flag(limits, "retry-after")?,
        max_retry_after_us: int_or(limits, "max-retry-after-us", 0)?,
        origin_fall_multiple: num_or(family, "origin-fall-multiple", 0.0)?,
        rules: w::Rules {
            drain_grace_us: int_or(rules, "drain-grace-us", 0)?,
            cold_share: num_or(rules, "cold-share", 1.0)?,
            cold_us: int_or(rules, "ramp-time-us", 0)?,
            fall_multiple: num_or(rules, "fall-multiple", 1.0)?,
            fall_us: int_or(rules, "tip-after-us", 1)?,
            parent_cold_share: num_or(family, "parent-cold-from", 1.0)?,
            parent_cold_us: int_or(family, "upper-cold-us", 0)?,
            parent_fall_multiple: num_or(family, "upper-fall-multiple", 1.0)?,
            purge_grace_us: int_or(family, "purge-slack-us", 0)?,
            purge_done_us: int_or(family, "purge-takes-us", 0)?,
            ask_within_us: int_or(rules, "ask-within-us", 0)?,
        },
    })
}

fn outcome(m: &Fields) -> Result<w::Outcome> {
    Ok(match text(m, "how")?.as_str() {
        "ok" => w::Outcome::Ok,
        "full" => w::Outcome::Full,
        "timeout" => w::Outcome::Timeout,
        "connect_failed" => w::Outcome::ConnectFailed,
        "reset" => w::Outcome::Reset,
        "cancelled" => w::Outcome::Cancelled,
        "moot" => w::Outcome::Moot,
        "miss" => w::Outcome::Miss,
        // Anything that this page does not know may have run.
        _ => w::Outcome::Error,
    })
}

fn load(m: &Fields) -> Result<Option<w::Load>> {
    let Some(v) = get(m, "usage") else { return Ok(None) };
    let r = v.as_object().ok_or_else(|| wrong("usage"))?;
    let value = |key: &str| get(r, key).and_then(Value::as_f64);
    Ok(Some(w::Load {
        util: value("cpu_share"),
        inflight: value("busy_reqs"),
        hit_share: value("x0"),
        link_use: value("x1"),
    }))
}

fn servers(m: &Fields) -> Result<Vec<w::Server>> {
    let mut servers = Vec::new();
    for v in list(m, "items")? {
        let e = v.as_object().ok_or_else(|| wrong("items"))?;
        servers.push(w::Server {
            id: int(e, "store")?,
            zone: text_or(e, "campus", "")?,
            cell: int_or(e, "group", 0)?,
            kind: text_or(e, "shape", "")?,
            weight: num_or(e, "weight", 1.0)?,
            state: match int(e, "state")? {
                1 => w::State::Ready,
                2 => w::State::Draining,
                _ => w::State::Gone,
            },
            started: Some(int_or(e, "born-us", 0)?).filter(|t| *t > 0),
        });
    }
    Ok(servers)
}

fn event(kind: &str, m: &Fields) -> Result<Option<w::Event>> {
    Ok(Some(match kind {
        "PeersKnown" => w::Event::List {
            mode: match int(m, "mode")? {
                1 | 3 => w::ListMode::Full,
                2 => w::ListMode::Delta,
                _ => w::ListMode::Failed,
            },
            servers: servers(m)?,
        },
        "Order" => w::Event::Request(w::Request {
            id: int(m, "request-id")?,
            class: text(m, "grade")?,
            tenant: name(m, "owner")?,
            object: name(m, "content-id")?.unwrap_or_default(),
            part: int_or(m, "segment", 0)?,
            group: int_or(m, "purge-group", 0)?,
            size_kb: num_or(m, "length-kb", 0.0)?,
            remaining_us: get(m, "remaining-us")
                .map_or(Err("field 'remaining-us' is missing".into()), |v| {
                    v.as_f64().map(|f| f.max(0.0) as u64).ok_or_else(|| wrong("remaining-us"))
                })?,
            repeated: int_or(m, "marks", 0)? & 2 != 0,
        }),
        "Accepted" => w::Event::Begun { request: int(m, "request-id")?, attempt: int_or(m, "go", 0)? as u32 },
        "Resolved" => w::Event::Outcome {
            request: int(m, "request-id")?,
            attempt: int_or(m, "go", 0)? as u32,
            server: int(m, "store")?,
            outcome: outcome(m)?,
            took_us: int_or(m, "took-us", 0)?,
            settled: flag(m, "settled")?,
            note: match int_or(m, "note", 0)? {
                1 => w::Note::Hit,
                2 => w::Note::Filled,
                3 => w::Note::FilledByOrigin,
                4 => w::Note::Joined,
                5 => w::Note::Stale,
                6 => w::Note::SourceRefused,
                7 => w::Note::SourceLost,
                8 => w::Note::SourceLacks,
                9 => w::Note::NoFillPlace,
                10 => w::Note::OriginFailed,
                _ => w::Note::None,
            },
            waited_us: int_or(m, "first-byte-us", 0)?,
            load: load(m)?,
        },
        "ClientLeft" => w::Event::Left { request: int(m, "request-id")? },
        "Elapsed" => w::Event::Timer { tag: int(m, "ctx")? },
        "CheckResult" => w::Event::Probed {
            server: int(m, "store")?,
            outcome: outcome(m)?,
            took_us: int_or(m, "took-us", 0)?,
            load: load(m)?,
        },
        "Invalidated" => w::Event::Purged {
            object: name(m, "content-id")?,
            group: int_or(m, "batch-id", 0)?,
            age_us: int_or(m, "how-old-us", 0)?,
        },
        // Messages between instances are not used, and later kinds of message are not known.
        _ => return Ok(None),
    }))
}

fn action(i: u64, a: &w::Action) -> Value {
    match a {
        w::Action::Attempt { request, server, timeout_us, fill: None } => json!({
            "event_type": "Assign", "i": i, "request-id": request, "store": server,
            "allow-for-us": timeout_us,
        }),
        w::Action::Attempt { request, server, timeout_us, fill: Some(f) } => json!({
            "event_type": "ReadThrough", "i": i, "request-id": request, "store": server,
            "allow-for-us": timeout_us, "feeder": f.source, "tier-rank": f.keep, "how-old-us": f.max_age_us,
            "how": u8::from(f.join) + 2 * u8::from(f.only_held) + 4 * u8::from(f.bypass_parent)
                + 8 * u8::from(f.renew),
        }),
        w::Action::Cancel { request, attempt } => {
            json!({"event_type": "Retract", "i": i, "request-id": request, "go": attempt})
        }
        w::Action::Refuse { request, retry_after_us } => json!({
            "event_type": "PushBack", "i": i, "request-id": request, "retry-after-us": retry_after_us,
        }),
        w::Action::Fail { request } => json!({"event_type": "Abort", "i": i, "request-id": request}),
        w::Action::Timer { at, tag } => json!({"event_type": "After", "i": i, "at-us": at, "ctx": tag}),
        w::Action::Probe { server } => json!({"event_type": "SoundOut", "i": i, "store": server}),
        w::Action::Watch => json!({"event_type": "Track", "i": i, "want": true}),
        w::Action::Report { line } => json!({"event_type": "Emit", "i": i, "msg": line}),
    }
}

impl Host {
    /// Takes a line in; at the end of a batch gives the reply to it.
    pub fn line(&mut self, line: &str) -> Result<Option<String>> {
        let value: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
        let m = value.as_object().ok_or("not a JSON object")?;
        let kind = text(m, "event_type")?;
        if kind == "Clock" {
            self.now = int(m, "at-time-us")?;
            self.round = Some(int(m, "round")?);
            return Ok(None);
        }
        let round = self.round.ok_or("no 'Clock' line before this one")?;
        if kind == "End" {
            self.round = None;
            let mut reply = std::mem::take(&mut self.reply);
            let _ = writeln!(reply, "{}", json!({"event_type": "Ack", "round": round}));
            return Ok(Some(reply));
        }
        self.event(&kind, m).map_err(|e| format!("{kind}: {e}"))?;
        Ok(None)
    }

    fn event(&mut self, kind: &str, m: &Fields) -> Result<()> {
        let i = int(m, "i")?;
        match kind {
            "Born" => {
                let settings = settings(object(m, "setup")?)?;
                let router = w::Router::new(settings, int(m, "nonce64")?).map_err(|e| e.to_string())?;
                self.routers.insert(i, router);
            }
            "Stop" => {
                self.routers.remove(&i);
            }
            _ => {
                let (Some(router), Some(event)) = (self.routers.get_mut(&i), event(kind, m)?) else {
                    return Ok(());
                };
                router.handle(self.now, event, &mut self.actions);
                for a in self.actions.drain(..) {
                    let _ = writeln!(self.reply, "{}", action(i, &a));
                }
            }
        }
        Ok(())
    }
}
