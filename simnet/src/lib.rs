//! For tests of sans-IO cores: virtual time, and the links between members on it. Datagrams are lost, doubled and late,
//! and so out of order; links are cut, one way or both. All by a seed.

mod events;
mod links;

pub use events::EventQueue;
pub use links::{Arrivals, LinkConditions};

use linnetknot_datagram::Random;
use std::collections::{BTreeMap, BTreeSet};

/// Time or duration in microseconds.
pub type Micros = u64;

/// What comes next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<M, D> {
    /// A datagram reaches a member.
    Delivered {
        /// Who sent it.
        from: usize,
        /// To whom.
        to: usize,
        /// What it says.
        message: M,
    },
    /// What was due is.
    Due(D),
    /// Nothing until the end, which is now.
    Finished,
}

/// Links between members, and the time.
#[derive(Clone, Debug)]
pub struct Network<M> {
    /// The time.
    pub now: Micros,
    /// Directions in which nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    /// Share of a hundred that is lost.
    pub loss_percent: u64,
    /// Share of a hundred that comes twice.
    pub duplicate_percent: u64,
    /// The least time that a datagram takes.
    pub min_delay_us: Micros,
    /// By how much more it may be late.
    pub jitter_us: Micros,
    queue: BTreeMap<(Micros, u64), (usize, usize, M)>,
    number: u64,
    random: Random,
}

impl<M: Clone> Network<M> {
    /// Sound links on which a datagram takes from `min_delay_us` to `min_delay_us + jitter_us`.
    pub fn new(seed: u64, (min_delay_us, jitter_us): (Micros, Micros)) -> Self {
        Network {
            now: 1_000_000,
            cut: BTreeSet::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            min_delay_us,
            jitter_us,
            queue: BTreeMap::new(),
            number: 0,
            random: Random::new(seed),
        }
    }

    /// A number below another.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.random.below(below)
    }

    /// Sends a datagram, as the link lets it.
    pub fn send(&mut self, from: usize, to: usize, message: &M) {
        if self.cut.contains(&(from, to)) || self.draw(100) < self.loss_percent {
            return;
        }
        for _ in 0..1 + u64::from(self.draw(100) < self.duplicate_percent) {
            let at = self.now + self.min_delay_us + self.draw(self.jitter_us);
            self.number += 1;
            self.queue
                .insert((at, self.number), (from, to, message.clone()));
        }
    }

    /// Forgets what is on its way.
    pub fn drop_in_flight(&mut self) {
        self.queue.clear();
    }

    /// Cuts all links, both ways, between a side and the others of so many members.
    pub fn split(&mut self, members: usize, side: &[usize]) {
        for a in 0..members {
            let others = (0..members).filter(|b| side.contains(&a) != side.contains(b));
            self.cut.extend(others.map(|b| (a, b)));
        }
    }

    /// Goes on to the next datagram or to what is due first among the members, and no further than to `end`. Of a
    /// datagram and something due at once, the datagram comes first.
    pub fn step<D>(&mut self, end: Micros, due: Option<(Micros, D)>) -> Step<M, D> {
        let message = self.queue.first_key_value().map(|((at, _), _)| *at);
        let next = due
            .as_ref()
            .map(|(at, _)| *at)
            .into_iter()
            .chain(message)
            .min();
        let Some(next) = next.filter(|next| *next <= end) else {
            self.now = end;
            return Step::Finished;
        };
        self.now = next.max(self.now);
        match (message, due) {
            (Some(at), _) if at <= next => match self.queue.pop_first() {
                Some((_, (from, to, message))) => Step::Delivered { from, to, message },
                None => Step::Finished,
            },
            (_, Some((_, due))) => Step::Due(due),
            _ => Step::Finished,
        }
    }
}

/// A member's place in another's list of peers, which leaves that one out.
pub fn peer_index(member: usize, observer: usize) -> usize {
    member - usize::from(member > observer)
}

/// The member at a place of another's list.
pub fn member_at(peer: usize, observer: usize) -> usize {
    peer + usize::from(peer >= observer)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn time_goes_from_one_thing_to_the_next_and_no_further_than_its_end() {
        let mut net = Network::new(1, (10, 1));
        let begin = net.now;
        net.send(0, 1, &"a");
        let arrives = Step::Delivered {
            from: 0,
            to: 1,
            message: "a",
        };
        assert_eq!(net.step(begin + 5, None::<(Micros, u8)>), Step::Finished);
        assert_eq!(net.now, begin + 5);
        assert_eq!(net.step(begin + 50, Some((begin + 7, 3))), Step::Due(3));
        assert_eq!(net.step(begin + 50, Some((begin + 10, 3))), arrives);
        assert_eq!(
            (net.now, net.step(begin + 50, None::<(Micros, u8)>)),
            (begin + 10, Step::Finished)
        );
        net.split(3, &[0]);
        net.send(0, 1, &"b");
        net.send(2, 0, &"b");
        assert_eq!(
            net.step(begin + 100, None::<(Micros, u8)>),
            Step::Finished,
            "cut both ways"
        );
        net.send(1, 2, &"c");
        assert!(matches!(
            net.step(begin + 200, None::<(Micros, u8)>),
            Step::Delivered { .. }
        ));
        assert_eq!(
            (
                peer_index(3, 1),
                peer_index(0, 1),
                member_at(2, 1),
                member_at(0, 1)
            ),
            (2, 0, 3, 0)
        );
    }
}
