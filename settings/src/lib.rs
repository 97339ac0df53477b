//! Parses the settings of a router from JSON, for the simulator adapter and the daemon. Every error message names the
//! invalid key.

use linnetknot as router;
use serde_json::{Map, Value};

/// The fields of a JSON object.
pub type Fields = Map<String, Value>;
/// The result of a read. The error is a message that names the invalid key.
pub type Result<T> = std::result::Result<T, String>;

/// Returns the value of a key, or `None` if it is missing or null.
pub fn get<'a>(fields: &'a Fields, key: &str) -> Option<&'a Value> {
    fields.get(key).filter(|v| !v.is_null())
}

/// Returns the value of a key that is required.
pub fn required<'a>(fields: &'a Fields, key: &str) -> Result<&'a Value> {
    get(fields, key).ok_or_else(|| format!("field '{key}' is missing"))
}

/// Returns the error message for a value of the wrong type.
pub fn wrong_type(key: &str) -> String {
    format!("field '{key}' has the wrong type")
}

/// Returns a non-negative integer. A number with a fraction is rounded down.
pub fn as_int(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| {
        value
            .as_f64()
            .filter(|number| *number >= 0.0 && number.is_finite())
            .map(|number| number as u64)
    })
}

/// Returns a required integer.
pub fn int(fields: &Fields, key: &str) -> Result<u64> {
    as_int(required(fields, key)?).ok_or_else(|| wrong_type(key))
}

/// Returns an integer, or the default if the key is missing.
pub fn int_or(fields: &Fields, key: &str, default: u64) -> Result<u64> {
    get(fields, key).map_or(Ok(default), |v| as_int(v).ok_or_else(|| wrong_type(key)))
}

/// Returns a number, or the default if the key is missing.
pub fn number_or(fields: &Fields, key: &str, default: f64) -> Result<f64> {
    get(fields, key).map_or(Ok(default), |v| v.as_f64().ok_or_else(|| wrong_type(key)))
}

/// Returns a flag, or false if the key is missing.
pub fn flag(fields: &Fields, key: &str) -> Result<bool> {
    get(fields, key).map_or(Ok(false), |v| v.as_bool().ok_or_else(|| wrong_type(key)))
}

/// Returns a required string.
pub fn text(fields: &Fields, key: &str) -> Result<String> {
    required(fields, key)?
        .as_str()
        .map(str::to_owned)
        .ok_or_else(|| wrong_type(key))
}

/// Returns a string, or the default if the key is missing.
pub fn text_or(fields: &Fields, key: &str, default: &str) -> Result<String> {
    get(fields, key).map_or(Ok(default.to_owned()), |v| {
        v.as_str().map(str::to_owned).ok_or_else(|| wrong_type(key))
    })
}

/// Returns a name, or `None` if it is missing, null or 0.
pub fn optional_name(fields: &Fields, key: &str) -> Result<Option<String>> {
    match get(fields, key) {
        None => Ok(None),
        Some(Value::String(name)) => Ok(Some(name.clone())),
        Some(value) if value.as_f64() == Some(0.0) => Ok(None),
        Some(_) => Err(wrong_type(key)),
    }
}

/// Returns a list, or an empty one if the key is missing.
pub fn list<'a>(fields: &'a Fields, key: &str) -> Result<&'a [Value]> {
    get(fields, key).map_or(Ok(&[][..]), |v| {
        v.as_array()
            .map(Vec::as_slice)
            .ok_or_else(|| wrong_type(key))
    })
}

/// Returns a required object.
pub fn object<'a>(fields: &'a Fields, key: &str) -> Result<&'a Fields> {
    required(fields, key)?
        .as_object()
        .ok_or_else(|| wrong_type(key))
}

/// Returns one item of a list, or `None` if the list is shorter.
pub fn list_item<T>(
    fields: &Fields,
    key: &str,
    index: usize,
    convert: impl Fn(&Value) -> Option<T>,
) -> Result<Option<T>> {
    list(fields, key)?
        .get(index)
        .map(|value| convert(value).ok_or_else(|| wrong_type(key)))
        .transpose()
}

