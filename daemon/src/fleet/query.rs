//! Reads a status from the admin listener of a running proxy.

use super::Status;
use crate::budgets;
use crate::wire::http::{write_message, MessageParser, Piece};
use crate::wire::Parser;
use serde::de::DeserializeOwned;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long a call to the admin listener may take.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes of a response that are read.
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// Bytes that one read takes.
const READ_BYTES: usize = 4096;

/// Why a status can't be had.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// The admin listener can't be reached, or the connection to it broke.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The response does not end in time, or is too long.
    #[error("the admin listener's answer does not end")]
    Endless,
    /// The connection was closed before the response was complete.
    #[error("the admin listener's answer is cut off")]
    Truncated,
    /// The response is no HTTP.
    #[error("the admin listener's answer: {0}")]
    Malformed(String),
    /// The body is no status.
    #[error("the admin listener's answer can't be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The proxy does not have what is queried.
    #[error("{0}")]
    NotFound(&'static str),
    /// Another status code than 200 and 404.
    #[error("the admin listener answered {0:?}")]
    Rejected(Option<u16>),
}

impl From<StatusError> for io::Error {
    fn from(error: StatusError) -> Self {
        match error {
            StatusError::Io(error) => error,
            StatusError::Endless => io::Error::new(io::ErrorKind::TimedOut, error),
            error => io::Error::new(io::ErrorKind::InvalidData, error),
        }
    }
}

/// Returns the replication status of a proxy, from its admin listener.
///
/// # Errors
/// Where the admin listener can't be reached, replicates nothing, or its response can't be read.
pub fn query_status(admin: SocketAddr) -> Result<Status, StatusError> {
    query(
        admin,
        "/control/fleet",
        "this proxy makes no copies ('peers.copies')",
    )
}

/// Returns the status of the budgets of a proxy, from its admin listener.
///
/// # Errors
/// As `ask`; the admin listener has no status where no budget is shared.
pub fn query_budgets(admin: SocketAddr) -> Result<budgets::Status, StatusError> {
    query(
        admin,
        "/control/budgets",
        "this proxy shares nothing with others ('budgets')",
    )
}

fn query<T: DeserializeOwned>(
    admin: SocketAddr,
    path: &str,
    not_found: &'static str,
) -> Result<T, StatusError> {
    let mut socket = TcpStream::connect_timeout(&admin, TIMEOUT)?;
    socket.set_read_timeout(Some(TIMEOUT))?;
    socket.set_write_timeout(Some(TIMEOUT))?;
    let mut request = Vec::new();
    let headers = [("Host", "admin listener"), ("Connection", "close")];
    write_message(&mut request, &format!("GET {path} HTTP/1.1"), &headers, b"");
    socket.write_all(&request)?;
    let response = read_response(&mut socket)?;
    match response.status {
        Some(200) => Ok(serde_json::from_slice(&response.body)?),
        Some(404) => Err(StatusError::NotFound(not_found)),
        status => Err(StatusError::Rejected(status)),
    }
}

struct Response {
    status: Option<u16>,
    body: Vec<u8>,
}

fn read_response(socket: &mut TcpStream) -> Result<Response, StatusError> {
    let mut messages = MessageParser::responses(MAX_RESPONSE_BYTES, MAX_RESPONSE_BYTES);
    let mut input = Vec::new();
    let mut response = Response {
        status: None,
        body: Vec::new(),
    };
    // The time is bounded for the whole response and not for one read: another server may listen there by now, one that
    // sends a little for ever.
    let begun = Instant::now();
    loop {
        let (taken, piece) = messages
            .parse(&input)
            .map_err(|e| StatusError::Malformed(e.to_string()))?;
        input.drain(..taken);
        match piece {
            Some(Piece::Head(head)) => response.status = head.status(),
            Some(Piece::Body(bytes)) => response.body.extend(bytes),
            Some(Piece::End) => return Ok(response),
            None if begun.elapsed() >= TIMEOUT || response.body.len() > MAX_RESPONSE_BYTES => {
                return Err(StatusError::Endless);
            }
            None => {
                let mut bytes = [0; READ_BYTES];
                match socket.read(&mut bytes)? {
                    0 => return Err(StatusError::Truncated),
                    read => input.extend_from_slice(&bytes[..read]),
                }
            }
        }
    }
}
