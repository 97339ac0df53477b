//! The readers of the clients' connections, which record answers and schedule retries of refused requests.

use crate::fakes::site_server::verified_copy_time_ms;
use crate::load::Arrival;
use crate::record::{Answered, FinalAnswer, Micros};
use linnetknot_harness::clients::{Answer, WebServer};
use linnetknot_harness::time::unix_us;
use std::collections::HashMap;
use std::io;
use std::sync::mpsc::Sender;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The maximum number of retries of a refused request.
const MAX_RETRIES: u32 = 2;
/// The delay before a retry if the refusal names no retry delay.
const DEFAULT_RETRY_MS: u64 = 200;

/// A request of a client with its retry number.
#[derive(Clone)]
pub(super) struct ClientRequest {
    pub(super) arrival: Arrival,
    /// The id of the first request in the series of retries; empty if the request is not a retry.
    pub(super) first_id: String,
    pub(super) retry: u32,
}

impl ClientRequest {
    /// Returns the first request for a planned arrival.
    pub(super) fn first(arrival: &Arrival) -> Self {
        ClientRequest {
            arrival: arrival.clone(),
            first_id: String::new(),
            retry: 0,
        }
    }
}

/// A scheduled retry.
pub(super) struct Retry {
    pub(super) at: Micros,
    pub(super) request: ClientRequest,
}

/// The clients' record of sent requests and answers.
#[derive(Default)]
pub(super) struct ClientRecord {
    pub(super) answered: Vec<Answered>,
    /// The sent requests by id.
    pub(super) sent: HashMap<String, ClientRequest>,
}

/// The state that the readers of answers share with the load generator.
pub(super) struct Clients {
    record: Mutex<ClientRecord>,
    retries: Sender<Retry>,
}

/// The ids of the requests that are open on one connection, by FastCGI request number.
#[derive(Default)]
pub(super) struct OpenRequests(Mutex<HashMap<u16, String>>);

impl OpenRequests {
    fn lock(&self) -> MutexGuard<'_, HashMap<u16, String>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn len(&self) -> usize {
        self.lock().len()
    }

    pub(super) fn ids(&self) -> Vec<String> {
        self.lock().values().cloned().collect()
    }

    /// Adds a request under the lowest free number.
    pub(super) fn insert(&self, id: String) -> u16 {
        let mut open = self.lock();
        let number = (1..=u16::MAX).find(|n| !open.contains_key(n)).unwrap_or(1);
        open.insert(number, id);
        number
    }

    pub(super) fn remove(&self, number: u16) -> Option<String> {
        self.lock().remove(&number)
    }
}

impl Clients {
    /// Creates an empty record whose scheduled retries are sent to `retries`.
    pub(super) fn new(retries: Sender<Retry>) -> Self {
        Clients {
            record: Mutex::default(),
            retries,
        }
    }

    pub(super) fn record(&self) -> MutexGuard<'_, ClientRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the answers on a connection until it is closed, or idle without open requests for too long.
    pub(super) fn read(&self, mut web: WebServer, open: &OpenRequests) {
        loop {
            match web.end() {
                Ok((number, answer)) => {
                    let at = unix_us();
                    self.record_answer(at, open.remove(number), answer);
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    if open.len() == 0 {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    }

    /// Records an answer and schedules a retry if the request was refused. Aborted requests get no recorded answer.
    fn record_answer(&self, at: Micros, id: Option<String>, answer: Option<Answer>) {
        let (Some(id), Some(answer)) = (id, answer) else {
            return;
        };
        let mut record = self.record();
        let Some(request) = record.sent.get(&id).cloned() else {
            return;
        };
        let advised_ms = answer
            .header("back-off-ms")
            .and_then(|v| v.parse::<u64>().ok());
        let final_answer = classify(&request.arrival, &answer, advised_ms);
        record.answered.push(Answered {
            id,
            at,
            answer: final_answer,
        });
        drop(record);
        if matches!(final_answer, FinalAnswer::Refused { .. }) && request.retry < MAX_RETRIES {
            let at = at + advised_ms.unwrap_or(DEFAULT_RETRY_MS) * 1000;
            let request = ClientRequest {
                retry: request.retry + 1,
                ..request
            };
            let _ = self.retries.send(Retry { at, request });
        }
    }
}

/// Classifies an answer as served, refused or failed.
fn classify(arrival: &Arrival, answer: &Answer, advised_ms: Option<u64>) -> FinalAnswer {
    match answer.status {
        200 => {
            let made = verified_copy_time_ms((arrival.object, arrival.part), &answer.body);
            FinalAnswer::Served {
                made: made.map(|ms| ms * 1000 + 999),
                intact: made.is_some(),
            }
        }
        429 | 503 => FinalAnswer::Refused {
            advised: advised_ms.is_some(),
        },
        _ => FinalAnswer::Failed,
    }
}
