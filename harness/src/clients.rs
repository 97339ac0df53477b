//! Clients for tests: a web server that speaks FastCGI, an HTTP client, and the HTTP interface of a peer CDN.

use linnetknot_daemon::wire::fastcgi::{self, kind, RecordParser};
use linnetknot_daemon::wire::http::{write_message, Head, MessageParser, Piece};
use linnetknot_daemon::wire::Parser;
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Timeout of each wait for a response.
pub const TIMEOUT: Duration = Duration::from_secs(10);

fn invalid_data(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message.to_owned())
}

/// The response of a proxy to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers as pairs of lowercase name and value.
    pub headers: Vec<(String, String)>,
    /// The complete response body.
    pub body: Vec<u8>,
    /// Whether the connection carried further bytes after the response.
    pub surplus: bool,
}

impl Answer {
    /// Returns the value of a header; `name` must be in lowercase.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    /// Returns the time at which the fake origin made the copy in the body, in Unix milliseconds.
    pub fn made(&self) -> Option<u64> {
        std::str::from_utf8(&self.body)
            .ok()?
            .rsplit_once('@')?
            .1
            .parse()
            .ok()
    }
}

/// The FastCGI connection of a web server to a proxy.
pub struct WebServer {
    socket: TcpStream,
    records: RecordParser,
    input: Vec<u8>,
    answers: HashMap<u16, Vec<u8>>,
}

impl WebServer {
    /// Connects to a proxy.
    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        let socket = TcpStream::connect(to)?;
        socket.set_read_timeout(Some(TIMEOUT))?;
        Ok(WebServer {
            socket,
            records: RecordParser::default(),
            input: Vec::new(),
            answers: HashMap::new(),
        })
    }

    /// Encodes a request as FastCGI records.
    pub fn request(id: u16, path: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
        let (mut out, mut params) = (Vec::new(), Vec::new());
        fastcgi::write_record(
            &mut out,
            kind::BEGIN,
            id,
            &[0, 1, fastcgi::KEEP_CONN, 0, 0, 0, 0, 0],
        );
        fastcgi::write_pair(&mut params, "SCRIPT_NAME", path);
        fields
            .iter()
            .for_each(|(name, value)| fastcgi::write_pair(&mut params, name, value));
        fastcgi::write_record(&mut out, kind::PARAMS, id, &params);
        fastcgi::write_record(&mut out, kind::PARAMS, id, &[]);
        if !body.is_empty() {
            fastcgi::write_record(&mut out, kind::STDIN, id, body);
        }
        fastcgi::write_record(&mut out, kind::STDIN, id, &[]);
        out
    }

    /// Returns a clone of the socket, to write to it while another thread waits for responses.
    pub fn writer(&self) -> io::Result<TcpStream> {
        self.socket.try_clone()
    }

    /// Sends bytes unchanged, so that a test can send invalid records.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }

    /// Sends a request of a class for an object. Requests of the class `post` have a body and a deduplication key.
    pub fn ask(&mut self, id: u16, class: &str, object: &str, budget_ms: u64) -> io::Result<()> {
        self.send(&Self::request_for(id, class, object, budget_ms))
    }

    /// Sends several requests of a class for an object with one write.
    pub fn ask_all(
        &mut self,
        ids: impl IntoIterator<Item = u16>,
        class: &str,
        object: &str,
        budget_ms: u64,
    ) -> io::Result<()> {
        let requests = ids
            .into_iter()
            .flat_map(|id| Self::request_for(id, class, object, budget_ms));
        self.send(&requests.collect::<Vec<u8>>())
    }

    /// Encodes a request with a new `Request-Id`.
    fn request_for(id: u16, class: &str, object: &str, budget_ms: u64) -> Vec<u8> {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let (name, budget) = (format!("{number:016x}"), budget_ms.to_string());
        let fields = [
            ("HTTP_REQUEST_ID", name.as_str()),
            ("HTTP_RESOURCE_KEY", object),
            ("HTTP_BUDGET_MS", &budget),
            ("HTTP_FOOTPRINT_KB", "40"),
            ("HTTP_ONCE_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
        ];
        let fields = if class == "post" {
            &fields[..]
        } else {
            &fields[..4]
        };
        let body: &[u8] = if class == "post" { b"a comment" } else { b"" };
        Self::request(id, &format!("/invoke/{class}"), fields, body)
    }

    /// Aborts a request.
    pub fn abort(&mut self, id: u16) -> io::Result<()> {
        let mut out = Vec::new();
        fastcgi::write_record(&mut out, kind::ABORT, id, &[]);
        self.send(&out)
    }

    /// Waits until any request ends. Returns the request's id and response; an aborted request may have no response.
    pub fn end(&mut self) -> io::Result<(u16, Option<Answer>)> {
        loop {
            let (taken, record) = self
                .records
                .parse(&self.input)
                .map_err(|e| invalid_data(&e.to_string()))?;
            self.input.drain(..taken);
            match record {
                Some(r) if r.kind == kind::STDOUT => {
                    self.answers.entry(r.id).or_default().extend(r.content);
                }
                Some(r) if r.kind == kind::END => {
                    let answer = self
                        .answers
                        .remove(&r.id)
                        .map(|bytes| parse_cgi_response(&bytes))
                        .transpose()?;
                    return Ok((r.id, answer));
                }
                Some(_) => {}
                None => {
                    let mut bytes = [0; 4096];
                    let got = self.socket.read(&mut bytes)?;
                    if got == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                    self.input.extend_from_slice(&bytes[..got]);
                }
            }
        }
    }
}

