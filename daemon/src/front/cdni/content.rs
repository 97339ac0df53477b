//! Content URLs, and their conversion to requests for the core.

use crate::core::ClientRequest;
use crate::wire::http::Head;
use linnetknot::Micros;

/// The number of hexadecimal digits of an object key.
const OBJECT_DIGITS: usize = 16;

/// The path of a content URL.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContentPath<'a> {
    /// The name of the class that contains the object.
    pub class: &'a str,
    /// The key of the object.
    pub object: &'a str,
    /// The number of the part of the object.
    pub part: u64,
}

impl<'a> ContentPath<'a> {
    /// Parses the path of a content URL: `/content/CLASS/OBJECT` or `/content/CLASS/OBJECT/PART`.
    pub fn read(path: &'a str) -> Option<Self> {
        let path = path.split('?').next()?;
        let mut segments = path.strip_prefix("/content/")?.split('/');
        let class = segments.next()?;
        let object = segments.next()?;
        let part = segments.next().map_or(Some(0), |part| part.parse().ok())?;
        let is_content = is_class_name(class) && is_object_key(object) && segments.next().is_none();
        is_content.then_some(ContentPath {
            class,
            object,
            part,
        })
    }
}

fn is_class_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !text.is_empty() && text.bytes().all(is_allowed)
}

fn is_object_key(text: &str) -> bool {
    let is_digit = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
    text.len() == OBJECT_DIGITS && text.bytes().all(is_digit)
}

/// Returns the path of a URL, which may be absolute.
pub(super) fn path_of(url: &str) -> &str {
    let rest = url
        .strip_prefix("http://")
        .or_else(|| url.strip_prefix("https://"));
    rest.map_or(url, |rest| rest.find('/').map_or("/", |at| &rest[at..]))
}

/// Whether the target of a request is the status of a trigger.
pub fn is_trigger(target: &str) -> bool {
    path_of(target).starts_with("/cdni/triggers/")
}

/// Converts an HTTP request to a request for the core with this id. Malformed values in the query are ignored.
pub(super) fn content_request(
    id: String,
    content: ContentPath<'_>,
    remaining_us: Micros,
    head: &Head,
    target: &str,
) -> ClientRequest {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let value = |name: &str| {
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    };
    let size_kb = value("kb")
        .and_then(|kb| kb.parse().ok())
        .filter(|kb: &f64| kb.is_finite() && *kb >= 0.0);
    ClientRequest {
        id,
        class: content.class.to_owned(),
        object: content.object.to_owned(),
        part: content.part,
        group: value("lot").and_then(|lot| lot.parse().ok()).unwrap_or(0),
        size_kb: size_kb.unwrap_or(0.0),
        remaining_us,
        cached_tag: cached_tag(head),
        ..ClientRequest::default()
    }
}

/// Returns the entity tag of the copy that the client has cached (`If-None-Match`), if any.
fn cached_tag(head: &Head) -> Option<String> {
    let header = head.header("if-none-match")?;
    let tag = header.trim_start_matches("W/").trim_matches('"');
    let is_tag = !tag.is_empty() && tag.bytes().all(|b| b.is_ascii_alphanumeric());
    is_tag.then(|| tag.to_owned())
}
