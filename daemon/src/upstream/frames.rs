//! Attempts as frames, and answers as outcomes.

use crate::core::{AttemptId, AttemptResult, ClientRequest, Content, Core};
use crate::wire::resp;
use linnetknot::{Fill, Load, Micros, Note, Outcome};

/// How an answer says that it was made.
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

/// The load report that an answer carries.
pub(super) fn load(fields: &[u8]) -> Option<Load> {
    let stats = resp::field(fields, "stats")?;
    let value = |name: &str| {
        let of = |pair: &str| {
            pair.split_once(':')
                .filter(|(n, _)| *n == name)?
                .1
                .parse()
                .ok()
        };
        stats.split(';').find_map(of)
    };
    let (util, inflight) = (value("util"), value("inflight"));
    Some(Load {
        util,
        inflight,
        hit_share: value("x0"),
        link_use: value("x1"),
    })
}

/// How an attempt ended by this answer.
pub(super) fn ended(
    word: &[u8],
    fields: &[u8],
    body: Vec<u8>,
    asked: Option<&ClientRequest>,
) -> AttemptResult {
    let (outcome, content) = match word {
        b"200" => (
            Outcome::Ok,
            Some(Content::Object {
                bytes: body,
                tag: resp::field(fields, "etag").map(str::to_owned),
            }),
        ),
        // A copy is only called current where the box names it: an answer that names none, or another, may belong to
        // something else.
        b"304"
            if asked.is_some_and(|a| {
                a.cached_tag.is_some() && a.cached_tag.as_deref() == resp::field(fields, "etag")
            }) =>
        {
            (Outcome::Ok, Some(Content::Unchanged))
        }
        b"404" => (Outcome::Miss, None),
        b"503" => (Outcome::Full, None),
        b"504" => (Outcome::Moot, None),
        // Also what this page does not know: it may have run.
        _ => (Outcome::Error, None),
    };
    let waited = resp::field(fields, "ttfb")
        .and_then(|ms| ms.parse::<f64>().ok())
        .unwrap_or(0.0);
    AttemptResult {
        outcome,
        note: note(fields),
        waited_us: (waited.max(0.0) * 1e3) as Micros,
        load: load(fields),
        content,
    }
}

/// An attempt as it is written.
pub(super) struct Frame {
    pub(super) bytes: Vec<u8>,
    /// The oldest copy that it lets pass.
    pub(super) max_age_us: Option<Micros>,
}

/// The frame of an attempt; none where it must not begin any more.
pub(super) fn frame(core: &Core, now: Micros, attempt: AttemptId) -> Option<Frame> {
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
    Some(Frame {
        bytes,
        max_age_us: dispatch.target.fill.and_then(|f| f.max_age_us),
    })
}

fn add(fields: &mut String, name: &str, value: &str) {
    fields.extend([",", name, "=", value]);
}

/// Adds how a miss is to be filled, its source left out.
fn add_fill(fields: &mut String, fill: &Fill) {
    if fill.keep > 0 {
        add(fields, "keep", &fill.keep.to_string());
    }
    if let Some(age) = fill.max_age_us {
        // Rounded down, so that no copy from before a purge passes; 0 would mean the class's fresh time.
        add(fields, "maxage", &(age / 1000).max(1).to_string());
    }
    let flags = [
        (fill.join, "wait-for"),
        (fill.only_held, "no-fetch"),
        (fill.bypass_parent, "no-keep"),
        (fill.renew, "background"),
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
