use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;

use ragwortgrade_policy::gateway::{AccountId, Holding};
use tokio::sync::Notify;

use super::caller_connection::CallerConnection;
use super::memory::Memory;

/// Memory that is held for one request or response; it counts as released when this is dropped.
#[derive(Debug)]
pub(super) struct MemoryAccount {
    memory: Rc<Memory>,
    id: AccountId,
    caller: Rc<CallerConnection>,
    holding: Cell<Holding>,
    evicted: Notify,
}

/// There is no memory for a request.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("no memory left for the request")]
pub(super) struct Refused;

impl MemoryAccount {
    pub(super) const fn new(
        memory: Rc<Memory>,
        id: AccountId,
        caller: Rc<CallerConnection>,
    ) -> Self {
        Self {
            memory,
            id,
            caller,
            holding: Cell::new(Holding::Unfinished),
            evicted: Notify::const_new(),
        }
    }

    /// Opens a further account on the same connection.
    pub(super) fn open_other(&self) -> Rc<Self> {
        self.memory.open(&self.caller)
    }

    pub(super) fn client(&self) -> IpAddr {
        self.caller.client
    }

    /// Takes further memory; fails if others need it more.
    pub(super) async fn grow(&self, bytes: usize) -> Result<(), Refused> {
        tokio::select! {
            grown = self.memory.grow(self.id, bytes) => grown,
            () = self.wait_for_eviction() => Err(Refused),
        }
    }

    /// Takes further memory, as soon as there is enough.
    pub(super) async fn grow_patiently(&self, bytes: usize) {
        self.memory.grow_patiently(self.id, bytes).await;
    }

    pub(super) fn shrink(&self, bytes: usize) {
        self.memory.shrink(self.id, bytes);
    }

    /// Records what the memory is held for, and that there was progress.
    pub(super) fn set_holding(&self, holding: Holding) {
        self.holding.set(holding);
        self.memory.set_holding(self.id, holding);
    }

    /// Waits until the memory has to be released.
    pub(super) async fn wait_for_eviction(&self) {
        self.evicted.notified().await;
    }

    /// Makes the owner release the memory: a body is refused, and the connection of a response closed.
    pub(super) fn evict(&self) {
        if self.holding.get() == Holding::Unread {
            self.caller.abort.notify_one();
        } else {
            self.evicted.notify_one();
        }
    }
}

impl Drop for MemoryAccount {
    fn drop(&mut self) {
        self.memory.close(self.id);
    }
}
