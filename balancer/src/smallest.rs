//! The smallest few of many items.

/// The smallest items that it is given, in ascending order.
pub(crate) struct Smallest<T> {
    items: Vec<T>,
    limit: usize,
}

impl<T: PartialOrd> Smallest<T> {
    /// Holds `limit` items at most.
    pub(crate) fn new(limit: usize) -> Smallest<T> {
        Smallest { items: Vec::with_capacity(limit + 1), limit }
    }

    /// Whether an item would be among them now.
    pub(crate) fn would_insert(&self, item: &T) -> bool {
        self.items.len() < self.limit || self.items.last().is_some_and(|largest| item < largest)
    }

    /// Adds an item behind those that are smaller, and drops the largest beyond the limit.
    pub(crate) fn add(&mut self, item: T) {
        let place = self.items.partition_point(|smaller| *smaller < item);
        self.items.insert(place, item);
        self.items.truncate(self.limit);
    }
}

impl<T> IntoIterator for Smallest<T> {
    type Item = T;
    type IntoIter = std::vec::IntoIter<T>;

    fn into_iter(self) -> Self::IntoIter {
        self.items.into_iter()
    }
}
