use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Things to happen, in the order of their times and, at equal times, of their insertion.
#[derive(Debug)]
pub(crate) struct Calendar<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    next: u64,
}

#[derive(Debug)]
struct Entry<T> {
    at: u64,
    order: u64,
    what: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

impl<T> Calendar<T> {
    pub(crate) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next: 0,
        }
    }

    /// Adds `what` at `at` microseconds.
    pub(crate) fn add(&mut self, at: u64, what: T) {
        let order = self.next;
        self.next += 1;
        self.heap.push(Reverse(Entry { at, order, what }));
    }

    /// Takes the earliest entry.
    pub(crate) fn take(&mut self) -> Option<(u64, T)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.what))
    }
}
