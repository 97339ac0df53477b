//! A queue of events on virtual time.

use crate::Micros;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// An event and the time at which it is due. Earlier events compare less than later ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timed<E> {
    /// The time at which the event is due.
    pub at: Micros,
    /// The event to process at that time.
    pub event: E,
}

/// An event in the queue. Events that are due at the same time are ordered by when they were scheduled.
#[derive(Clone, Debug)]
struct Scheduled<E> {
    at: Micros,
    sequence_number: u64,
    event: E,
}

impl<E> Scheduled<E> {
    fn key(&self) -> (Micros, u64) {
        (self.at, self.sequence_number)
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    /// Compares in reverse, so that the earliest event is the greatest, which the heap pops first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// A queue of scheduled events. Scheduling and removing an event take logarithmic time in the length of the queue.
#[derive(Clone, Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    last_sequence_number: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            last_sequence_number: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event at a time.
    pub fn schedule(&mut self, at: Micros, event: E) {
        self.last_sequence_number += 1;
        self.heap.push(Scheduled {
            at,
            sequence_number: self.last_sequence_number,
            event,
        });
    }

    /// Removes and returns the first event, if it is due by `end`.
    pub fn pop_due(&mut self, end: Micros) -> Option<Timed<E>> {
        self.next_due_at().filter(|at| *at <= end)?;
        let Scheduled { at, event, .. } = self.heap.pop()?;
        Some(Timed { at, event })
    }

    /// Returns the time at which the first event is due.
    pub fn next_due_at(&self) -> Option<Micros> {
        self.heap.peek().map(|first| first.at)
    }

    /// Returns the number of scheduled events.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Returns whether no event is scheduled.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
