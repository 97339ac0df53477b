//! The calls of the admin API, and the errors of rejected requests.

/// Maximum length of the id of a pop cache.
pub const MAX_POP_CACHE_ID_BYTES: usize = 128;

/// Path prefix of the calls on a pop cache.
const POP_CACHES: &str = "/control/pop-caches/";

/// A call to the admin API, as parsed from the method and the path of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// `GET /control/ready`: responds whether the process is ready to serve requests.
    Ready,
    /// `POST /control/pop-caches/ID/offline`: bans a pop cache.
    Offline(String),
    /// `POST /control/pop-caches/ID/online`: lifts the ban of a pop cache.
    Online(String),
    /// `POST /control/out-of-service`: begins to drain the process of its client connections.
    OutOfService,
    /// `POST /control/in-service`: ends the drain.
    InService,
    /// `GET /control/fleet`: returns the status of replication, commits and membership.
    Fleet,
    /// `GET /control/budgets`: returns the status of this proxy's leases of the shared budgets.
    Budgets,
}

impl Call {
    /// Returns whether the call may change the state that operators set.
    pub fn changes_state(&self) -> bool {
        match self {
            Call::Offline(_) | Call::Online(_) | Call::OutOfService | Call::InService => true,
            Call::Ready | Call::Fleet | Call::Budgets => false,
        }
    }
}

/// The error of a rejected request. The connection is closed after a response with the status of [`CallError::status`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The request line exceeds [`MAX_REQUEST_LINE_BYTES`](super::MAX_REQUEST_LINE_BYTES).
    #[error("the request line is too long")]
    LineTooLong,
    /// The head exceeds [`MAX_HEAD_BYTES`](super::MAX_HEAD_BYTES), or has more than [`MAX_HEADERS`](super::MAX_HEADERS)
    /// headers.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The bytes are not an HTTP/1.x request.
    #[error("not an HTTP request")]
    Malformed,
    /// The version is neither HTTP/1.0 nor HTTP/1.1.
    #[error("not HTTP/1.0 or HTTP/1.1")]
    UnsupportedVersion,
    /// The path does not support the method.
    #[error("the method does not fit the path")]
    MethodNotAllowed,
    /// The path is unknown, or the id of the pop cache is invalid.
    #[error("no such call")]
    NotFound,
    /// The request has a body, or a header that announces one. No call has a body.
    #[error("a call has no body")]
    UnexpectedBody,
    /// The connection was closed before the request was complete.
    #[error("the call was cut off")]
    Truncated,
}

impl CallError {
    /// Returns the HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            CallError::LineTooLong => 414,
            CallError::HeadTooLarge => 431,
            CallError::MethodNotAllowed => 405,
            CallError::NotFound => 404,
            CallError::UnexpectedBody => 413,
            CallError::Malformed | CallError::UnsupportedVersion | CallError::Truncated => 400,
        }
    }
}

/// Returns whether the id of a pop cache is valid: it consists of letters, digits and `-._:`.
fn is_id(id: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._:".contains(&byte);
    !id.is_empty() && id.len() <= MAX_POP_CACHE_ID_BYTES && id.bytes().all(is_allowed)
}

/// Returns the call of a method and a path.
pub(super) fn route(method: &str, path: &str) -> Result<Call, CallError> {
    let (expected, call) = match path {
        "/control/ready" => ("GET", Call::Ready),
        "/control/out-of-service" => ("POST", Call::OutOfService),
        "/control/in-service" => ("POST", Call::InService),
        "/control/fleet" => ("GET", Call::Fleet),
        "/control/budgets" => ("GET", Call::Budgets),
        _ => ("POST", pop_cache_call(path)?),
    };
    // HTTP requires a resource that allows GET to allow HEAD too.
    if method == expected || (expected == "GET" && method == "HEAD") {
        Ok(call)
    } else {
        Err(CallError::MethodNotAllowed)
    }
}

/// Returns the call of a path with the id of a pop cache.
fn pop_cache_call(path: &str) -> Result<Call, CallError> {
    let rest = path.strip_prefix(POP_CACHES).ok_or(CallError::NotFound)?;
    let (id, verb) = rest.rsplit_once('/').ok_or(CallError::NotFound)?;
    if !is_id(id) {
        return Err(CallError::NotFound);
    }
    match verb {
        "offline" => Ok(Call::Offline(id.to_owned())),
        "online" => Ok(Call::Online(id.to_owned())),
        _ => Err(CallError::NotFound),
    }
}
