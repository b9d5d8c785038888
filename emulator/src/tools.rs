//! Chance, and events in the order of their times.
use hallrelay_balancer::types::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Chance from a seed.
#[derive(Clone)]
pub struct Chance(oorandom::Rand64);

impl Chance {
    pub fn new(seed: u64, stream: u64) -> Chance {
        Chance(oorandom::Rand64::new((u128::from(stream) << 64) | u128::from(seed)))
    }

    pub fn draw(&mut self) -> u64 {
        self.0.rand_u64()
    }

    /// From 0 to below 1.
    pub fn part(&mut self) -> f64 {
        self.0.rand_float()
    }

    pub fn below(&mut self, end: usize) -> usize {
        self.0.rand_range(0..end.max(1) as u64) as usize
    }

    /// A time between two, both included.
    pub fn between(&mut self, [least, most]: [Micros; 2]) -> Micros {
        self.0.rand_range(least..most.max(least) + 1)
    }

    /// Exponential, of a mean.
    pub fn wait(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.part()).ln()
    }

    /// Standard normal (Box and Muller).
    pub fn normal(&mut self) -> f64 {
        let (a, b) = (1.0 - self.part(), self.part());
        (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
    }

    /// Log-normal with mean 1.
    pub fn about_one(&mut self, sigma: f64) -> f64 {
        (sigma * self.normal() - sigma * sigma / 2.0).exp()
    }
}

/// Events by time, and in order of asking where times are alike.
pub struct Queue<T> {
    heap: BinaryHeap<Reverse<Item<T>>>,
    asked: u64,
}

struct Item<T> {
    at: Micros,
    order: u64,
    what: T,
}

impl<T> PartialEq for Item<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<T> Eq for Item<T> {}

impl<T> PartialOrd for Item<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Item<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Queue<T> {
        Queue { heap: BinaryHeap::new(), asked: 0 }
    }
}

impl<T> Queue<T> {
    pub fn at(&mut self, at: Micros, what: T) {
        self.asked += 1;
        self.heap.push(Reverse(Item { at, order: self.asked, what }));
    }

    pub fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|item| item.0.at)
    }

    /// The first event that is due by now, with its own time.
    pub fn due(&mut self, now: Micros) -> Option<(Micros, T)> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(item)| (item.at, item.what))
    }
}
