//! The CDNI listener: serves the requests of peer CDNs and redirected clients, and delivers payloads to peer CDNs.

use super::clients::AcceptLimit;
use super::commits::CdniResponse;
use super::exchange::{Exchange, ExchangeEnd, Flow, Task};
use super::{Connection, ConnectionKind, Daemon, Timer};
use crate::core::{Answer, Client, ClientRequest};
use crate::front::cdni::{self, Post, Reply, Session, Waiting, MEDIA};
use crate::net::{Key, Progress, TcpConnection};
use crate::wire::http::{self, Head, MessageParser, Piece};
use crate::wire::{Parser, WireError};
use linnetknot::Micros;

/// An attempt to deliver a payload to a peer CDN.
struct Delivery {
    post: Post,
    attempts: u32,
    messages: MessageParser,
    /// The time by which the peer CDN must have responded.
    deadline: Micros,
}

impl Delivery {
    fn new(post: Post, attempts: u32, max_line_bytes: usize, deadline: Micros) -> Self {
        Delivery {
            post,
            attempts,
            messages: MessageParser::responses(max_line_bytes, usize::MAX),
            deadline,
        }
    }
}

impl Exchange for Delivery {
    fn initial_bytes(&self) -> Vec<u8> {
        let mut out = Vec::new();
        let (host, media) = (
            self.post.address.to_string(),
            format!("{MEDIA}{}", self.post.ptype),
        );
        let headers = [
            ("Host", host.as_str()),
            ("Content-Type", media.as_str()),
            ("Connection", "close"),
        ];
        let start = format!("POST {} HTTP/1.1", self.post.path);
        http::write_message(&mut out, &start, &headers, self.post.body.as_bytes());
        out
    }

    /// Reads the response of the peer CDN, of which only the status is used.
    fn read(
        &mut self,
        _: Micros,
        input: &[u8],
        effects: &mut Vec<Task>,
    ) -> Result<Flow, WireError> {
        let (_, Some(Piece::Head(head))) = self.messages.parse(input)? else {
            return Ok(Flow::NeedsInput);
        };
        let (post, attempts, status) = (self.post.clone(), self.attempts, head.status());
        effects.push(Box::new(move |daemon, now| {
            daemon.delivery_finished(now, post, attempts, status);
        }));
        Ok(Flow::Done)
    }

    fn deadline(&self) -> Option<Micros> {
        Some(self.deadline)
    }

    fn on_ended(self: Box<Self>, _: ExchangeEnd) -> Option<Task> {
        let (post, attempts) = (self.post, self.attempts);
        Some(Box::new(move |daemon, now| {
            daemon.delivery_finished(now, post, attempts, None);
        }))
    }
}

impl Daemon {
    /// Returns the address of the CDNI listener.
    pub fn cdni_address(&self) -> Option<std::net::SocketAddr> {
        self.cdni.as_ref()?.0.address()
    }

    /// Accepts pending connections of the CDNI listener.
    pub(super) fn accept_cdni(&mut self, now: Micros, limit: AcceptLimit) {
        let (began, mut accepted) = (self.clock.now(), 0);
        while self.cdni.is_some()
            && !self.shutdown_grace_over
            && self.continues_accepting(limit, began, accepted)
        {
            let Ok(evicted) = self.required_eviction(now) else {
                return self.pause_accepting_cdni(now);
            };
            let Some((listener, _)) = &self.cdni else {
                return;
            };
            let socket = match listener.accept() {
                Ok(Some(socket)) => socket,
                Ok(None) => break,
                Err(_) => return self.pause_accepting_cdni(now),
            };
            accepted += 1;
            let session = Session::new(self.limits.max_line_bytes, self.limits.max_body_bytes);
            let conn = TcpConnection::new(
                socket,
                true,
                self.limits.input_buffer_bytes,
                self.limits.output_buffer_bytes,
            );
            let input = self.cdni_queue.input_of_accepted(&self.turn);
            if let Ok(conn) = conn {
                let kind = ConnectionKind::Cdni(Box::new(session));
                self.add_client(now, conn, kind, input, evicted);
            }
        }
        if accepted < self.limits.max_client_connections {
            self.cdni_queue.emptied(&self.turn);
        } else {
            self.cdni_queue.partly_accepted(now, &self.turn);
        }
        let resumed = self
            .cdni
            .as_mut()
            .is_none_or(|(listener, _)| listener.resume(&self.poll));
        if !resumed {
            self.schedule_accept_retry(now);
        }
    }

