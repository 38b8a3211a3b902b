use ragwortgrade_schema::Name;

use super::{RegistrationSource, registration_log};
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
    /// Whether the daemon that hands it on was in contact with the source all the while, so that a
    /// registration that ended has not only lapsed in an outage.
    pub is_vouched: bool,
    /// Changes, oldest first.
    pub changes: Vec<RegistrationChange>,
}

impl RegistrationBatch {
    /// Returns the size of the changes in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.changes.iter().map(registration_log::size).sum()
    }

    /// Splits the batch into some that follow each other, each with at most `bytes_max` bytes of
    /// changes unless those of one revision are larger.
    #[must_use]
    pub fn split(self, bytes_max: usize) -> Vec<Self> {
        let last_revision = self.revision;
        let head = |after| Self {
            after,
            changes: Vec::new(),
            ..self.clone()
        };
        let mut batches = vec![head(self.after)];
        let mut bytes = 0;
        let mut revision = self.after;
        for change in &self.changes {
            let change_bytes = registration_log::size(change);
            if bytes > 0 && bytes + change_bytes > bytes_max && change.revision > revision {
                if let Some(batch) = batches.last_mut() {
                    batch.revision = revision;
                }
                batches.push(head(revision));
                bytes = 0;
            }
            bytes += change_bytes;
            revision = change.revision;
            if let Some(batch) = batches.last_mut() {
                batch.changes.push(change.clone());
            }
        }
        if let Some(batch) = batches.last_mut() {
            batch.revision = last_revision;
        }
        batches
    }
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
