//! The listener of the front for CDNI: what peer CDNs and redirected clients request, and what peer CDNs are sent.

use super::commits::CdniResponse;
use super::exchange::{Effect, End, Exchange, Flow};
use super::{Connection, Daemon, Kind, Timer};
use crate::core::{Answer, Client, ClientRequest};
use crate::front::cdni::{self, Post, Reply, Session, Waiting, MEDIA};
use crate::net::{Key, Progress, TcpConnection};
use crate::wire::http::{self, Head, MessageParser, Piece};
use crate::wire::{Parser, WireError};
use linnetknot::Micros;

/// A payload on its way to a peer CDN.
struct Delivery {
    post: Post,
    attempts: u32,
    messages: MessageParser,
}

impl Delivery {
    fn new(post: Post, attempts: u32, most_line: usize) -> Self {
        Delivery {
            post,
            attempts,
            messages: MessageParser::responses(most_line, usize::MAX),
        }
    }
}

impl Exchange for Delivery {
    fn opening(&self) -> Vec<u8> {
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

    /// Only the status of the peer CDN's answer counts.
    fn read(&mut self, input: &[u8], effects: &mut Vec<Effect>) -> Result<Flow, WireError> {
        let (_, Some(Piece::Head(head))) = self.messages.parse(input)? else {
            return Ok(Flow::More);
        };
        let (post, attempts, status) = (self.post.clone(), self.attempts, head.status());
        effects.push(Box::new(move |daemon, now| {
            daemon.delivery_finished(now, post, attempts, status);
        }));
        Ok(Flow::Done)
    }

    fn ended(self: Box<Self>, _: End) -> Option<Effect> {
        let (post, attempts) = (self.post, self.attempts);
        Some(Box::new(move |daemon, now| {
            daemon.delivery_finished(now, post, attempts, None);
        }))
    }
}

impl Daemon {
    /// Where peer CDNs connect.
    pub fn cdni_address(&self) -> Option<std::net::SocketAddr> {
        self.trigger_api.as_ref()?.0.address()
    }

