use ragwortgrade_schema::Name;

use super::RegistrationSource;
use crate::Instant;

/// Changes of registrations that one daemon has read and hands on to the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistrationBatch {
    /// Whose registrations they are.
    pub source: RegistrationSource,
    /// Era of the store; revisions of different eras cannot be compared.
    pub era: Option<u64>,
    /// Revision after which the batch has all changes.
    pub after: u64,
    /// Revision up to which it has them.
    pub revision: u64,
    /// When the source had no later changes.
    pub read_at: Instant,
    /// Changes, oldest first.
    pub changes: Vec<RegistrationChange>,
}

/// Change of one registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistrationChange {
    /// Key of the registration.
    pub key: Name,
    /// Revision of the change.
    pub revision: u64,
    /// What was written.
    pub content: RegistrationContent,
}

/// Content of a changed registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistrationContent {
    /// These bytes were written.
    Written(Vec<u8>),
    /// What was written cannot be decoded.
    Unreadable,
    /// The registration has ended.
    Removed,
}
