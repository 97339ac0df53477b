//! Reads the settings object that the simulator adapter and the daemon are both started with. Every message names the key.

use linnetknot as w;
use serde_json::{Map, Value};

/// The fields of a JSON object.
pub type Fields = Map<String, Value>;
/// What was read, or a message that names the faulty key.
pub type Result<T> = std::result::Result<T, String>;

/// A value that is there and not null.
pub fn get<'a>(m: &'a Fields, key: &str) -> Option<&'a Value> {
    m.get(key).filter(|v| !v.is_null())
}

/// A value that must be there.
pub fn required<'a>(m: &'a Fields, key: &str) -> Result<&'a Value> {
    get(m, key).ok_or_else(|| format!("field '{key}' is missing"))
}

/// The message on a value of the wrong type.
pub fn wrong_type(key: &str) -> String {
    format!("field '{key}' has the wrong type")
}

/// A whole number, also where it is written with a point.
pub fn as_int(v: &Value) -> Option<u64> {
    v.as_u64().or_else(|| {
        v.as_f64()
            .filter(|f| *f >= 0.0 && f.is_finite())
            .map(|f| f as u64)
    })
}

/// A whole number that must be there.
pub fn int(m: &Fields, key: &str) -> Result<u64> {
    as_int(required(m, key)?).ok_or_else(|| wrong_type(key))
}

/// A whole number or its default.
pub fn int_or(m: &Fields, key: &str, default: u64) -> Result<u64> {
    get(m, key).map_or(Ok(default), |v| as_int(v).ok_or_else(|| wrong_type(key)))
}

/// A number or its default.
pub fn number_or(m: &Fields, key: &str, default: f64) -> Result<f64> {
    get(m, key).map_or(Ok(default), |v| v.as_f64().ok_or_else(|| wrong_type(key)))
}

/// A flag; false by default.
pub fn flag(m: &Fields, key: &str) -> Result<bool> {
    get(m, key).map_or(Ok(false), |v| v.as_bool().ok_or_else(|| wrong_type(key)))
}

/// A text that must be there.
pub fn text(m: &Fields, key: &str) -> Result<String> {
    required(m, key)?
        .as_str()
        .map(str::to_owned)
        .ok_or_else(|| wrong_type(key))
}

/// A text or its default.
pub fn text_or(m: &Fields, key: &str, default: &str) -> Result<String> {
    get(m, key).map_or(Ok(default.to_owned()), |v| {
        v.as_str().map(str::to_owned).ok_or_else(|| wrong_type(key))
    })
}

/// A name that is left out, null or 0 when there is none.
pub fn optional_name(m: &Fields, key: &str) -> Result<Option<String>> {
    match get(m, key) {
        None => Ok(None),
        Some(Value::String(s)) => Ok(Some(s.clone())),
        Some(v) if v.as_f64() == Some(0.0) => Ok(None),
        Some(_) => Err(wrong_type(key)),
    }
}

/// A list; empty by default.
pub fn list<'a>(m: &'a Fields, key: &str) -> Result<&'a [Value]> {
    get(m, key).map_or(Ok(&[][..]), |v| {
        v.as_array()
            .map(Vec::as_slice)
            .ok_or_else(|| wrong_type(key))
    })
}

/// An object that must be there.
pub fn object<'a>(m: &'a Fields, key: &str) -> Result<&'a Fields> {
    required(m, key)?.as_object().ok_or_else(|| wrong_type(key))
}

/// One place of a list.
pub fn list_item<T>(
    m: &Fields,
    key: &str,
    i: usize,
    read: impl Fn(&Value) -> Option<T>,
) -> Result<Option<T>> {
    list(m, key)?
        .get(i)
        .map(|v| read(v).ok_or_else(|| wrong_type(key)))
        .transpose()
}

/// A request is tried no more often than this, however often a site would let it be.
const MAX_ATTEMPTS: u64 = 6;

/// An object that is empty by default.
fn object_or_empty<'a>(m: &'a Fields, key: &str, empty: &'a Fields) -> Result<&'a Fields> {
    match get(m, key) {
        None => Ok(empty),
        Some(v) => v.as_object().ok_or_else(|| wrong_type(key)),
    }
}

