//! The load generator, which sends planned requests and retries when they are due and carries out the timetable.

use super::clients::{ClientRequest, Clients, OpenRequests, Retry};
use super::environment::Environment;
use super::proxies::Proxies;
use super::schedule::{RetryQueue, Schedule};
use super::PlayControl;
use crate::load::{group, Arrival};
use crate::record::{Micros, Request};
use crate::scenario::Scenario;
use crate::timetable::Step;
use linnetknot_harness::clients::WebServer;
use linnetknot_harness::time::unix_us;
use std::collections::HashSet;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The idle time after which a client closes a connection. It is shorter than the proxy's idle timeout, so that the
/// client closes first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// A new connection to a proxy is opened only if each existing connection has at least this many open requests.
const MIN_REQUESTS_PER_CONNECTION: usize = 4;
/// The maximum number of open requests on a connection.
const MAX_REQUESTS_PER_CONNECTION: usize = 32;
/// The maximum number of connections to a proxy while the existing connections can take further requests.
const TARGET_CONNECTIONS: usize = 16;
/// The interval at which the progress callback is called.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);
/// The pause between two iterations of the sending loop.
const TICK: Duration = Duration::from_micros(500);

struct Connection {
    writer: TcpStream,
    open: Arc<OpenRequests>,
    last_used: Instant,
}

/// The fields of a request on the wire.
struct Fields {
    id: String,
    object: String,
    part: String,
    group: String,
    budget_ms: String,
    size_kb: String,
    key: Option<String>,
}

impl Fields {
    fn new(id: String, arrival: &Arrival) -> Self {
        Fields {
            id,
            object: format!("{:016x}", arrival.object),
            part: arrival.part.to_string(),
            group: group(arrival.object).to_string(),
            budget_ms: (arrival.budget / 1000).to_string(),
            size_kb: format!("{:.1}", arrival.size_kb),
            key: arrival.key.map(|k| format!("{k:032x}")),
        }
    }

    /// Returns the encoded request with this number.
    fn frame(&self, number: u16, class: &str, body: &[u8]) -> Vec<u8> {
        let mut fields = vec![
            ("HTTP_REQUEST_ID", self.id.as_str()),
            ("HTTP_RESOURCE_KEY", &self.object),
            ("HTTP_X_PIECE", &self.part),
            ("HTTP_X_LOT", &self.group),
            ("HTTP_BUDGET_MS", &self.budget_ms),
            ("HTTP_FOOTPRINT_KB", &self.size_kb),
        ];
        fields.extend(self.key.as_ref().map(|k| ("HTTP_ONCE_KEY", k.as_str())));
        WebServer::request(number, &format!("/invoke/{class}"), &fields, body)
    }
}

/// Sends planned requests and retries when they are due.
pub(super) struct LoadGenerator {
    scenario: Scenario,
    seed: u64,
    proxies: Proxies,
    clients: Arc<Clients>,
    /// The open connections by proxy.
    connections: Vec<Vec<Connection>>,
    /// Whether requests that are open at a killed proxy need no answer. False only with an injected defect.
    release_killed: bool,
    sent: Sent,
}

/// The requests sent by a load generator.
#[derive(Default)]
pub(super) struct Sent {
    /// The requests that were sent.
    pub(super) requests: Vec<Request>,
    /// The delay of each request from its scheduled to its actual sending time.
    pub(super) lags: Vec<Micros>,
    /// The number of planned requests that could not be sent because no proxy accepted them.
    pub(super) unsent: usize,
}

impl LoadGenerator {
    /// Returns a generator that has sent nothing yet.
    pub(super) fn new(
        scenario: &Scenario,
        seed: u64,
        proxies: Proxies,
        clients: Arc<Clients>,
        release_killed: bool,
    ) -> Self {
        LoadGenerator {
            scenario: scenario.clone(),
            seed,
            connections: proxies.addresses.iter().map(|_| Vec::new()).collect(),
            proxies,
            clients,
            release_killed,
            sent: Sent::default(),
        }
    }

