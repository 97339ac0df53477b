//! Decodes the simulator's messages into events of the decision module and encodes its actions.

use linnetknot as decision;
use linnetknot_settings::{
    flag, get, int, int_or, list, number_or, object, optional_name, parse_settings, required, text,
    text_or, wrong_type, Fields, Result,
};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The bit in `marks` that is set if the request is a retry of an earlier one.
const RETRY_MARK: u64 = 2;

/// The hosted router instances and the state of the current batch.
#[derive(Default)]
pub(crate) struct Host {
    routers: BTreeMap<u64, decision::Router>,
    now: u64,
    round: Option<u64>,
    actions: Vec<decision::Action>,
    reply: String,
}

fn decode_outcome(message: &Fields) -> Result<decision::Outcome> {
    Ok(match text(message, "how")?.as_str() {
        "ok" => decision::Outcome::Ok,
        "full" => decision::Outcome::Full,
        "timeout" => decision::Outcome::Timeout,
        "connect_failed" => decision::Outcome::ConnectFailed,
        "reset" => decision::Outcome::Reset,
        "cancelled" => decision::Outcome::Cancelled,
        "moot" => decision::Outcome::Moot,
        "miss" => decision::Outcome::Miss,
        // An attempt with an unknown outcome may have been executed.
        _ => decision::Outcome::Error,
    })
}

fn decode_load(message: &Fields) -> Result<Option<decision::Load>> {
    let Some(usage) = get(message, "usage") else {
        return Ok(None);
    };
    let fields = usage.as_object().ok_or_else(|| wrong_type("usage"))?;
    let value = |key: &str| get(fields, key).and_then(Value::as_f64);
    Ok(Some(decision::Load {
        cpu_utilisation: value("cpu_share"),
        in_flight: value("busy_reqs"),
        hit_ratio: value("x0"),
        link_utilisation: value("x1"),
    }))
}

fn decode_servers(message: &Fields) -> Result<Vec<decision::Server>> {
    let mut servers = Vec::new();
    for item in list(message, "items")? {
        let fields = item.as_object().ok_or_else(|| wrong_type("items"))?;
        servers.push(decision::Server {
            id: int(fields, "store")?,
            zone: text_or(fields, "campus", "")?,
            cell: int_or(fields, "group", 0)?,
            kind: text_or(fields, "shape", "")?,
            weight: number_or(fields, "weight", 1.0)?,
            state: match int(fields, "state")? {
                1 => decision::State::Ready,
                2 => decision::State::Draining,
                _ => decision::State::Gone,
            },
            started: Some(int_or(fields, "born-us", 0)?).filter(|t| *t > 0),
        });
    }
    Ok(servers)
}

/// Decodes the remaining time of a request, which may have a fractional part.
fn decode_remaining_us(message: &Fields) -> Result<u64> {
    let value = required(message, "remaining-us")?;
    let remaining = value.as_f64().ok_or_else(|| wrong_type("remaining-us"))?;
    Ok(remaining.max(0.0) as u64)
}

fn decode_list(message: &Fields) -> Result<decision::Event> {
    let mode = match int(message, "mode")? {
        1 | 3 => decision::ListMode::Full,
        2 => decision::ListMode::Delta,
        _ => decision::ListMode::Failed,
    };
    Ok(decision::Event::List {
        mode,
        servers: decode_servers(message)?,
    })
}

fn decode_request(message: &Fields) -> Result<decision::Event> {
    Ok(decision::Event::Request(decision::Request {
        id: int(message, "request-id")?,
        class: text(message, "grade")?,
        tenant: optional_name(message, "owner")?,
        object: optional_name(message, "content-id")?.unwrap_or_default(),
        part: int_or(message, "segment", 0)?,
        group: int_or(message, "purge-group", 0)?,
        size_kb: number_or(message, "length-kb", 0.0)?,
        remaining_us: decode_remaining_us(message)?,
        is_retry: int_or(message, "marks", 0)? & RETRY_MARK != 0,
    }))
}

fn decode_note(message: &Fields) -> Result<decision::Note> {
    Ok(match int_or(message, "note", 0)? {
        1 => decision::Note::Hit,
        2 => decision::Note::Filled,
        3 => decision::Note::FilledByOrigin,
        4 => decision::Note::Joined,
        5 => decision::Note::Stale,
        6 => decision::Note::SourceRefused,
        7 => decision::Note::SourceLost,
        8 => decision::Note::SourceLacks,
        9 => decision::Note::NoFillPlace,
        10 => decision::Note::OriginFailed,
        _ => decision::Note::None,
    })
}

fn decode_attempt_end(message: &Fields) -> Result<decision::Event> {
    Ok(decision::Event::AttemptEnded {
        request: int(message, "request-id")?,
        attempt: int_or(message, "go", 0)? as u32,
        server: int(message, "store")?,
        outcome: decode_outcome(message)?,
        took_us: int_or(message, "took-us", 0)?,
        settled: flag(message, "settled")?,
        note: decode_note(message)?,
        first_byte_us: int_or(message, "first-byte-us", 0)?,
        load: decode_load(message)?,
    })
}

