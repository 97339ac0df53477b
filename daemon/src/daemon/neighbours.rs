//! The second front's sockets: what neighbours and redirected clients ask, and what neighbours are sent.

use super::commits::CdniResponse;
use super::exchange::{Effect, End, Exchange, Flow};
use super::{Connection, Daemon, Kind, Timer};
use crate::core::{Answer, Client};
use crate::front::cdni::{self, Post, Reply, Session, Waiting, MEDIA};
use crate::net::{Conn, Key, Progress};
use crate::wire::http::{self, Messages, Piece};
use crate::wire::{Parser, WireError};
use linnetknot::Micros;

/// A payload on its way to a neighbour.
struct Courier {
    post: Post,
    tries: u32,
    messages: Messages,
}

impl Courier {
    fn new(post: Post, tries: u32, most_line: usize) -> Self {
        Courier {
            post,
            tries,
            messages: Messages::responses(most_line, usize::MAX),
        }
    }
}

impl Exchange for Courier {
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

    /// The neighbour's status is all that is wanted.
    fn read(&mut self, input: &[u8], effects: &mut Vec<Effect>) -> Result<Flow, WireError> {
        let (_, Some(Piece::Head(head))) = self.messages.parse(input)? else {
            return Ok(Flow::More);
        };
        let (post, tries, status) = (self.post.clone(), self.tries, head.status());
        effects.push(Box::new(move |daemon, now| {
            daemon.posted(now, post, tries, status);
        }));
        Ok(Flow::Done)
    }

    fn ended(self: Box<Self>, _: End) -> Option<Effect> {
        let (post, tries) = (self.post, self.tries);
        Some(Box::new(move |daemon, now| {
            daemon.posted(now, post, tries, None);
        }))
    }
}

impl Daemon {
    /// Where neighbours connect.
    pub fn cdni_address(&self) -> Option<std::net::SocketAddr> {
        self.desk.as_ref()?.0.address()
    }

    pub(super) fn accept_cdni(&mut self, now: Micros) {
        while self.desk.is_some() && !self.grace_over {
            let Ok(evicted) = self.room_for_client(now) else {
                return self.pause_cdni(now);
            };
            let Some((listener, _)) = &self.desk else {
                return;
            };
            let socket = match listener.accept() {
                Ok(Some(socket)) => socket,
                Ok(None) => break,
                Err(_) => return self.pause_cdni(now),
            };
            let session = Session::new(self.limits.line, self.limits.body);
            let conn = Conn::new(
                socket,
                true,
                self.limits.input_ring,
                self.limits.output_ring,
            );
            if let Ok(conn) = conn {
                self.take_in(now, conn, Kind::Cdni(Box::new(session)), evicted);
            }
        }
        let resumed = self.desk.as_mut().is_none_or(|(l, _)| l.resume(&self.poll));
        if !resumed {
            self.accept_later(now);
        }
    }

    fn pause_cdni(&mut self, now: Micros) {
        if let Some((listener, _)) = &mut self.desk {
            listener.pause(&self.poll);
        }
        self.accept_later(now);
    }

    pub(super) fn read_cdni(&mut self, now: Micros, key: Key) -> Result<(), WireError> {
        loop {
            let ready = self.can_serve();
            let Some(Connection {
                conn,
                kind: Kind::Cdni(session),
                ..
            }) = self.connections.get_mut(key)
            else {
                return Ok(());
            };
            let (head, body) = match session.read(&mut conn.input) {
                Ok(Some(request)) => request,
                Ok(None) => return Ok(()),
                Err(e) => {
                    // Said by a status before the connection ends: the sender is to learn what it did.
                    log::warn!("a neighbour sent what can't be read: {e}");
                    session.refuse();
                    return Ok(());
                }
            };
            let Some((_, desk)) = &mut self.desk else {
                return Ok(());
            };
            let reply = desk.take(now, ready, &head, &body);
            // What is not known may stand in the store.
            let is_unknown = matches!(&reply, Reply::Now(response) if response.status == 404)
                && head
                    .request()
                    .is_some_and(|(_, target)| cdni::is_trigger(target));
            let reply = match reply {
                Reply::Now(_) if is_unknown && self.pending_store.is_some() => {
                    Reply::Now(desk.retract(None))
                }
                reply => reply,
            };
            match reply {
                Reply::Now(response) => session.respond(&response),
                Reply::Promise(response, trigger, effects) => {
                    session.waiting = Some(Waiting::Promise);
                    self.commit_command(
                        now,
                        CdniResponse {
                            connection: key,
                            response,
                            trigger,
                        },
                        effects,
                    );
                    self.settle(now);
                    if !self.write_cdni(key) {
                        return Ok(());
                    }
                    continue;
                }
                Reply::Ask(mut asked) => {
                    let unread = self.turn.waited_unread(now);
                    asked.remaining_us = asked.remaining_us.saturating_sub(unread);
                    session.until = now + asked.remaining_us;
                    let client = Client {
                        connection: key,
                        stream: 0,
                    };
                    match self.core.ask(now, client, asked) {
                        Some(ticket) => session.waiting = Some(Waiting::Core(ticket)),
                        None => {
                            let wait_us = Some(self.limits.back_off_us);
                            session.respond(&cdni::response(Answer::Refused { wait_us }, false));
                        }
                    }
                }
            }
            self.settle(now);
            if !self.write_cdni(key) {
                return Ok(());
            }
        }
    }

