use std::collections::HashMap;
use std::net::IpAddr;

use super::memory_account::{Account, AccountId, Holding};
use super::memory_grant::Grant;
use crate::Instant;

/// Memory of one request, in bytes, up to which the reserve is open to it: a head, and a body of 72 KB,
/// which most callers stay below.
const SMALL_BYTES_MAX: usize = 128 << 10;
/// Fraction of the budget that is kept for accounts of at most [`SMALL_BYTES_MAX`].
const RESERVE_FRACTION: f64 = 0.25;

/// Bounds what is held for callers over all connections.
///
/// Load addressed: many callers that each stay within the limit for one request and together exceed the
/// memory, with bodies that never end or responses that they never read. Their memory is taken from
/// those that hold it without progress, from the address that holds most first; a request whose body is
/// complete keeps its memory, as work was spent on it.
#[derive(Debug)]
pub struct MemoryBudget {
    bytes_max: usize,
    used: usize,
    next_id: u64,
    accounts: HashMap<u64, Account>,
}

impl MemoryBudget {
    /// Creates a budget of this many bytes.
    #[must_use]
    pub fn new(bytes_max: usize) -> Self {
        Self {
            bytes_max,
            used: 0,
            next_id: 0,
            accounts: HashMap::new(),
        }
    }

    /// Opens an account for a request of this client, which holds nothing yet.
    pub fn open(&mut self, client: IpAddr, now: Instant) -> AccountId {
        let id = self.next_id;
        self.next_id += 1;
        let account = Account {
            client,
            bytes: 0,
            holding: Holding::Unfinished,
            progress_at: now,
            is_evicted: false,
        };
        self.accounts.insert(id, account);
        AccountId(id)
    }

    /// Asks for further bytes for an account.
    pub fn grow(&mut self, id: AccountId, bytes: usize, now: Instant) -> Grant {
        let Some(account) = self.accounts.get(&id.0) else {
            return Grant::Refused;
        };
        if account.is_evicted {
            return Grant::Refused;
        }
        let after = account.bytes.saturating_add(bytes);
        let limit = self.limit(after);
        if self.used.saturating_add(bytes) <= limit {
            self.used += bytes;
            if let Some(account) = self.accounts.get_mut(&id.0) {
                account.bytes = after;
                account.progress_at = now;
            }
            return Grant::Granted;
        }
        self.evict_for(id, bytes, limit, now)
    }

    /// Returns memory of an account.
    pub fn shrink(&mut self, id: AccountId, bytes: usize, now: Instant) {
        if let Some(account) = self.accounts.get_mut(&id.0) {
            let released = bytes.min(account.bytes);
            account.bytes -= released;
            account.progress_at = now;
            self.used -= released;
        }
    }

    /// Records what the memory of an account is held for, and that there was progress.
    pub fn set_holding(&mut self, id: AccountId, holding: Holding, now: Instant) {
        if let Some(account) = self.accounts.get_mut(&id.0) {
            account.holding = holding;
            account.progress_at = now;
        }
    }

    /// Closes an account and returns its memory.
    pub fn close(&mut self, id: AccountId) {
        if let Some(account) = self.accounts.remove(&id.0) {
            self.used -= account.bytes;
        }
    }

    /// Returns the bytes that all accounts hold.
    #[must_use]
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Returns the limit on all accounts for one that would hold `bytes`: larger ones leave the reserve.
    fn limit(&self, bytes: usize) -> usize {
        if bytes <= SMALL_BYTES_MAX {
            return self.bytes_max;
        }
        self.bytes_max - (self.bytes_max as f64 * RESERVE_FRACTION) as usize
    }

    fn evict_for(&mut self, id: AccountId, bytes: usize, limit: usize, now: Instant) -> Grant {
        let leaving = self.accounts.values().filter(|it| it.is_evicted);
        let leaving: usize = leaving.map(|it| it.bytes).sum();
        let needed = (self.used + bytes).saturating_sub(limit);
        if leaving >= needed {
            return Grant::Wait;
        }
        let mut by_client: HashMap<IpAddr, usize> = HashMap::new();
        for account in self.accounts.values() {
            *by_client.entry(account.client).or_default() += account.bytes;
        }
        let mut candidates: Vec<(u64, &Account)> = self
            .accounts
            .iter()
            .filter(|(_, it)| it.is_evictable(now))
            .map(|(id, account)| (*id, account))
            .collect();
        let rank = |id: u64, account: &Account| {
            let client_bytes = by_client.get(&account.client).copied();
            (account.is_stalled(now), client_bytes, account.bytes, id)
        };
        candidates.sort_by_key(|(id, account)| std::cmp::Reverse(rank(*id, account)));
        let mut freed = leaving;
        let mut chosen = Vec::new();
        for (candidate, account) in candidates {
            // An account that would be closed next itself gets no memory of others.
            if candidate == id.0 {
                return Grant::Refused;
            }
            chosen.push(candidate);
            freed += account.bytes;
            if freed >= needed {
                for evicted in &chosen {
                    if let Some(account) = self.accounts.get_mut(evicted) {
                        account.is_evicted = true;
                    }
                }
                return Grant::Evict(chosen.into_iter().map(AccountId).collect());
            }
        }
        Grant::Refused
    }
}
