use crate::{Difference, StoreError};

/// Why an apply did not succeed.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// Another operator changed the configuration; this apply had no effect.
    #[error(
        "conflict: revision {found} by {author} is held, but this apply builds on revision {expected}; nothing was written"
    )]
    Conflict {
        /// Document revision on which this apply builds.
        expected: u64,
        /// Document revision that the platform holds.
        found: u64,
        /// Who applied it.
        author: String,
        /// From what is held to what this apply wants.
        difference: Box<Difference>,
    },
    /// The platform came back with older data; the daemons write the newer document back.
    #[error(
        "platform holds revision {found}, but revision {in_force} is in force; try again when the daemons have written it back"
    )]
    PlatformBehind {
        /// Document revision that the platform holds, 0 for none.
        found: u64,
        /// Document revision that a daemon reports.
        in_force: u64,
    },
    /// The platform could not be reached in the given time; nothing was written.
    #[error("nothing was written: {cause}")]
    NotWritten {
        /// The last failure.
        cause: StoreError,
    },
    /// The write may have taken effect; the platform did not say in the given time.
    #[error("outcome is unknown, look for apply identity {apply_id}: {reason}")]
    OutcomeUnknown {
        /// Identity by which the outcome can be told later.
        apply_id: String,
        /// What prevented the answer.
        reason: String,
    },
    /// What the platform holds is not a configuration.
    #[error("platform holds a document without a readable header")]
    Unreadable,
}
