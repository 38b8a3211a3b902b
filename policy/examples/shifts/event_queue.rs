use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Priority queue of simulated events, ordered by time and, at equal times, by insertion.
#[derive(Debug)]
pub(crate) struct EventQueue<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    next_sequence: u64,
}

#[derive(Debug)]
struct Entry<T> {
    at: u64,
    sequence: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
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
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl<T> EventQueue<T> {
    pub(crate) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_sequence: 0,
        }
    }

    /// Schedules an event at the virtual time `at`, in microseconds.
    pub(crate) fn schedule(&mut self, at: u64, event: T) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(Entry {
            at,
            sequence,
            event,
        }));
    }

    /// Removes the earliest event and returns it with its time.
    pub(crate) fn pop(&mut self) -> Option<(u64, T)> {
        self.heap
            .pop()
            .map(|Reverse(entry)| (entry.at, entry.event))
    }
}
