//! A simulated network of members on virtual time.

use crate::{EventQueue, Micros, Timed};
use linnetknot_datagram::Random;
use std::collections::BTreeSet;

/// The initial time of a network.
const START_US: Micros = 1_000_000;
const PERCENT: u64 = 100;

/// The delay of datagrams on each link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delay {
    /// The fixed part of the delay in microseconds, to which the jitter is added.
    pub min_us: Micros,
    /// The exclusive upper bound of the random part of the delay, in microseconds.
    pub jitter_us: Micros,
}

/// One direction of a link between two members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: usize,
    to: usize,
}

/// A datagram in flight.
#[derive(Clone, Debug)]
struct InFlight<M> {
    link: Link,
    message: M,
}

/// The result of a step of the simulation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<M, D> {
    /// A datagram is delivered.
    Delivered {
        /// The index of the sending member.
        from: usize,
        /// The index of the receiving member.
        to: usize,
        /// The payload of the datagram.
        message: M,
    },
    /// The event that was passed to [`Network::step`] is due.
    Due(D),
    /// Nothing else happens until the end, which has been reached.
    Finished,
}

/// A network of members, and its time.
#[derive(Clone, Debug)]
pub struct Network<M> {
    /// The current simulated time in microseconds.
    pub now: Micros,
    /// The share of lost datagrams, in percent.
    pub loss_percent: u64,
    /// The share of duplicated datagrams, in percent.
    pub duplicate_percent: u64,
    /// The delay of newly sent datagrams.
    pub delay: Delay,
    /// The links on which all newly sent datagrams are dropped.
    cut: BTreeSet<Link>,
    in_flight: EventQueue<InFlight<M>>,
    random: Random,
}

impl<M: Clone> Network<M> {
    /// Creates a network without faults.
    pub fn new(seed: u64, delay: Delay) -> Self {
        Network {
            now: START_US,
            loss_percent: 0,
            duplicate_percent: 0,
            delay,
            cut: BTreeSet::new(),
            in_flight: EventQueue::default(),
            random: Random::new(seed),
        }
    }

    /// Returns a random number below a bound.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.random.below(below)
    }

    /// Sends a datagram, which the link may lose, duplicate or delay.
    pub fn send(&mut self, from: usize, to: usize, message: &M) {
        let link = Link { from, to };
        if self.cut.contains(&link) || self.draw(PERCENT) < self.loss_percent {
            return;
        }
        let is_duplicated = self.draw(PERCENT) < self.duplicate_percent;
        for _ in 0..1 + u64::from(is_duplicated) {
            let at = self.now + self.delay.min_us + self.draw(self.delay.jitter_us);
            let message = message.clone();
            self.in_flight.schedule(at, InFlight { link, message });
        }
    }

    /// Drops all datagrams in flight.
    pub fn drop_in_flight(&mut self) {
        self.in_flight = EventQueue::default();
    }

    /// Cuts a link in one direction.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert(Link { from, to });
    }

    /// Cuts all links between the members on one side and the others, in both directions.
    pub fn partition(&mut self, members: usize, side: &[usize]) {
        for from in 0..members {
            let others = (0..members).filter(|to| side.contains(&from) != side.contains(to));
            self.cut.extend(others.map(|to| Link { from, to }));
        }
    }

    /// Restores all links that were cut.
    pub fn restore(&mut self) {
        self.cut.clear();
    }

    /// Advances the time to the next delivery or to the caller's next event, whichever is first, but not past `end`. If
    /// both are due at the same time, the delivery comes first.
    pub fn step<D>(&mut self, end: Micros, next: Option<Timed<D>>) -> Step<M, D> {
        let delivery_at = self.in_flight.next_due_at();
        let event_at = next.as_ref().map(|timed| timed.at);
        let first_at = delivery_at.into_iter().chain(event_at).min();
        let Some(at) = first_at.filter(|at| *at <= end) else {
            self.now = end;
            return Step::Finished;
        };
        self.now = at.max(self.now);
        if let Some(delivery) = self.in_flight.pop_due(at) {
            let InFlight { link, message } = delivery.event;
            return Step::Delivered {
                from: link.from,
                to: link.to,
                message,
            };
        }
        next.map_or(Step::Finished, |timed| Step::Due(timed.event))
    }
}

/// Returns a member's index in the observer's list of peers, which does not contain the observer.
pub fn peer_index(member: usize, observer: usize) -> usize {
    member - usize::from(member > observer)
}

/// Returns the member at an index of the observer's list of peers.
pub fn member_at(peer: usize, observer: usize) -> usize {
    peer + usize::from(peer >= observer)
}