    /// Runs a schedule to its end. Returns the seconds after which the test run was interrupted, or `None` if it was not.
    pub(super) fn play(
        &mut self,
        mut schedule: Schedule<'_>,
        environment: &mut Environment<'_>,
        retries: &Receiver<Retry>,
        control: &PlayControl<'_>,
    ) -> io::Result<Option<f64>> {
        let mut retry_queue = RetryQueue::default();
        let mut reported = Instant::now();
        loop {
            let now = unix_us();
            if control
                .stop
                .is_some_and(|stop| stop.load(Ordering::Relaxed))
            {
                // Requests that are open at the interruption need no answer.
                self.release(now, |_| true);
                return Ok(Some(schedule.seconds_at(now)));
            }
            if let Some(progress) = control
                .progress
                .filter(|_| reported.elapsed() >= PROGRESS_INTERVAL)
            {
                reported = Instant::now();
                progress(schedule.seconds_at(now), self.sent.requests.len());
            }
            retries.try_iter().for_each(|retry| retry_queue.push(retry));
            if now >= schedule.end {
                return Ok(None);
            }
            while let Some(purge) = schedule.next_purge(now) {
                environment.purge(purge);
            }
            self.take_restarted()?;
            while let Some(step) = schedule.next_step(now) {
                self.carry_out(now, step, environment)?;
            }
            while let Some(arrival) = schedule.next_arrival(now) {
                let due = schedule.start + arrival.at;
                self.send(due, ClientRequest::first(arrival))?;
            }
            while let Some(Retry { at, request }) = retry_queue.pop_due(now) {
                self.send(at, request)?;
            }
            thread::sleep(TICK);
        }
    }

    /// Stops the proxies and returns the sent requests.
    pub(super) fn end(self) -> Sent {
        self.sent
    }

    /// Takes restarted proxies back into use. Ends the test run with an error if a proxy could not be restarted.
    fn take_restarted(&mut self) -> io::Result<()> {
        while let Some(proxy) = self.proxies.take_restarted()? {
            self.connections[proxy].clear();
        }
        Ok(())
    }

    /// Carries out a step of the timetable on a proxy's process or on the environment.
    fn carry_out(
        &mut self,
        now: Micros,
        step: &Step,
        environment: &mut Environment<'_>,
    ) -> io::Result<()> {
        match *step {
            Step::FreezeProxy(proxy) => {
                self.proxies.freeze(proxy)?;
                // Clients of this proxy send further requests to the next proxy.
                self.release(now, |p| p == proxy);
                self.connections[proxy].clear();
            }
            Step::ThawProxy(proxy) => self.proxies.thaw(proxy)?,
            Step::SetLinks(ref proxies, conditions, one_way) => {
                self.proxies.set_links(proxies, conditions, one_way);
            }
            Step::KillProxy(proxy) => {
                self.proxies.kill(proxy)?;
                // Requests that were cut off by the test itself need no answer.
                if self.release_killed {
                    self.release(now, |p| p == proxy);
                }
                self.connections[proxy].clear();
            }
            // The proxy's connections stay open for the remaining answers, but no new requests are sent on them.
            Step::TerminateProxy(proxy) => self.proxies.terminate(proxy)?,
            Step::RestartProxy(proxy) => self.proxies.restart(proxy),
            Step::DrainCache(_)
            | Step::StopCache(_)
            | Step::StartCache(_)
            | Step::StallCache(..)
            | Step::SlowOrigin(_)
            | Step::CloseBusConnections => environment.carry_out(step),
        }
        Ok(())
    }

    /// Marks the open requests at the proxies selected by `at` as released from `now` on, so that they need no answer.
    fn release(&mut self, now: Micros, at: impl Fn(usize) -> bool) {
        let connections = self
            .connections
            .iter()
            .enumerate()
            .filter(|(proxy, _)| at(*proxy));
        let open: HashSet<String> = connections
            .flat_map(|(_, c)| c.iter().flat_map(|c| c.open.ids()))
            .collect();
        for request in self
            .sent
            .requests
            .iter_mut()
            .filter(|a| open.contains(&a.id))
        {
            request.released.get_or_insert(now);
        }
    }

