//! The smallest few of many items.

/// Keeps the smallest items that it is given, in ascending order.
pub(crate) struct Smallest<T> {
    kept: Vec<T>,
    limit: usize,
}

impl<T: PartialOrd> Smallest<T> {
    /// Keeps `limit` items at most.
    pub(crate) fn new(limit: usize) -> Smallest<T> {
        Smallest { kept: Vec::with_capacity(limit + 1), limit }
    }

    /// Whether an item would be kept now.
    pub(crate) fn would_keep(&self, item: &T) -> bool {
        self.kept.len() < self.limit || self.kept.last().is_some_and(|largest| item < largest)
    }

    /// Adds an item behind those that are smaller, and drops the largest beyond the limit.
    pub(crate) fn add(&mut self, item: T) {
        let place = self.kept.partition_point(|kept| *kept < item);
        self.kept.insert(place, item);
        self.kept.truncate(self.limit);
    }
}

impl<T> IntoIterator for Smallest<T> {
    type Item = T;
    type IntoIter = std::vec::IntoIter<T>;

    fn into_iter(self) -> Self::IntoIter {
        self.kept.into_iter()
    }
}
