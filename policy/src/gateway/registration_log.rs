use std::collections::VecDeque;

use super::{RegistrationChange, RegistrationContent};

/// Maximum size of the changes that are kept: those of the replacement of a hundred endpoints.
const BYTES_MAX: usize = 64 << 10;

/// Latest changes of registrations, for daemons that have missed them.
#[derive(Debug, Default)]
pub(super) struct RegistrationLog {
    /// Revision after which all changes are kept.
    after: u64,
    /// Kept changes, oldest first.
    changes: VecDeque<RegistrationChange>,
    bytes: usize,
}

impl RegistrationLog {
    /// Forgets all changes; those after the revision follow.
    pub(super) fn restart(&mut self, revision: u64) {
        *self = Self {
            after: revision,
            ..Self::default()
        };
    }

    /// Adds changes, oldest first.
    pub(super) fn extend(&mut self, changes: impl IntoIterator<Item = RegistrationChange>) {
        for change in changes {
            self.bytes += size(&change);
            self.changes.push_back(change);
        }
        while self.bytes > BYTES_MAX
            && let Some(oldest) = self.changes.pop_front()
        {
            self.bytes -= size(&oldest);
            self.after = oldest.revision;
        }
        // Changes of one revision are kept or forgotten together.
        while let Some(oldest) = self.changes.front()
            && oldest.revision <= self.after
        {
            self.bytes -= size(oldest);
            self.changes.pop_front();
        }
    }

    /// Returns the changes after a revision, oldest first, or `None` if some are not kept.
    pub(super) fn since(&self, revision: u64) -> Option<Vec<RegistrationChange>> {
        if revision < self.after {
            return None;
        }
        let changes = self.changes.iter();
        let later = changes.filter(|change| change.revision > revision);
        Some(later.cloned().collect())
    }
}

/// Returns the bytes of a change.
pub(super) fn size(change: &RegistrationChange) -> usize {
    let value_bytes = match &change.content {
        RegistrationContent::Written(value) => value.len(),
        RegistrationContent::Unreadable | RegistrationContent::Removed => 0,
    };
    change.key.len() + value_bytes
}
