use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use ragwortgrade_policy::gateway::{AccountId, Grant, Holding, MemoryBudget};
use tokio::sync::Notify;

use super::caller_connection::CallerConnection;
use super::limit_log::LimitLog;
use super::memory_account::{MemoryAccount, Refused};
use crate::Clock;

/// Interval at which memory is asked for again while nothing is released: a transfer may have stalled in
/// the meantime.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The memory that is held for callers.
#[derive(Debug)]
pub(super) struct Memory {
    clock: Clock,
    budget: RefCell<MemoryBudget>,
    open: RefCell<HashMap<AccountId, Weak<MemoryAccount>>>,
    released: Notify,
    log: Rc<LimitLog>,
}

impl Memory {
    pub(super) fn new(bytes_max: usize, clock: Clock, log: Rc<LimitLog>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            budget: RefCell::new(MemoryBudget::new(bytes_max)),
            open: RefCell::default(),
            released: Notify::new(),
            log,
        })
    }

    /// Opens an account for a request or a response on this connection.
    pub(super) fn open(self: &Rc<Self>, caller: &Rc<CallerConnection>) -> Rc<MemoryAccount> {
        let now = self.clock.now();
        let id = self.budget.borrow_mut().open(caller.client, now);
        let account = Rc::new(MemoryAccount::new(Rc::clone(self), id, Rc::clone(caller)));
        self.open.borrow_mut().insert(id, Rc::downgrade(&account));
        account
    }

    /// Takes further memory for an account; waits for accounts that are being closed for it.
    pub(super) async fn grow(&self, id: AccountId, bytes: usize) -> Result<(), Refused> {
        loop {
            let released = self.released.notified();
            let grant = self.ask(id, bytes);
            match grant {
                Grant::Granted => return Ok(()),
                Grant::Refused => return Err(Refused),
                Grant::Evict(_) | Grant::Wait => released.await,
            }
        }
    }

    /// Takes further memory for an account; waits until there is enough.
    pub(super) async fn grow_patiently(&self, id: AccountId, bytes: usize) {
        loop {
            let released = self.released.notified();
            if self.ask(id, bytes) == Grant::Granted {
                return;
            }
            let _is_late = tokio::time::timeout(RETRY_INTERVAL, released).await;
        }
    }

    fn ask(&self, id: AccountId, bytes: usize) -> Grant {
        let now = self.clock.now();
        let grant = self.budget.borrow_mut().grow(id, bytes, now);
        if let Grant::Evict(evicted) = &grant {
            for id in evicted {
                let account = self.open.borrow().get(id).and_then(Weak::upgrade);
                if let Some(account) = account {
                    self.log.record("memory_taken", account.client(), now);
                    account.evict();
                }
            }
        }
        grant
    }

    pub(super) fn shrink(&self, id: AccountId, bytes: usize) {
        let now = self.clock.now();
        self.budget.borrow_mut().shrink(id, bytes, now);
        self.released.notify_waiters();
    }

    /// Records what an account is used for, and that there was progress.
    pub(super) fn set_holding(&self, id: AccountId, holding: Holding) {
        let now = self.clock.now();
        self.budget.borrow_mut().set_holding(id, holding, now);
    }

    pub(super) fn close(&self, id: AccountId) {
        self.budget.borrow_mut().close(id);
        self.open.borrow_mut().remove(&id);
        self.released.notify_waiters();
    }
}
