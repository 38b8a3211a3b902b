use std::net::IpAddr;
use std::time::Duration;

use crate::Instant;

/// Time without progress after which a transfer counts as stalled. It exceeds the retransmission of a
/// lost packet and of its repetition.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Names an account of a [`MemoryBudget`](super::MemoryBudget).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountId(pub(super) u64);

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holding {
    /// A body that is not complete; its request has not been sent to an endpoint.
    Unfinished,
    /// A complete request, or its response while the endpoint sends it.
    Complete,
    /// A response that waits to be read by its caller.
    Unread,
}

#[derive(Debug)]
pub(super) struct Account {
    pub(super) client: IpAddr,
    pub(super) bytes: usize,
    pub(super) holding: Holding,
    pub(super) progress_at: Instant,
    pub(super) is_evicted: bool,
}

impl Account {
    /// Returns whether the account may lose its memory: its request has not run, or its caller does not
    /// read the response.
    pub(super) fn is_evictable(&self, now: Instant) -> bool {
        let is_held_in_vain = match self.holding {
            Holding::Unfinished => true,
            Holding::Unread => self.is_stalled(now),
            Holding::Complete => false,
        };
        is_held_in_vain && !self.is_evicted && self.bytes > 0
    }

    pub(super) fn is_stalled(&self, now: Instant) -> bool {
        now.since(self.progress_at) >= STALL_TIME
    }
}