    /// Accepts what waits at the listener for CDNI.
    pub(super) fn accept_cdni(&mut self, now: Micros) {
        // No more in one turn than the table holds, as on the clients' listener.
        let mut accepted = 0;
        while self.trigger_api.is_some()
            && !self.grace_over
            && accepted < self.limits.max_client_connections
        {
            let Ok(evicted) = self.room_for_client(now) else {
                return self.pause_accepting_cdni(now);
            };
            let Some((listener, _)) = &self.trigger_api else {
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
            if let Ok(conn) = conn {
                self.take_in(now, conn, Kind::Cdni(Box::new(session)), evicted);
            }
        }
        let resumed = self
            .trigger_api
            .as_mut()
            .is_none_or(|(l, _)| l.resume(&self.poll));
        if !resumed {
            self.accept_later(now);
        }
    }

    fn pause_accepting_cdni(&mut self, now: Micros) {
        if let Some((listener, _)) = &mut self.trigger_api {
            listener.pause(&self.poll);
        }
        self.accept_later(now);
    }

    /// Takes up the requests that have come whole.
    pub(super) fn read_cdni(&mut self, now: Micros, key: Key) {
        while let Some((head, body)) = self.next_cdni_request(key) {
            let Some(reply) = self.cdni_reply(now, &head, &body) else {
                return;
            };
            self.take_cdni_reply(now, key, reply);
            self.settle(now);
            if !self.write_cdni(key) {
                return;
            }
        }
    }

    fn cdni_session(&mut self, key: Key) -> Option<(&mut TcpConnection, &mut Session)> {
        match self.connections.get_mut(key)? {
            Connection {
                conn,
                kind: Kind::Cdni(session),
                ..
            } => Some((conn, session)),
            _ => None,
        }
    }

    /// The next request that has come whole.
    fn next_cdni_request(&mut self, key: Key) -> Option<(Head, Vec<u8>)> {
        let (conn, session) = self.cdni_session(key)?;
        match session.read(&mut conn.input) {
            Ok(request) => request,
            Err(e) => {
                // Answered by a status before the connection ends: the sender is to learn what it did.
                log::warn!("a peer CDN sent what can't be read: {e}");
                session.reject_unreadable();
                None
            }
        }
    }

    /// What is to be done for a request; none where there is no front for CDNI.
    fn cdni_reply(&mut self, now: Micros, head: &Head, body: &[u8]) -> Option<Reply> {
        let ready = self.can_serve();
        let (_, trigger_api) = self.trigger_api.as_mut()?;
        let reply = trigger_api.handle(now, ready, head, body);
        // A trigger that is not known may stand in the store.
        let is_unknown = matches!(&reply, Reply::Respond(response) if response.status == 404)
            && head
                .request()
                .is_some_and(|(_, target)| cdni::is_trigger(target));
        if is_unknown && self.pending_store.is_some() {
            return Some(Reply::Respond(trigger_api.retract(None)));
        }
        Some(reply)
    }

    /// Answers a request, or has the answer wait for a commit or for the core.
    fn take_cdni_reply(&mut self, now: Micros, key: Key, reply: Reply) {
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

    /// Has the core take the request of a redirected client, or rejects it.
    fn admit_for_cdni(&mut self, now: Micros, key: Key, mut request: ClientRequest) {
        let unread = self.turn.waited_unread(now);
        request.remaining_us = request.remaining_us.saturating_sub(unread);
        let deadline = now + request.remaining_us;
        let client = Client {
            connection: key,
            stream: 0,
        };
        let ticket = self.core.admit(now, client, request);
        let retry_after_us = Some(self.limits.overload_retry_after_us);
        let Some((_, session)) = self.cdni_session(key) else {
            return;
        };
        session.deadline = deadline;
        match ticket {
            Some(ticket) => session.waiting = Some(Waiting::Core(ticket)),
            None => session.respond(&cdni::response(Answer::Rejected { retry_after_us }, false)),
        }
    }

    /// Gives a connection the core's answer to its request.
    pub(super) fn answer_cdni(&mut self, now: Micros, key: Key, answer: Answer) {
        let response_margin_us = self.limits.response_margin_us;
        let Some((_, session)) = self.cdni_session(key) else {
            return;
        };
        let is_late = now + response_margin_us >= session.deadline;
        session.respond(&cdni::response(answer, is_late));
        // The next request may have come meanwhile; reading it is left to the loop, so that a peer CDN that
        // sends many at once can't nest them here.
        self.deadlines.set(now, Timer::Serve(key));
    }

    /// Writes what is waiting; false where the connection is over.
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

    /// Notifies peer CDNs of the footprint when whether this proxy can serve has changed.
    pub(super) fn notify(&mut self, now: Micros) {
        let ready = self.can_serve();
        if std::mem::replace(&mut self.told_ready, ready) == ready {
            return;
        }
        let posts = self
            .trigger_api
            .as_ref()
            .map(|(_, trigger_api)| trigger_api.footprint_notices(ready))
            .unwrap_or_default();
        posts.into_iter().for_each(|post| self.send_out(now, post));
    }

    /// Forwards a purge that came by the event bus to peer CDNs.
    pub(super) fn pass_on(&mut self, now: Micros, object: Option<&str>, group: u64) {
        let posts = self
            .trigger_api
            .as_ref()
            .map(|(_, trigger_api)| trigger_api.purge_commands(object, group))
            .unwrap_or_default();
        posts.into_iter().for_each(|post| self.send_out(now, post));
    }

    /// Sends a payload to a peer CDN, as far as the bound on those under way lets it.
    pub(super) fn send_out(&mut self, now: Micros, post: Post) {
        if self.posts >= self.limits.max_posts {
            let address = post.address;
            log::warn!("a payload for {address} is dropped: too many are on their way");
            return;
        }
        self.posts += 1;
        self.begin_delivery(now, post, 0);
    }

    fn begin_delivery(&mut self, now: Micros, post: Post, attempts: u32) {
        let delivery = Delivery::new(post.clone(), attempts, self.limits.max_line_bytes);
        if self
            .exchange(
                now,
                post.address,
                Box::new(delivery),
                Some(self.limits.post_timeout_us),
            )
            .is_none()
        {
            self.delivery_finished(now, post, attempts, None);
        }
    }

    /// An attempt to deliver is over: by an answer, or without one.
    fn delivery_finished(&mut self, now: Micros, post: Post, attempts: u32, status: Option<u16>) {
        let attempts = attempts + 1;
        match status {
            Some(200..=299) => self.posts -= 1,
            // Rejected: the same payload would get the same answer.
            Some(status @ 400..=499) => {
                let Post { address, path, .. } = &post;
                log::warn!("a peer CDN rejected a payload: {address}{path} answered {status}");
                self.posts -= 1;
            }
            _ if attempts >= self.limits.max_post_attempts => {
                let Post { address, path, .. } = &post;
                log::warn!("a peer CDN takes no payload: {address}{path}");
                self.posts -= 1;
            }
            _ => {
                let wait = self.limits.purge_resend_interval_us << attempts.min(6);
                self.later(now + wait, move |daemon, now| {
                    daemon.begin_delivery(now, post, attempts);
                });
            }
        }
    }

    /// Writes an answer that waited, and reads on behind it.
    pub(super) fn serve_again(&mut self, now: Micros, key: Key) {
        self.read_cdni(now, key);
        if !self.write(now, key) {
            self.close(now, key);
        }
    }
}

#[cfg(test)]
mod tests;