/// The settings, from the object that an instance is started with.
pub fn parse_settings(m: &Fields) -> Result<w::Settings> {
    let empty = Fields::new();
    let family = object_or_empty(m, "family-info", &empty)?;
    let limits = object_or_empty(m, "limits", &empty)?;
    let rule_fields = object_or_empty(m, "rules", &empty)?;
    let router_index = rank(m)?;
    let classes = classes(m, family)?;
    let kinds = list(m, "kinds")?;
    let zones = zones(m, family)?;
    let own_zone = text(m, "zone")?;
    let zone = zones
        .iter()
        .position(|z| z.name == own_zone)
        .unwrap_or(usize::MAX);
    let tenants = tenants(m)?;
    let telemetry = object_or_empty(m, "telemetry", &empty)?;
    Ok(w::Settings {
        router_index,
        classes,
        tenants,
        zones,
        zone,
        parent_kind: kind(family, kinds, "mid-kind")?,
        origin_kind: kind(family, kinds, "source-kind")?.unwrap_or_default(),
        polls_list: text_or(m, "discovery", "push")? == "ask",
        direct_to_upstream: flag(family, "may-pass-by")?,
        coalesces_fills: flag(family, "can-join")?,
        siblings: siblings(family)?,
        answer_detail: tells(family)?,
        load_reports: reports(telemetry)?,
        weights_known: matches!(text_or(m, "weights", "off")?.as_str(), "nominal" | "rough"),
        flow_kb_per_s: number_or(family, "one-flow-kb-per-s", 0.0)?,
        max_attempts: int_or(limits, "try-limit", 1)?.min(MAX_ATTEMPTS) as u32,
        hedged_requests: flag(limits, "second-copies")?,
        cancel: flag(limits, "cancel")?,
        probes: flag(limits, "probing")?,
        retry_after: flag(limits, "retry-after")?,
        max_retry_after_us: int_or(limits, "max-retry-after-us", 0)?,
        origin_overload_multiple: number_or(family, "origin-fall-multiple", 0.0)?,
        rules: rules(rule_fields, family)?,
    })
}

/// The rank of this instance in its group, where one is given; both keys are checked in any case.
fn rank(m: &Fields) -> Result<Option<u32>> {
    // Shares of what all proxies may do together are taken by these: nonsense here would be nonsense in all of them.
    let group = int_or(m, "group-size", u64::MAX)?;
    if group == 0 {
        return Err("field 'group-size' is 0: a group has this proxy at least".into());
    }
    let rank = int_or(m, "rank", 0)?;
    if rank >= group {
        return Err(format!(
            "field 'rank' is {rank}, outside a 'group-size' of {group}"
        ));
    }
    Ok(get(m, "rank").and(u32::try_from(rank).ok()))
}

/// The request classes, with what the family's lists say of each by its place.
fn classes(m: &Fields, family: &Fields) -> Result<Vec<w::Class>> {
    let mut classes = Vec::new();
    for (i, v) in list(m, "categories")?.iter().enumerate() {
        let c = v.as_object().ok_or_else(|| wrong_type("categories"))?;
        classes.push(class(c, family, i)?);
    }
    Ok(classes)
}

/// The request class at place `i`.
fn class(c: &Fields, family: &Fields, i: usize) -> Result<w::Class> {
    Ok(w::Class {
        name: text(c, "name")?,
        objective_us: int(c, "aim-us")?,
        objective_stretch: number_or(c, "aim-stretch", 0.0)?,
        deadline_us: int(c, "deadline-us")?,
        priority_weight: number_or(c, "worth", 1.0)?,
        late_weight: number_or(c, "late-worth", 0.0)?,
        repeat: match text_or(c, "repeat", "side_effect")?.as_str() {
            "pure" => w::Repeat::Safe,
            "token" => w::Repeat::Keyed,
            _ => w::Repeat::Unsafe,
        },
        dedup_scope: match text_or(c, "dedup-scope", "cell")?.as_str() {
            "all" => w::DedupScope::All,
            "zone" => w::DedupScope::Zone,
            _ => w::DedupScope::Cell,
        },
        dedup_window_us: int_or(c, "window-us", 0)?,
        streaming: flag(c, "streaming")?,
        multipart: list_item(family, "in-pieces", i, Value::as_bool)?.unwrap_or(false),
        write: list_item(family, "never-kept", i, Value::as_bool)?.unwrap_or(false),
        fresh_us: list_item(family, "good-for-us", i, as_int)?.unwrap_or(0),
        grace_us: list_item(family, "usable-after-us", i, as_int)?.unwrap_or(0),
        stale_weight: list_item(family, "old-copy-worth", i, Value::as_f64)?.unwrap_or(0.0),
    })
}

