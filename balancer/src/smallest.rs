//! A bounded list that keeps the smallest of many items.

/// The smallest of the inserted items, in ascending order, up to a limit.
pub(crate) struct Smallest<T> {
    items: Vec<T>,
    limit: usize,
}

impl<T: PartialOrd> Smallest<T> {
    /// Creates an empty list that keeps at most `limit` items.
    pub(crate) fn new(limit: usize) -> Smallest<T> {
        Smallest { items: Vec::with_capacity(limit + 1), limit }
    }

    /// Whether an item would be kept if it were inserted now.
    pub(crate) fn would_insert(&self, item: &T) -> bool {
        self.items.len() < self.limit || self.items.last().is_some_and(|largest| item < largest)
    }

    /// Inserts an item after all smaller ones, and drops the largest item if the limit is exceeded.
    pub(crate) fn insert(&mut self, item: T) {
        let index = self.items.partition_point(|smaller| *smaller < item);
        self.items.insert(index, item);
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
