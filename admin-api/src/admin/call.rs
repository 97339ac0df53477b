//! The calls of the admin API, and why a request is none.

/// The longest id of a pop cache, in bytes.
pub const MAX_POP_CACHE_ID_BYTES: usize = 128;

/// The path under which pop caches are named.
const POP_CACHES: &str = "/control/pop-caches/";

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// `GET /control/ready`: whether the process is ready to serve.
    Ready,
    /// `POST /control/pop-caches/ID/offline`: send nothing more to that pop cache.
    Offline(String),
    /// `POST /control/pop-caches/ID/online`: use it again.
    Online(String),
    /// `POST /control/out-of-service`: drain.
    OutOfService,
    /// `POST /control/in-service`: end draining.
    InService,
    /// `GET /control/fleet`: the status of replication, commits and membership.
    Fleet,
    /// `GET /control/budgets`: the status of this proxy's leases of the shared budgets.
    Budgets,
}

/// Why a request is rejected. Its connection ends after a response with the status of [`CallError::status`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The request line is over [`MAX_REQUEST_LINE_BYTES`](super::MAX_REQUEST_LINE_BYTES).
    #[error("the request line is too long")]
    LineTooLong,
    /// The head is over [`MAX_HEAD_BYTES`](super::MAX_HEAD_BYTES), or has more than [`MAX_HEADERS`](super::MAX_HEADERS) headers.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The bytes are no HTTP/1.x request.
    #[error("not an HTTP request")]
    Malformed,
    /// The version is neither HTTP/1.0 nor HTTP/1.1.
    #[error("not HTTP/1.0 or HTTP/1.1")]
    UnsupportedVersion,
    /// The path does not take this method.
    #[error("the method does not fit the path")]
    MethodNotAllowed,
    /// The path is no call, or the id can't be one.
    #[error("no such call")]
    NotFound,
    /// There is a body, or a header that announces one: no call has any.
    #[error("a call has no body")]
    UnexpectedBody,
    /// The connection ended before the request was complete.
    #[error("the call was cut off")]
    Truncated,
}

impl CallError {
    /// Returns the status of the response.
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

/// Whether an id can name a pop cache: letters, digits and `-._:`.
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
    // As HTTP has it, HEAD is allowed wherever GET is.
    if method == expected || (expected == "GET" && method == "HEAD") {
        Ok(call)
    } else {
        Err(CallError::MethodNotAllowed)
    }
}

/// Returns the call of a path that names a pop cache.
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
