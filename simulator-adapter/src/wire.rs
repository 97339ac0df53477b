//! The wire's messages to and from the interface's plain types.

use linnetknot as w;
use linnetknot_settings::{
    flag, get, int, int_or, list, number_or, object, optional_name, parse_settings, required, text,
    text_or, wrong_type, Fields, Result,
};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The bit of a request's marks that says that it was sent before.
const REPEATED_MARK: u64 = 2;

/// The instances, and the batch being read.
#[derive(Default)]
pub(crate) struct Host {
    routers: BTreeMap<u64, w::Router>,
    now: u64,
    round: Option<u64>,
    actions: Vec<w::Action>,
    reply: String,
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
    let Some(v) = get(m, "usage") else {
        return Ok(None);
    };
    let r = v.as_object().ok_or_else(|| wrong_type("usage"))?;
    let value = |key: &str| get(r, key).and_then(Value::as_f64);
    Ok(Some(w::Load {
        cpu_utilisation: value("cpu_share"),
        in_flight: value("busy_reqs"),
        hit_ratio: value("x0"),
        link_utilisation: value("x1"),
    }))
}

fn servers(m: &Fields) -> Result<Vec<w::Server>> {
    let mut servers = Vec::new();
    for v in list(m, "items")? {
        let e = v.as_object().ok_or_else(|| wrong_type("items"))?;
        servers.push(w::Server {
            id: int(e, "store")?,
            zone: text_or(e, "campus", "")?,
            cell: int_or(e, "group", 0)?,
            kind: text_or(e, "shape", "")?,
            weight: number_or(e, "weight", 1.0)?,
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

/// What is left of a request's time, which may be told as a fraction.
fn remaining_us(m: &Fields) -> Result<u64> {
    let value = required(m, "remaining-us")?;
    let remaining = value.as_f64().ok_or_else(|| wrong_type("remaining-us"))?;
    Ok(remaining.max(0.0) as u64)
}

fn list_event(m: &Fields) -> Result<w::Event> {
    let mode = match int(m, "mode")? {
        1 | 3 => w::ListMode::Full,
        2 => w::ListMode::Delta,
        _ => w::ListMode::Failed,
    };
    Ok(w::Event::List {
        mode,
        servers: servers(m)?,
    })
}

fn request_event(m: &Fields) -> Result<w::Event> {
    Ok(w::Event::Request(w::Request {
        id: int(m, "request-id")?,
        class: text(m, "grade")?,
        tenant: optional_name(m, "owner")?,
        object: optional_name(m, "content-id")?.unwrap_or_default(),
        part: int_or(m, "segment", 0)?,
        group: int_or(m, "purge-group", 0)?,
        size_kb: number_or(m, "length-kb", 0.0)?,
        remaining_us: remaining_us(m)?,
        is_retry: int_or(m, "marks", 0)? & REPEATED_MARK != 0,
    }))
}

fn note(m: &Fields) -> Result<w::Note> {
    Ok(match int_or(m, "note", 0)? {
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
    })
}

fn outcome_event(m: &Fields) -> Result<w::Event> {
    Ok(w::Event::AttemptEnded {
        request: int(m, "request-id")?,
        attempt: int_or(m, "go", 0)? as u32,
        server: int(m, "store")?,
        outcome: outcome(m)?,
        took_us: int_or(m, "took-us", 0)?,
        settled: flag(m, "settled")?,
        note: note(m)?,
        first_byte_us: int_or(m, "first-byte-us", 0)?,
        load: load(m)?,
    })
}

fn event(kind: &str, m: &Fields) -> Result<Option<w::Event>> {
    Ok(Some(match kind {
        "PeersKnown" => list_event(m)?,
        "Order" => request_event(m)?,
        "Accepted" => w::Event::StreamStarted {
            request: int(m, "request-id")?,
            attempt: int_or(m, "go", 0)? as u32,
        },
        "Resolved" => outcome_event(m)?,
        "ClientLeft" => w::Event::ClientLeft {
            request: int(m, "request-id")?,
        },
        "Elapsed" => w::Event::Timer {
            tag: int(m, "ctx")?,
        },
        "CheckResult" => w::Event::ProbeEnded {
            server: int(m, "store")?,
            outcome: outcome(m)?,
            took_us: int_or(m, "took-us", 0)?,
            load: load(m)?,
        },
        "Invalidated" => w::Event::Purged {
            object: optional_name(m, "content-id")?,
            group: int_or(m, "batch-id", 0)?,
            age_us: int_or(m, "how-old-us", 0)?,
        },
        // Messages between instances are not used, and later kinds of message are not known.
        _ => return Ok(None),
    }))
}

fn action(i: u64, a: &w::Action) -> Value {
    match a {
        w::Action::Attempt {
            request,
            server,
            timeout_us,
            fill: None,
        } => json!({
            "event_type": "Assign", "i": i, "request-id": request, "store": server,
            "allow-for-us": timeout_us,
        }),
        w::Action::Attempt {
            request,
            server,
            timeout_us,
            fill: Some(f),
        } => json!({
            "event_type": "ReadThrough", "i": i, "request-id": request, "store": server,
            "allow-for-us": timeout_us, "feeder": f.source, "tier-rank": f.cache_rank, "how-old-us": f.max_age_us,
            "how": u8::from(f.coalesce) + 2 * u8::from(f.only_if_cached) + 4 * u8::from(f.bypass_parent)
                + 8 * u8::from(f.background_refresh),
        }),
        w::Action::Cancel { request, attempt } => {
            json!({"event_type": "Retract", "i": i, "request-id": request, "go": attempt})
        }
        w::Action::Refuse {
            request,
            retry_after_us,
        } => json!({
            "event_type": "PushBack", "i": i, "request-id": request, "retry-after-us": retry_after_us,
        }),
        w::Action::Fail { request } => {
            json!({"event_type": "Abort", "i": i, "request-id": request})
        }
        w::Action::Timer { at, tag } => {
            json!({"event_type": "After", "i": i, "at-us": at, "ctx": tag})
        }
        w::Action::Probe { server } => json!({"event_type": "SoundOut", "i": i, "store": server}),
        w::Action::Watch => json!({"event_type": "Track", "i": i, "want": true}),
        w::Action::Report { line } => json!({"event_type": "Emit", "i": i, "msg": line}),
    }
}

impl Host {
    /// Takes a line in; at the end of a batch gives the reply to it.
    pub(crate) fn line(&mut self, line: &str) -> Result<Option<String>> {
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
                let settings = parse_settings(object(m, "setup")?)?;
                let router =
                    w::Router::new(settings, int(m, "nonce64")?).map_err(|e| e.to_string())?;
                self.routers.insert(i, router);
            }
            "Stop" => {
                self.routers.remove(&i);
            }
            _ => {
                let (Some(router), Some(event)) = (self.routers.get_mut(&i), event(kind, m)?)
                else {
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
