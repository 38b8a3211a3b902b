use super::commit::Tail;
use super::{Head, Owner};

impl Owner {
    /// Compares the end of the log with this owner's state; returns whether they are consistent.
    pub(super) fn check_tail(&mut self, tail: &Tail) -> bool {
        let (head, revision) = tail.head.unwrap_or((Head::default(), 0));
        if !self.check_head(head, revision) || !self.check_last(tail) {
            return false;
        }
        // A gap shows that the service lost sequences and another owner wrote afterwards.
        let first = self.next_sequence;
        let later = tail
            .batches
            .iter()
            .filter(|logged| logged.sequence >= first);
        let is_contiguous = (first..)
            .zip(later)
            .all(|(expected, logged)| logged.sequence == expected);
        if !is_contiguous {
            self.queue_rewrites();
            self.reload();
        }
        is_contiguous
    }

    fn check_head(&mut self, head: Head, revision: u64) -> bool {
        if head == self.head && revision == self.head_revision {
            return true;
        }
        if self.is_own_head(head) {
            return true;
        }
        if head.floor <= self.head.floor {
            // The service was restored from older data, without the latest chunks. The floor can be
            // equal when a write from before the restore took effect after it.
            self.head = Head {
                next_chunk: head.next_chunk.max(self.head.next_chunk),
                ..head
            };
            self.head_revision = revision;
            self.compaction = None;
            self.queue_rewrites();
            return true;
        }
        // Another owner compacted the log and may have deleted the sequence whose number this owner
        // has just written or writes next. That the key did not exist then proves nothing.
        self.reload();
        false
    }

    fn check_last(&mut self, tail: &Tail) -> bool {
        let last = self.next_sequence - 1;
        let Some(known) = &self.last_batch else {
            return true;
        };
        if last < self.head.floor {
            return true;
        }
        let held = tail.batches.iter().find(|logged| logged.sequence == last);
        if held.is_some_and(|logged| logged.batch.is_same(known)) {
            return true;
        }
        // The stored log is read again before any claim is granted.
        self.queue_rewrites();
        self.reload();
        false
    }

    /// Queues all claims that are held in full to be written again, since the service lost data.
    pub(super) fn queue_rewrites(&mut self) {
        self.rewrites = self.table.records().into();
    }
}