    fn pause_accepting_cdni(&mut self, now: Micros) {
        if let Some((listener, _)) = &mut self.cdni {
            listener.pause(&self.poll);
        }
        self.cdni_queue.emptied(&self.turn);
        self.schedule_accept_retry(now);
    }

    /// Handles the requests of a connection that have been received completely.
    pub(super) fn read_cdni(&mut self, now: Micros, key: Key) {
        while let Some((head, body)) = self.next_cdni_request(key) {
            let Some(reply) = self.cdni_reply(now, &head, &body) else {
                return;
            };
            self.handle_cdni_reply(now, key, reply);
            self.execute_commands(now);
            if !self.write_cdni(key) {
                return;
            }
        }
    }

    fn cdni_session(&mut self, key: Key) -> Option<(&mut TcpConnection, &mut Session)> {
        match self.connections.get_mut(key)? {
            Connection {
                conn,
                kind: ConnectionKind::Cdni(session),
                ..
            } => Some((conn, session)),
            _ => None,
        }
    }

    /// Returns the next complete request.
    fn next_cdni_request(&mut self, key: Key) -> Option<(Head, Vec<u8>)> {
        let (conn, session) = self.cdni_session(key)?;
        match session.read(&mut conn.input) {
            Ok(request) => request,
            Err(e) => {
                // The sender receives an error status before the connection is closed.
                log::warn!("malformed request of a peer CDN: {e}");
                session.reject_unreadable();
                None
            }
        }
    }

    /// Returns the reply to a request; `None` if CDNI is not configured.
    fn cdni_reply(&mut self, now: Micros, head: &Head, body: &[u8]) -> Option<Reply> {
        let ready = self.can_serve();
        let (_, trigger_api) = self.cdni.as_mut()?;
        let reply = trigger_api.handle(now, ready, head, body);
        // While the store is not open, an unknown trigger may be one that the store contains, so 404 would be wrong.
        let is_unknown = matches!(&reply, Reply::Respond(response) if response.status == 404)
            && head
                .request()
                .is_some_and(|(_, target)| cdni::is_trigger(target));
        if is_unknown && self.pending_store.is_some() {
            return Some(Reply::Respond(trigger_api.retract(None)));
        }
        Some(reply)
    }

    /// Responds to a request, or defers the response until the effects are committed or the core has answered.
    fn handle_cdni_reply(&mut self, now: Micros, key: Key, reply: Reply) {
        match reply {
            Reply::Respond(response) => {
                if let Some((_, session)) = self.cdni_session(key) {
                    session.respond(&response);
                }
            }
            Reply::RespondOnceCommitted {
                response,
                trigger,
                effects,
            } => {
                if let Some((_, session)) = self.cdni_session(key) {
                    session.waiting = Some(Waiting::Commit);
                }
                let pending = CdniResponse {
                    connection: key,
                    response,
                    trigger,
                };
                self.commit_command(now, pending, effects);
            }
            Reply::Forward(request) => self.admit_for_cdni(now, key, request),
        }
    }

    /// Admits the request of a redirected client to the core, or rejects it.
    fn admit_for_cdni(&mut self, now: Micros, key: Key, mut request: ClientRequest) {
        let unread_delay_us = self.input_delay(now, key);
        request.remaining_us = request.remaining_us.saturating_sub(unread_delay_us);
        let deadline = now + request.remaining_us;
        let client = Client {
            connection: key,
            stream: 0,
        };
        let admitted = self.core.admit(now, client, request);
        let retry_after_us = Some(self.limits.overload_retry_after_us);
        let Some((_, session)) = self.cdni_session(key) else {
            return;
        };
        session.deadline = deadline;
        match admitted {
            Ok(request_key) => session.waiting = Some(Waiting::Core(request_key)),
            Err(error) => session.respond(&cdni::response(error.answer(retry_after_us), false)),
        }
    }