    pub(super) fn answer_cdni(&mut self, now: Micros, key: Key, answer: Answer) {
        let Some(Connection {
            kind: Kind::Cdni(session),
            ..
        }) = self.connections.get_mut(key)
        else {
            return;
        };
        let late = now + self.limits.answer_ahead_us >= session.until;
        session.respond(&cdni::response(answer, late));
        // The next request may have come meanwhile; reading it is left to the loop, so that a neighbour that
        // sends many at once can't nest them here.
        self.deadlines.set(now, Timer::Serve(key));
    }

    /// Writes what is waiting; false where the connection is over.
    pub(super) fn write_cdni(&mut self, key: Key) -> bool {
        let Some(Connection {
            conn,
            kind: Kind::Cdni(session),
            ..
        }) = self.connections.get_mut(key)
        else {
            return true;
        };
        loop {
            session.write(&mut conn.output);
            match conn.write() {
                Progress::Moved => {}
                Progress::Broken => return false,
                _ => return !(session.is_over() && conn.output.is_empty()),
            }
        }
    }

    // ---- To neighbours ----

    /// Tells neighbours of our footprint when our being able to serve has changed.
    pub(super) fn notify(&mut self, now: Micros) {
        let ready = self.can_serve();
        if std::mem::replace(&mut self.told_ready, ready) == ready {
            return;
        }
        let posts = self
            .desk
            .as_ref()
            .map(|(_, desk)| desk.notices(ready))
            .unwrap_or_default();
        posts.into_iter().for_each(|post| self.send_out(now, post));
    }

    /// Passes a purge that came by the event bus on to neighbours.
    pub(super) fn pass_on(&mut self, now: Micros, object: Option<&str>, group: u64) {
        let posts = self
            .desk
            .as_ref()
            .map(|(_, desk)| desk.pass_on(object, group))
            .unwrap_or_default();
        posts.into_iter().for_each(|post| self.send_out(now, post));
    }

    pub(super) fn send_out(&mut self, now: Micros, post: Post) {
        if self.posts >= self.limits.posts {
            log::warn!(
                "a payload for {} is dropped: too many are on their way",
                post.address
            );
            return;
        }
        self.posts += 1;
        self.post(now, post, 0);
    }

    fn post(&mut self, now: Micros, post: Post, tries: u32) {
        let courier = Courier::new(post.clone(), tries, self.limits.line);
        if self
            .exchange(
                now,
                post.address,
                Box::new(courier),
                Some(self.limits.post_us),
            )
            .is_none()
        {
            self.posted(now, post, tries, None);
        }
    }

    /// A try is over: by an answer, or without one.
    fn posted(&mut self, now: Micros, post: Post, tries: u32, status: Option<u16>) {
        let tries = tries + 1;
        match status {
            Some(200..=299) => self.posts -= 1,
            // Said no: the same payload would get the same answer.
            Some(status @ 400..=499) => {
                log::warn!("{}{} answered {status}", post.address, post.path);
                self.posts -= 1;
            }
            _ if tries >= self.limits.post_tries => {
                log::warn!("{}{} takes no payload", post.address, post.path);
                self.posts -= 1;
            }
            _ => {
                let wait = self.limits.repeat_us << tries.min(6);
                self.later(now + wait, move |daemon, now| daemon.post(now, post, tries));
            }
        }
    }

    /// Writes an answer that waited, and reads on behind it.
    pub(super) fn serve_again(&mut self, now: Micros, key: Key) {
        let read = self.read_cdni(now, key);
        if read.is_err() || !self.write(now, key) {
            self.close(now, key);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_without_an_answer_is_no_delivery() {
        let post = Post {
            address: ([127, 0, 0, 1], 9).into(),
            path: "/t".into(),
            ptype: "x",
            body: "{}".into(),
        };
        let mut courier = Courier::new(post, 0, 512);
        let text = String::from_utf8(courier.opening()).unwrap();
        assert!(
            text.starts_with("POST /t HTTP/1.1\r\n")
                && text.ends_with("Content-Length: 2\r\n\r\n{}")
        );
        let mut effects = Vec::new();
        assert_eq!(
            courier.read(b"HTTP/1.1 201 Cre", &mut effects),
            Ok(Flow::More)
        );
        assert!(effects.is_empty());
        assert_eq!(
            courier.read(b"ated\r\nContent-Length: 0\r\n\r\n", &mut effects),
            Ok(Flow::Done)
        );
        assert_eq!(effects.len(), 1);
    }
}
