//! Queries the admin listener of a running proxy.

use super::Status;
use crate::budgets;
use crate::wire::http::{write_message, MessageParser, Piece};
use crate::wire::Parser;
use serde::de::DeserializeOwned;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The maximum time for connecting, and the maximum time for receiving the whole response.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum size of a response of the admin listener, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// The size of the buffer for one read from the connection, in bytes.
const READ_BYTES: usize = 4096;

/// An error of a query to the admin listener.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// The admin listener can't be reached, or the connection broke.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The response did not arrive within the timeout, or exceeds the maximum size.
    #[error("the response of the admin listener is too slow or too long")]
    Endless,
    /// The connection was closed before the response was complete.
    #[error("the response of the admin listener is truncated")]
    Truncated,
    /// The response is not HTTP.
    #[error("the response of the admin listener is malformed: {0}")]
    Malformed(String),
    /// The body of the response is not the JSON of a status.
    #[error("the response of the admin listener is not a status: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The queried feature is not enabled at the proxy.
    #[error("{0}")]
    NotFound(&'static str),
    /// The status code is neither 200 nor 404.
    #[error("the admin listener responded with status code {0:?}")]
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

/// Queries the replication status of a proxy.
///
/// # Errors
/// Fails if the admin listener can't be reached, replication is off, or the response can't be read.
pub fn query_status(admin: SocketAddr) -> Result<Status, StatusError> {
    query(
        admin,
        "/control/fleet",
        "replication is off at this proxy ('peers.copies')",
    )
}

/// Queries the status of the budgets of a proxy.
///
/// # Errors
/// Fails for the same reasons as `query_status`, and if no budgets are shared.
pub fn query_budgets(admin: SocketAddr) -> Result<budgets::Status, StatusError> {
    query(
        admin,
        "/control/budgets",
        "no budget is shared at this proxy ('budgets')",
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
    // The timeout applies to the whole response and not to each read, because a server that is not a proxy may send
    // small parts without end.
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