/// The upper bound of the attempts per request, even if the settings allow more.
const MAX_ATTEMPTS: u64 = 6;

/// Returns an object, or the given empty one if the key is missing.
fn object_or_empty<'a>(fields: &'a Fields, key: &str, empty: &'a Fields) -> Result<&'a Fields> {
    match get(fields, key) {
        None => Ok(empty),
        Some(value) => value.as_object().ok_or_else(|| wrong_type(key)),
    }
}

/// Parses the settings of a router.
pub fn parse_settings(fields: &Fields) -> Result<router::Settings> {
    let empty = Fields::new();
    let family = object_or_empty(fields, "family-info", &empty)?;
    let limits = object_or_empty(fields, "limits", &empty)?;
    let rule_fields = object_or_empty(fields, "rules", &empty)?;
    let router_index = rank(fields)?;
    let classes = classes(fields, family)?;
    let kinds = list(fields, "kinds")?;
    let zones = zones(fields, family)?;
    let own_zone = text(fields, "zone")?;
    let zone = zones
        .iter()
        .position(|zone| zone.name == own_zone)
        .unwrap_or(usize::MAX);
    let tenants = tenants(fields)?;
    let telemetry = object_or_empty(fields, "telemetry", &empty)?;
    Ok(router::Settings {
        router_index,
        classes,
        tenants,
        zones,
        zone,
        parent_kind: kind_name(family, kinds, "mid-kind")?,
        origin_kind: kind_name(family, kinds, "source-kind")?.unwrap_or_default(),
        polls_list: text_or(fields, "discovery", "push")? == "ask",
        direct_to_upstream: flag(family, "may-pass-by")?,
        coalesces_fills: flag(family, "can-join")?,
        siblings: siblings(family)?,
        answer_detail: answer_detail(family)?,
        load_reports: reports(telemetry)?,
        weights_known: matches!(
            text_or(fields, "weights", "off")?.as_str(),
            "nominal" | "rough"
        ),
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

/// Returns the rank of this router in its group, if the settings contain a rank. The rank and the size of the group are
/// both validated even if only one is given.
fn rank(fields: &Fields) -> Result<Option<u32>> {
    // Shares of fleet-wide limits are computed from both values, so invalid values must be rejected.
    let group_size = int_or(fields, "group-size", u64::MAX)?;
    if group_size == 0 {
        return Err("field 'group-size' is 0, but a group contains at least this proxy".into());
    }
    let rank = int_or(fields, "rank", 0)?;
    if rank >= group_size {
        return Err(format!(
            "field 'rank' is {rank}, which is not less than the 'group-size' of {group_size}"
        ));
    }
    Ok(get(fields, "rank").and(u32::try_from(rank).ok()))
}

/// Returns the request classes. Some of their fields are in lists in the `family` object, by the index of the class.
fn classes(fields: &Fields, family: &Fields) -> Result<Vec<router::Class>> {
    let mut classes = Vec::new();
    for (index, value) in list(fields, "categories")?.iter().enumerate() {
        let class_fields = value.as_object().ok_or_else(|| wrong_type("categories"))?;
        classes.push(class(class_fields, family, index)?);
    }
    Ok(classes)
}

/// Returns the request class with this index.
fn class(class_fields: &Fields, family: &Fields, index: usize) -> Result<router::Class> {
    Ok(router::Class {
        name: text(class_fields, "name")?,
        objective_us: int(class_fields, "aim-us")?,
        objective_stretch: number_or(class_fields, "aim-stretch", 0.0)?,
        deadline_us: int(class_fields, "deadline-us")?,
        priority_weight: number_or(class_fields, "worth", 1.0)?,
        late_weight: number_or(class_fields, "late-worth", 0.0)?,
        repeat: match text_or(class_fields, "repeat", "side_effect")?.as_str() {
            "pure" => router::Repeat::Safe,
            "token" => router::Repeat::Keyed,
            _ => router::Repeat::Unsafe,
        },
        dedup_scope: match text_or(class_fields, "dedup-scope", "cell")?.as_str() {
            "all" => router::DedupScope::All,
            "zone" => router::DedupScope::Zone,
            _ => router::DedupScope::Cell,
        },
        dedup_window_us: int_or(class_fields, "window-us", 0)?,
        streaming: flag(class_fields, "streaming")?,
        multipart: list_item(family, "in-pieces", index, Value::as_bool)?.unwrap_or(false),
        write: list_item(family, "never-kept", index, Value::as_bool)?.unwrap_or(false),
        fresh_us: list_item(family, "good-for-us", index, as_int)?.unwrap_or(0),
        grace_us: list_item(family, "usable-after-us", index, as_int)?.unwrap_or(0),
        stale_weight: list_item(family, "old-copy-worth", index, Value::as_f64)?.unwrap_or(0.0),
    })
}

/// Returns the name of the kind whose index a key of the `family` object contains, or `None` if the index is negative.
fn kind_name(family: &Fields, kinds: &[Value], key: &str) -> Result<Option<String>> {
    let index = number_or(family, key, -1.0)?;
    Ok((index >= 0.0)
        .then(|| kinds.get(index as usize)?.as_str().map(str::to_owned))
        .flatten())
}

/// Returns the zones. Some of their fields are in lists in the `family` object, by the index of the zone.
fn zones(fields: &Fields, family: &Fields) -> Result<Vec<router::Zone>> {
    let mut zones = Vec::new();
    for (index, value) in list(fields, "localities")?.iter().enumerate() {
        zones.push(router::Zone {
            name: value
                .as_str()
                .ok_or_else(|| wrong_type("localities"))?
                .to_owned(),
            routers: list_item(family, "seats-by-zone", index, as_int)?.unwrap_or(1) as u32,
            parent_zone: list_item(family, "attached-to", index, as_int)?.unwrap_or(0) as usize,
            link_kb_per_s: list_item(family, "zone-link-kb-per-s", index, Value::as_f64)?
                .unwrap_or(0.0),
        });
    }
    Ok(zones)
}

/// Returns the tenants.
fn tenants(fields: &Fields) -> Result<Vec<router::Tenant>> {
    let mut tenants = Vec::new();
    for value in list(fields, "customers")? {
        let tenant = value.as_object().ok_or_else(|| wrong_type("customers"))?;
        tenants.push(router::Tenant {
            name: text(tenant, "name")?,
            quota_rps: number_or(tenant, "quota-rps", 0.0)?,
        });
    }
    Ok(tenants)
}

/// Returns which caches may be filled from each other.
fn siblings(family: &Fields) -> Result<router::Siblings> {
    Ok(match text_or(family, "neighbours", "off")?.as_str() {
        "location" => router::Siblings::Location,
        "any" => router::Siblings::Any,
        _ => router::Siblings::Off,
    })
}

/// Returns which answers contain details of how they were produced.
fn answer_detail(family: &Fields) -> Result<router::AnswerDetail> {
    Ok(match text_or(family, "note-level", "off")?.as_str() {
        "all" => router::AnswerDetail::All,
        "hit" => router::AnswerDetail::Hit,
        _ => router::AnswerDetail::Off,
    })
}

/// Returns the source of load reports.
fn reports(telemetry: &Fields) -> Result<router::LoadReports> {
    Ok(match text_or(telemetry, "source", "off")?.as_str() {
        "inline" => router::LoadReports::Answers,
        "on_probe" => router::LoadReports::Probes,
        _ => router::LoadReports::Off,
    })
}

/// Returns the limits for drains, slow start, overload and purges that the deployment imposes on all routers.
fn rules(rules: &Fields, family: &Fields) -> Result<router::Rules> {
    Ok(router::Rules {
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
