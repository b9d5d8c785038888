//! Events of virtual time, in chronological order.
use hallrelay_balancer::types::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Events by time; events with equal times keep the order in which they were scheduled.
pub struct EventQueue<T> {
    heap: BinaryHeap<Reverse<Scheduled<T>>>,
    scheduled_count: u64,
}

struct Scheduled<T> {
    at: Micros,
    order: u64,
    event: T,
}

impl<T> Scheduled<T> {
    fn key(&self) -> (Micros, u64) {
        (self.at, self.order)
    }
}

impl<T> PartialEq for Scheduled<T> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<T> Eq for Scheduled<T> {}

impl<T> PartialOrd for Scheduled<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Scheduled<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl<T> Default for EventQueue<T> {
    fn default() -> EventQueue<T> {
        EventQueue { heap: BinaryHeap::new(), scheduled_count: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Schedules an event.
    pub fn schedule(&mut self, at: Micros, event: T) {
        self.scheduled_count += 1;
        self.heap.push(Reverse(Scheduled { at, order: self.scheduled_count, event }));
    }

    /// Time of the next event.
    pub fn next_at(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse(scheduled)| scheduled.at)
    }

    /// Removes and returns the next event with its time, if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<(Micros, T)> {
        if self.next_at()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}
