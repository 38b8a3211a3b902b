use super::memory_account::AccountId;

/// Answer to a request for memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The bytes are counted.
    Granted,
    /// Nothing is counted. These accounts, which must be closed, hold enough.
    Evict(Vec<AccountId>),
    /// Nothing is counted; accounts that are being closed will release enough.
    Wait,
    /// Nothing is counted and no other account is to be closed.
    Refused,
}