fn parse_cgi_response(bytes: &[u8]) -> io::Result<Answer> {
    let at = bytes
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .ok_or_else(|| invalid_data("CGI response without an end of headers"))?;
    let head = String::from_utf8_lossy(&bytes[..at]).into_owned();
    let pairs = head.lines().filter_map(|l| l.split_once(": "));
    let headers: Vec<_> = pairs
        .map(|(n, v)| (n.to_lowercase(), v.to_owned()))
        .collect();
    let status = headers
        .iter()
        .find(|(n, _)| n == "status")
        .and_then(|(_, v)| v.split(' ').next()?.parse().ok());
    let status = status.ok_or_else(|| invalid_data("CGI response without a status"))?;
    Ok(Answer {
        status,
        headers,
        body: bytes[at + 4..].to_vec(),
        surplus: false,
    })
}

/// An HTTP message that was read up to its end.
struct Received {
    head: Head,
    body: Vec<u8>,
    /// Whether further bytes followed the message.
    surplus: bool,
}

/// Reads one message. With `until_close` it reads on until the other side closes the connection, to detect surplus
/// bytes.
fn receive(
    socket: &mut TcpStream,
    messages: &mut MessageParser,
    until_close: bool,
) -> io::Result<Received> {
    let (mut input, mut head, mut body) = (Vec::new(), None, Vec::new());
    let (mut is_complete, mut surplus) = (false, false);
    // Limits the whole message rather than each read: the address may have been reused by a server that sends
    // endlessly.
    let started = Instant::now();
    loop {
        let (taken, piece) = messages
            .parse(&input)
            .map_err(|e| invalid_data(&e.to_string()))?;
        input.drain(..taken);
        match piece {
            Some(_) if is_complete => surplus = true,
            Some(Piece::Head(h)) => head = Some(h),
            Some(Piece::Body(bytes)) => body.extend(bytes),
            Some(Piece::End) => is_complete = true,
            None if started.elapsed() > TIMEOUT => return Err(io::ErrorKind::TimedOut.into()),
            None => {
                let mut bytes = [0; 4096];
                let got = if is_complete && !until_close {
                    0
                } else {
                    socket.read(&mut bytes)?
                };
                if got == 0 {
                    let head = head.filter(|_| is_complete);
                    let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
                    return Ok(Received {
                        head,
                        body,
                        surplus,
                    });
                }
                surplus |= is_complete;
                input.extend_from_slice(&bytes[..got]);
            }
        }
    }
}

/// Polls a condition until it holds or the timeout has passed. Returns whether the condition holds.
pub fn poll_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() >= timeout {
            return false;
        }
        // Leaves the CPU to the processes under test.
        thread::sleep(Duration::from_millis(2));
    }
    true
}

/// Sends an HTTP request on a new connection and returns the response, after which the server closes the connection.
pub fn call(to: SocketAddr, method: &str, target: &str, body: &str) -> io::Result<Answer> {
    let mut out = Vec::new();
    let headers = [("Host", "localhost"), ("Connection", "close")];
    write_message(
        &mut out,
        &format!("{method} {target} HTTP/1.1"),
        &headers,
        body.as_bytes(),
    );
    exchange(to, &out)
}

/// Sends raw bytes on a new connection and reads one HTTP response.
pub fn exchange(to: SocketAddr, bytes: &[u8]) -> io::Result<Answer> {
    let mut socket = TcpStream::connect(to)?;
    socket.set_read_timeout(Some(TIMEOUT))?;
    socket.write_all(bytes)?;
    let mut messages = MessageParser::responses(1 << 16, 1 << 20);
    let Received {
        head,
        body,
        surplus,
    } = receive(&mut socket, &mut messages, true)?;
    let status = head
        .status()
        .ok_or_else(|| invalid_data("HTTP response without a status"))?;
    Ok(Answer {
        status,
        headers: head.headers,
        body,
        surplus,
    })
}

/// A request received by the HTTP interface of a peer CDN.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRequest {
    /// Request target: the path and the query.
    pub target: String,
    /// Body of the request.
    pub body: String,
}

/// A fake HTTP interface of a peer CDN.
pub struct PeerCdn {
    /// Address of the listener.
    pub address: SocketAddr,
    /// Receives each request after the interface has answered it with 201.
    pub requests: mpsc::Receiver<PeerRequest>,
}

impl PeerCdn {
    /// Starts the listener on a free port.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (sender, requests) = mpsc::channel();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let Ok(request) = serve_peer(socket) else {
                    continue;
                };
                if sender.send(request).is_err() {
                    return;
                }
            }
        });
        Ok(PeerCdn { address, requests })
    }
}

/// Reads one request and answers it with 201.
fn serve_peer(mut socket: TcpStream) -> io::Result<PeerRequest> {
    let mut messages = MessageParser::requests(1 << 16, 1 << 20);
    let Received { head, body, .. } = receive(&mut socket, &mut messages, false)?;
    let _ = socket.write_all(b"HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n");
    let target = head.request().map(|(_, target)| target.to_owned());
    Ok(PeerRequest {
        target: target.unwrap_or_default(),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}
