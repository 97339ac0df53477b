//! Parses the CGI parameters of a request.

use crate::core::ClientRequest;
use crate::limits::Limits;
use crate::wire::fastcgi::read_pairs;
use crate::wire::WireError;
use std::fmt;

/// The highest number of a group of objects.
const MAX_GROUP: u64 = 255;
/// The number of hexadecimal digits of a request id, an object key and a tag.
const KEY_DIGITS: usize = 16;
/// The number of hexadecimal digits of an idempotency key.
const IDEMPOTENCY_KEY_DIGITS: usize = 32;
/// The prefix of the paths of requests for content.
const CONTENT_PREFIX: &str = "/invoke/";

/// A parameter that is missing or invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InvalidParameter(&'static str);

impl fmt::Display for InvalidParameter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// The names of the parameters that are used.
const USED_NAMES: [&str; 10] = [
    "CONTENT_LENGTH",
    "HTTP_BUDGET_MS",
    "HTTP_FOOTPRINT_KB",
    "HTTP_ONCE_KEY",
    "HTTP_REQUEST_ID",
    "HTTP_RESOURCE_KEY",
    "HTTP_X_LOT",
    "HTTP_X_PIECE",
    "HTTP_X_VER",
    "SCRIPT_NAME",
];

/// The CGI parameters of a request that are used, each with its first value.
pub(super) struct Parameters<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Parameters<'a> {
    /// Parses a complete parameter stream.
    ///
    /// # Errors
    /// Fails if the stream is malformed.
    pub(super) fn parse(stream: &'a [u8]) -> Result<Self, WireError> {
        let mut used: Vec<(&str, &str)> = Vec::with_capacity(USED_NAMES.len());
        for pair in read_pairs(stream) {
            let (name, value) = pair?;
            if USED_NAMES.contains(&name) && used.iter().all(|(known, _)| *known != name) {
                used.push((name, value));
            }
        }
        Ok(Parameters(used))
    }

    /// Returns the path of the request; empty if there is none.
    pub(super) fn path(&self) -> &str {
        self.get("SCRIPT_NAME").unwrap_or("")
    }

    /// Whether the request is for content.
    pub(super) fn is_for_content(&self) -> bool {
        self.path().starts_with(CONTENT_PREFIX)
    }

    /// Returns the request for the core. Invalid parameters are rejected and not replaced by defaults: a cache that
    /// receives malformed values closes the connection with all its attempts, and the decision module bases its
    /// estimates on the values.
    ///
    /// # Errors
    /// Fails with the parameter that is missing or invalid.
    pub(super) fn read(
        &self,
        body: Vec<u8>,
        limits: &Limits,
    ) -> Result<ClientRequest, InvalidParameter> {
        let size_kb = self.size_kb(limits)?;
        self.check_content_length(body.len())?;
        let remaining_ms = self
            .number("HTTP_BUDGET_MS", limits.max_request_budget_us / 1000)?
            .filter(|ms| *ms > 0);
        Ok(ClientRequest {
            id: self.required_digits("HTTP_REQUEST_ID")?,
            class: self.class()?,
            object: self.required_digits("HTTP_RESOURCE_KEY")?,
            part: self.number("HTTP_X_PIECE", limits.max_part)?.unwrap_or(0),
            group: self.number("HTTP_X_LOT", MAX_GROUP)?.unwrap_or(0),
            size_kb,
            remaining_us: remaining_ms.ok_or(InvalidParameter("HTTP_BUDGET_MS"))? * 1000,
            idempotency_key: self.digits("HTTP_ONCE_KEY", IDEMPOTENCY_KEY_DIGITS)?,
            cached_tag: self.digits("HTTP_X_VER", KEY_DIGITS)?,
            body,
        })
    }

    /// Returns the value of a parameter; `None` if it is missing or empty.
    fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, value)| *value)
            .filter(|value| !value.is_empty())
    }

    /// Returns the value of a parameter, which must consist of `count` hexadecimal digits; `None` if it is missing or
    /// empty.
    fn digits(&self, name: &'static str, count: usize) -> Result<Option<String>, InvalidParameter> {
        match self.get(name) {
            Some(value) if !is_hex(value, count) => Err(InvalidParameter(name)),
            value => Ok(value.map(str::to_owned)),
        }
    }

    /// Returns the value of a required parameter, which must consist of `KEY_DIGITS` hexadecimal digits.
    fn required_digits(&self, name: &'static str) -> Result<String, InvalidParameter> {
        self.digits(name, KEY_DIGITS)?.ok_or(InvalidParameter(name))
    }

    /// Returns the value of a parameter, which must be a decimal number of up to `max`; `None` if it is missing or
    /// empty.
    fn number(&self, name: &'static str, max: u64) -> Result<Option<u64>, InvalidParameter> {
        let Some(value) = self.get(name) else {
            return Ok(None);
        };
        if !value.bytes().all(|b| b.is_ascii_digit()) {
            return Err(InvalidParameter(name));
        }
        let number = value.parse::<u64>().ok().filter(|number| *number <= max);
        number.map(Some).ok_or(InvalidParameter(name))
    }

    /// Returns the size of the part in KB; 0 if it is not given.
    fn size_kb(&self, limits: &Limits) -> Result<f64, InvalidParameter> {
        const NAME: &str = "HTTP_FOOTPRINT_KB";
        match self.get(NAME).map(str::parse::<f64>) {
            None => Ok(0.0),
            Some(Ok(kb)) if kb >= 0.0 && kb <= limits.max_size_kb => Ok(kb),
            Some(_) => Err(InvalidParameter(NAME)),
        }
    }

    /// Returns the name of the class, which is part of the path.
    fn class(&self) -> Result<String, InvalidParameter> {
        self.path()
            .strip_prefix(CONTENT_PREFIX)
            .filter(|class| is_class_name(class))
            .map(str::to_owned)
            .ok_or(InvalidParameter("SCRIPT_NAME"))
    }

    /// Checks that the body has the announced length.
    fn check_content_length(&self, length: usize) -> Result<(), InvalidParameter> {
        const NAME: &str = "CONTENT_LENGTH";
        match self.number(NAME, u64::MAX)? {
            Some(announced) if announced != length as u64 => Err(InvalidParameter(NAME)),
            _ => Ok(()),
        }
    }
}

/// Whether a text consists of this number of hexadecimal digits.
fn is_hex(text: &str, digits: usize) -> bool {
    text.len() == digits && text.bytes().all(|b| b.is_ascii_hexdigit())
}

/// Whether a text may be the name of a class.
fn is_class_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !text.is_empty() && text.bytes().all(is_allowed)
}