/// The name of the kind that a key of the family gives the place of; a negative place means none.
fn kind(family: &Fields, kinds: &[Value], key: &str) -> Result<Option<String>> {
    let place = number_or(family, key, -1.0)?;
    Ok((place >= 0.0)
        .then(|| kinds.get(place as usize)?.as_str().map(str::to_owned))
        .flatten())
}

/// The zones, with what the family's lists say of each by its place.
fn zones(m: &Fields, family: &Fields) -> Result<Vec<w::Zone>> {
    let mut zones = Vec::new();
    for (i, v) in list(m, "localities")?.iter().enumerate() {
        zones.push(w::Zone {
            name: v
                .as_str()
                .ok_or_else(|| wrong_type("localities"))?
                .to_owned(),
            routers: list_item(family, "seats-by-zone", i, as_int)?.unwrap_or(1) as u32,
            parent_zone: list_item(family, "attached-to", i, as_int)?.unwrap_or(0) as usize,
            link_kb_per_s: list_item(family, "zone-link-kb-per-s", i, Value::as_f64)?
                .unwrap_or(0.0),
        });
    }
    Ok(zones)
}

/// The tenants.
fn tenants(m: &Fields) -> Result<Vec<w::Tenant>> {
    let mut tenants = Vec::new();
    for v in list(m, "customers")? {
        let t = v.as_object().ok_or_else(|| wrong_type("customers"))?;
        tenants.push(w::Tenant {
            name: text(t, "name")?,
            quota_rps: number_or(t, "quota-rps", 0.0)?,
        });
    }
    Ok(tenants)
}

/// Which caches may be filled from each other.
fn siblings(family: &Fields) -> Result<w::Siblings> {
    Ok(match text_or(family, "neighbours", "off")?.as_str() {
        "location" => w::Siblings::Location,
        "any" => w::Siblings::Any,
        _ => w::Siblings::Off,
    })
}

/// Which answers tell how they were made.
fn tells(family: &Fields) -> Result<w::AnswerDetail> {
    Ok(match text_or(family, "note-level", "off")?.as_str() {
        "all" => w::AnswerDetail::All,
        "hit" => w::AnswerDetail::Hit,
        _ => w::AnswerDetail::Off,
    })
}

/// Where load reports come from.
fn reports(telemetry: &Fields) -> Result<w::LoadReports> {
    Ok(match text_or(telemetry, "source", "off")?.as_str() {
        "inline" => w::LoadReports::Answers,
        "on_probe" => w::LoadReports::Probes,
        _ => w::LoadReports::Off,
    })
}

/// The platform's rules for drains, cold starts and purges.
fn rules(rules: &Fields, family: &Fields) -> Result<w::Rules> {
    Ok(w::Rules {
        drain_grace_us: int_or(rules, "drain-grace-us", 0)?,
        slow_start_share: number_or(rules, "cold-share", 1.0)?,
        slow_start_us: int_or(rules, "ramp-time-us", 0)?,
        overload_multiple: number_or(rules, "fall-multiple", 1.0)?,
        overload_window_us: int_or(rules, "tip-after-us", 1)?,
        parent_slow_start_share: number_or(family, "parent-cold-from", 1.0)?,
        parent_slow_start_us: int_or(family, "upper-cold-us", 0)?,
        parent_overload_multiple: number_or(family, "upper-fall-multiple", 1.0)?,
        purge_grace_us: int_or(family, "purge-slack-us", 0)?,
        purge_completion_us: int_or(family, "purge-takes-us", 0)?,
        max_poll_age_us: int_or(rules, "ask-within-us", 0)?,
    })
}
