use crate::{Difference, StoreError};

/// Reasons for which an apply fails.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// Another operator changed the configuration first; this apply had no effect.
    #[error(
        "conflict: revision {found} by {author} is held, but this apply builds on revision {expected}; nothing was written"
    )]
    Conflict {
        /// Document revision on which this apply builds.
        expected: u64,
        /// Document revision stored by the platform.
        found: u64,
        /// Author of the stored revision.
        author: String,
        /// Difference from the stored document to the configuration of this apply.
        difference: Box<Difference>,
    },
    /// The platform was restored to an older state; the daemons write the newer document back.
    #[error(
        "platform holds revision {found}, but revision {in_force} is in force; try again when the daemons have written it back"
    )]
    PlatformBehind {
        /// Document revision stored by the platform; 0 if there is no document.
        found: u64,
        /// Document revision in force at the daemons.
        in_force: u64,
    },
    /// The platform could not be reached before the retries ended; nothing was written.
    #[error("nothing was written: {cause}")]
    NotWritten {
        /// Failure of the last attempt.
        cause: StoreError,
    },
    /// The write may have taken effect, but this could not be determined.
    #[error("outcome is unknown, look for apply identity {apply_id}: {reason}")]
    OutcomeUnknown {
        /// Apply identity to search for in the stored document to learn the outcome later.
        apply_id: String,
        /// Why the outcome could not be determined.
        reason: String,
    },
    /// The stored document has no readable header.
    #[error("platform holds a document without a readable header")]
    Unreadable,
}