fn decode_event(kind: &str, message: &Fields) -> Result<Option<decision::Event>> {
    Ok(Some(match kind {
        "PeersKnown" => decode_list(message)?,
        "Order" => decode_request(message)?,
        "Accepted" => decision::Event::StreamStarted {
            request: int(message, "request-id")?,
            attempt: int_or(message, "go", 0)? as u32,
        },
        "Resolved" => decode_attempt_end(message)?,
        "ClientLeft" => decision::Event::ClientLeft {
            request: int(message, "request-id")?,
        },
        "Elapsed" => decision::Event::Timer {
            tag: int(message, "ctx")?,
        },
        "CheckResult" => decision::Event::ProbeEnded {
            server: int(message, "store")?,
            outcome: decode_outcome(message)?,
            took_us: int_or(message, "took-us", 0)?,
            load: decode_load(message)?,
        },
        "Invalidated" => decision::Event::Purged {
            object: optional_name(message, "content-id")?,
            group: int_or(message, "batch-id", 0)?,
            age_us: int_or(message, "how-old-us", 0)?,
        },
        // Messages between instances (`Peer`) and unknown kinds are ignored.
        _ => return Ok(None),
    }))
}

fn encode_action(instance: u64, action: &decision::Action) -> Value {
    match action {
        decision::Action::Attempt {
            request,
            server,
            timeout_us,
            fill: None,
        } => json!({
            "event_type": "Assign", "i": instance, "request-id": request, "store": server,
            "allow-for-us": timeout_us,
        }),
        decision::Action::Attempt {
            request,
            server,
            timeout_us,
            fill: Some(fill),
        } => json!({
            "event_type": "ReadThrough", "i": instance, "request-id": request, "store": server,
            "allow-for-us": timeout_us, "feeder": fill.source, "tier-rank": fill.cache_rank, "how-old-us": fill.max_age_us,
            "how": u8::from(fill.coalesce) + 2 * u8::from(fill.only_if_cached) + 4 * u8::from(fill.bypass_parent)
                + 8 * u8::from(fill.background_refresh),
        }),
        decision::Action::Cancel { request, attempt } => {
            json!({"event_type": "Retract", "i": instance, "request-id": request, "go": attempt})
        }
        decision::Action::Refuse {
            request,
            retry_after_us,
        } => json!({
            "event_type": "PushBack", "i": instance, "request-id": request, "retry-after-us": retry_after_us,
        }),
        decision::Action::Fail { request } => {
            json!({"event_type": "Abort", "i": instance, "request-id": request})
        }
        decision::Action::Timer { at, tag } => {
            json!({"event_type": "After", "i": instance, "at-us": at, "ctx": tag})
        }
        decision::Action::Probe { server } => {
            json!({"event_type": "SoundOut", "i": instance, "store": server})
        }
        decision::Action::Watch => json!({"event_type": "Track", "i": instance, "want": true}),
        decision::Action::Report { line } => {
            json!({"event_type": "Emit", "i": instance, "msg": line})
        }
    }
}

impl Host {
    /// Handles a line of input. Returns the reply to the batch if the line ends it.
    pub(crate) fn handle_line(&mut self, line: &str) -> Result<Option<String>> {
        let value: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
        let message = value.as_object().ok_or("not a JSON object")?;
        let kind = text(message, "event_type")?;
        if kind == "Clock" {
            self.now = int(message, "at-time-us")?;
            self.round = Some(int(message, "round")?);
            return Ok(None);
        }
        let round = self.round.ok_or("no 'Clock' line before this one")?;
        if kind == "End" {
            self.round = None;
            let mut reply = std::mem::take(&mut self.reply);
            let _ = writeln!(reply, "{}", json!({"event_type": "Ack", "round": round}));
            return Ok(Some(reply));
        }
        self.handle_message(&kind, message)
            .map_err(|e| format!("{kind}: {e}"))?;
        Ok(None)
    }

    fn handle_message(&mut self, kind: &str, message: &Fields) -> Result<()> {
        let instance = int(message, "i")?;
        match kind {
            "Born" => {
                let settings = parse_settings(object(message, "setup")?)?;
                let router = decision::Router::new(settings, int(message, "nonce64")?)
                    .map_err(|e| e.to_string())?;
                self.routers.insert(instance, router);
            }
            "Stop" => {
                self.routers.remove(&instance);
            }
            _ => {
                let (Some(router), Some(event)) = (
                    self.routers.get_mut(&instance),
                    decode_event(kind, message)?,
                ) else {
                    return Ok(());
                };
                router.handle(self.now, event, &mut self.actions);
                for action in self.actions.drain(..) {
                    let _ = writeln!(self.reply, "{}", encode_action(instance, &action));
                }
            }
        }
        Ok(())
    }
}