    /// Returns the index of a connection to a proxy that can take a further request. Opens a connection if necessary.
    fn connection(&mut self, proxy: usize) -> io::Result<usize> {
        let connections = &mut self.connections[proxy];
        connections.retain(|c| c.last_used.elapsed() < IDLE_TIMEOUT || c.open.len() > 0);
        let free = |(_, c): &(usize, &Connection)| {
            c.open.len() < MAX_REQUESTS_PER_CONNECTION && c.last_used.elapsed() < IDLE_TIMEOUT
        };
        let least_busy = connections
            .iter()
            .enumerate()
            .filter(free)
            .min_by_key(|(_, c)| c.open.len());
        // Requests are spread over several connections, so that a broken connection affects only a few of them.
        let takes_more = |c: &Connection| {
            c.open.len() < MIN_REQUESTS_PER_CONNECTION || connections.len() >= TARGET_CONNECTIONS
        };
        if let Some((index, _)) = least_busy.filter(|(_, c)| takes_more(c)) {
            return Ok(index);
        }
        let web = WebServer::connect(self.proxies.addresses[proxy])?;
        let (writer, open) = (web.writer()?, Arc::new(OpenRequests::default()));
        let (clients, shared) = (self.clients.clone(), open.clone());
        thread::spawn(move || clients.read(web, &shared));
        connections.push(Connection {
            writer,
            open,
            last_used: Instant::now(),
        });
        Ok(connections.len() - 1)
    }

    /// Sends a request that was scheduled for this time. Counts the request as unsent if no proxy accepts it.
    fn send(&mut self, due: Micros, request: ClientRequest) -> io::Result<()> {
        let Some(proxy) = self.proxies.route(request.arrival.proxy as usize) else {
            self.sent.unsent += 1;
            return Ok(());
        };
        let Ok(index) = self.connection(proxy) else {
            self.sent.unsent += 1;
            return Ok(());
        };
        let id = format!(
            "{:016x}",
            (self.seed << 40) ^ (self.sent.requests.len() as u64 + 1)
        );
        let fields = Fields::new(id, &request.arrival);
        if !self.write(proxy, index, &fields, &request) {
            self.connections[proxy].remove(index);
            self.sent.unsent += 1;
            return Ok(());
        }
        self.connections[proxy][index].last_used = Instant::now();
        let at = unix_us();
        self.sent.lags.push(at.saturating_sub(due));
        let sent = self.sent_request(fields, &request, proxy, due, at);
        self.sent.requests.push(sent);
        Ok(())
    }

    /// Writes a request to a connection and records the request as sent. Returns false if the proxy has closed the
    /// connection.
    fn write(
        &mut self,
        proxy: usize,
        index: usize,
        fields: &Fields,
        request: &ClientRequest,
    ) -> bool {
        let class = &self.scenario.load.classes[request.arrival.class];
        let body: &[u8] = if class.keyed { b"a comment" } else { b"" };
        let connection = &mut self.connections[proxy][index];
        let number = connection.open.insert(fields.id.clone());
        let registered = ClientRequest {
            first_id: first_id(request, &fields.id),
            ..request.clone()
        };
        self.clients
            .record()
            .sent
            .insert(fields.id.clone(), registered);
        let frame = fields.frame(number, &class.name, body);
        let is_written = connection.writer.write_all(&frame).is_ok();
        if !is_written {
            connection.open.remove(number);
            self.clients.record().sent.remove(&fields.id);
        }
        is_written
    }

    /// Returns the request for the record.
    fn sent_request(
        &self,
        fields: Fields,
        request: &ClientRequest,
        proxy: usize,
        due: Micros,
        at: Micros,
    ) -> Request {
        let arrival = &request.arrival;
        Request {
            first: first_id(request, &fields.id),
            id: fields.id,
            class: arrival.class,
            proxy,
            object: fields.object,
            group: group(arrival.object),
            key: fields.key,
            work_us: (arrival.size_kb / self.scenario.site.flow_kb_per_s * 1e6) as Micros,
            due,
            at,
            deadline: at + arrival.budget,
            released: None,
        }
    }
}

/// Returns the id of the first request in a series of retries, or `id` if the request is not a retry.
fn first_id(request: &ClientRequest, id: &str) -> String {
    if request.first_id.is_empty() {
        id.to_owned()
    } else {
        request.first_id.clone()
    }
}