    /// Responds to the open request of a connection.
    pub(super) fn answer_cdni(&mut self, now: Micros, key: Key, answer: Answer) {
        let response_margin_us = self.limits.response_margin_us;
        let Some((_, session)) = self.cdni_session(key) else {
            return;
        };
        let is_late = now + response_margin_us >= session.deadline;
        session.respond(&cdni::response(answer, is_late));
        // The event loop reads the next request, so that pipelined requests do not recurse.
        self.deadlines.set(now, Timer::ResumeConnection(key));
    }

    /// Writes pending responses. Returns false if the connection has to be closed.
    pub(super) fn write_cdni(&mut self, key: Key) -> bool {
        let Some((conn, session)) = self.cdni_session(key) else {
            return true;
        };
        loop {
            session.write(&mut conn.output);
            match conn.write() {
                Progress::Moved => {}
                Progress::Broken => return false,
                _ => return !(session.is_finished() && conn.output.is_empty()),
            }
        }
    }

    /// Sends the footprint of this CDN to the peer CDNs if the readiness of this proxy has changed.
    pub(super) fn announce_readiness(&mut self, now: Micros) {
        let ready = self.can_serve();
        if std::mem::replace(&mut self.announced_ready, ready) == ready {
            return;
        }
        let posts = self
            .cdni
            .as_ref()
            .map(|(_, trigger_api)| trigger_api.footprint_notices(ready))
            .unwrap_or_default();
        posts.into_iter().for_each(|post| self.deliver(now, post));
    }

    /// Forwards a purge of the event bus to the peer CDNs.
    pub(super) fn forward_purge(&mut self, now: Micros, object: Option<&str>, group: u64) {
        let posts = self
            .cdni
            .as_ref()
            .map(|(_, trigger_api)| trigger_api.purge_commands(object, group))
            .unwrap_or_default();
        posts.into_iter().for_each(|post| self.deliver(now, post));
    }

    /// Delivers a payload to a peer CDN, unless too many deliveries are pending.
    pub(super) fn deliver(&mut self, now: Micros, post: Post) {
        if self.pending_deliveries >= self.limits.max_posts {
            let address = post.address;
            log::warn!("dropped a payload for {address}: too many deliveries are pending");
            return;
        }
        self.pending_deliveries += 1;
        self.begin_delivery(now, post, 0);
    }

    fn begin_delivery(&mut self, now: Micros, post: Post, attempts: u32) {
        let delivery = Delivery::new(
            post.clone(),
            attempts,
            self.limits.max_line_bytes,
            now + self.limits.post_timeout_us,
        );
        if self
            .start_exchange(now, post.address, Box::new(delivery))
            .is_none()
        {
            self.delivery_finished(now, post, attempts, None);
        }
    }

    /// Handles the end of a delivery attempt. `status` is `None` if there was no response.
    fn delivery_finished(&mut self, now: Micros, post: Post, attempts: u32, status: Option<u16>) {
        let attempts = attempts + 1;
        match status {
            Some(200..=299) => self.pending_deliveries -= 1,
            // The peer CDN rejected the payload, so a retry would be rejected too.
            Some(status @ 400..=499) => {
                let Post { address, path, .. } = &post;
                log::warn!(
                    "a peer CDN rejected a payload: {address}{path} responded with {status}"
                );
                self.pending_deliveries -= 1;
            }
            _ if attempts >= self.limits.max_post_attempts => {
                let Post { address, path, .. } = &post;
                log::warn!("failed to deliver a payload to a peer CDN: {address}{path}");
                self.pending_deliveries -= 1;
            }
            _ => {
                let retry_delay = self.limits.purge_resend_interval_us << attempts.min(6);
                self.schedule(now + retry_delay, move |daemon, now| {
                    daemon.begin_delivery(now, post, attempts);
                });
            }
        }
    }

    /// Writes a deferred response and reads the next request.
    pub(super) fn resume_connection(&mut self, now: Micros, key: Key) {
        self.read_cdni(now, key);
        if !self.write(now, key) {
            self.close(now, key);
        }
    }
}

#[cfg(test)]
mod tests;
