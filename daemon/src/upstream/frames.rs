//! The wire format: encodes attempts, aborts and health checks, and converts responses to outcomes.

use super::answers::CacheResponse;
use crate::core::{AttemptId, AttemptResult, ClientRequest, Content, Core};
use crate::wire::resp;
use linnetknot::{Fill, Load, Micros, Note, Outcome};
use std::str::FromStr;

/// Parses the field that states how the cache produced the response.
fn note(fields: &[u8]) -> Note {
    match resp::field(fields, "how") {
        Some("local") => Note::Hit,
        Some("pulled") => Note::Filled,
        Some("pulled_far") => Note::FilledByOrigin,
        Some("rode") => Note::Joined,
        Some("expired") => Note::Stale,
        Some("turned_away") => Note::SourceRefused,
        Some("cut_off") => Note::SourceLost,
        Some("not_there") => Note::SourceLacks,
        Some("no_place") => Note::NoFillPlace,
        Some("far_fault") => Note::OriginFailed,
        _ => Note::None,
    }
}

/// Parses the load report of a response.
pub(super) fn load_report(fields: &[u8]) -> Option<Load> {
    let stats = resp::field(fields, "stats")?;
    Some(Load {
        cpu_utilisation: statistic(stats, "util"),
        in_flight: statistic(stats, "inflight"),
        hit_ratio: statistic(stats, "x0"),
        link_utilisation: statistic(stats, "x1"),
    })
}

/// Parses the value with a given name in a list of the form `name:value;name:value`.
fn statistic<T: FromStr>(stats: &str, name: &str) -> Option<T> {
    let pairs = stats.split(';').filter_map(|pair| pair.split_once(':'));
    let mut values = pairs.filter(|(n, _)| *n == name);
    values.find_map(|(_, value)| value.parse().ok())
}

/// Converts a response to the result of its attempt.
pub(super) fn result_of(response: CacheResponse, request: Option<&ClientRequest>) -> AttemptResult {
    let fields = &response.fields;
    let etag = resp::field(fields, "etag");
    let (outcome, content) = match response.status.as_slice() {
        b"200" => {
            let tag = etag.map(str::to_owned);
            let bytes = response.body;
            (Outcome::Ok, Some(Content::Object { bytes, tag }))
        }
        b"304" if is_current(request, etag) => (Outcome::Ok, Some(Content::Unchanged)),
        b"404" => (Outcome::Miss, None),
        b"503" => (Outcome::Full, None),
        b"504" => (Outcome::Moot, None),
        // An unknown status is treated as an error, because the cache may have executed the attempt.
        _ => (Outcome::Error, None),
    };
    AttemptResult {
        outcome,
        note: note(fields),
        waited_us: waited_us(fields),
        load: load_report(fields),
        content,
    }
}

/// Whether the copy that the client has cached is current. The response must carry the same tag as that copy; a
/// response with a different tag or none may belong to another object.
fn is_current(request: Option<&ClientRequest>, etag: Option<&str>) -> bool {
    let cached_tag = request.and_then(|request| request.cached_tag.as_deref());
    cached_tag.is_some() && cached_tag == etag
}

/// Returns how long the fill of the cache waited for the first byte from its source.
fn waited_us(fields: &[u8]) -> Micros {
    let waited_ms = resp::field(fields, "ttfb").and_then(|ms| ms.parse::<f64>().ok());
    (waited_ms.unwrap_or(0.0).max(0.0) * 1e3) as Micros
}

/// The encoded frame of an attempt, with the age limit by which its response is checked.
pub(super) struct AttemptFrame {
    pub(super) bytes: Vec<u8>,
    /// The maximum age of a cached copy that the request accepts, in microseconds.
    pub(super) max_age_us: Option<Micros>,
}

/// Encodes the frame of an attempt; `None` if the attempt may no longer start.
pub(super) fn attempt_frame(core: &Core, now: Micros, attempt: AttemptId) -> Option<AttemptFrame> {
    let dispatch = core.dispatch_now(now, attempt)?;
    let request = dispatch.request;
    let mut fields = format!(
        "class={},key={},part={}",
        request.class, request.object, request.part
    );
    let wait_ms = (dispatch.target.deadline.saturating_sub(now) / 1000).max(1);
    add(&mut fields, "wait", &wait_ms.to_string());
    if let Some(key) = &request.idempotency_key {
        add(&mut fields, "once", key);
    }
    if let Some(fill) = &dispatch.target.fill {
        if fill.source != dispatch.target.server {
            add(&mut fields, "src", core.wire_id(fill.source)?);
        }
        add_fill(&mut fields, fill);
    }
    if let Some(tag) = &request.cached_tag {
        add(&mut fields, "have", tag);
    }
    let mut bytes = Vec::with_capacity(fields.len() + request.body.len() + 80);
    resp::write_array(
        &mut bytes,
        &[
            b"fetch",
            request.id.as_bytes(),
            fields.as_bytes(),
            &request.body,
        ],
    );
    Some(AttemptFrame {
        bytes,
        max_age_us: dispatch.target.fill.and_then(|f| f.max_age_us),
    })
}

/// Appends a field with its name and value.
fn add(fields: &mut String, name: &str, value: &str) {
    fields.extend([",", name, "=", value]);
}

/// Appends the fields that describe a fill, except its source.
fn add_fill(fields: &mut String, fill: &Fill) {
    if fill.cache_rank > 0 {
        add(fields, "keep", &fill.cache_rank.to_string());
    }
    if let Some(age) = fill.max_age_us {
        // Rounded down, so that a copy from before a purge is not accepted. The minimum is 1, because caches interpret
        // 0 as the default of the class.
        add(fields, "maxage", &(age / 1000).max(1).to_string());
    }
    let flags = [
        (fill.coalesce, "wait-for"),
        (fill.only_if_cached, "no-fetch"),
        (fill.bypass_parent, "no-keep"),
        (fill.background_refresh, "background"),
    ];
    let flags: Vec<&str> = flags
        .iter()
        .filter(|flag| flag.0)
        .map(|flag| flag.1)
        .collect();
    if !flags.is_empty() {
        add(fields, "flags", &flags.join("+"));
    }
}

/// Encodes the frame that aborts the attempt with an id.
pub(super) fn abort_frame(id: &str) -> Vec<u8> {
    let mut frame = Vec::new();
    resp::write_array(&mut frame, &[b"abort", id.as_bytes()]);
    frame
}

/// Encodes the frame that requests the load report of a cache.
pub(super) fn health_check_frame(id: &str) -> Vec<u8> {
    let mut frame = Vec::new();
    resp::write_array(&mut frame, &[b"stats", id.as_bytes()]);
    frame
}
