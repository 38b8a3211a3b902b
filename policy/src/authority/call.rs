use super::{HolderRecord, LockRecord};

/// A call to the platform or the engines that a [`Lease`](super::Lease) needs; log lines print the
/// names of its variants and fields, and those of [`Answer`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// Read the lock record.
    ReadLock,
    /// Open a platform lease.
    OpenLease,
    /// Create the lock record under a platform lease, unless one exists.
    CreateLock(LockRecord),
    /// Read the holder record.
    ReadRecord,
    /// Read the highest fencing token from the engines of the data centre.
    QueryFences,
    /// Write the holder record.
    WriteRecord {
        /// Revision that the stored record must have, 0 when there must be none.
        expect: u64,
        /// The new record.
        record: HolderRecord,
    },
    /// Renew a platform lease.
    KeepAlive(u64),
    /// End a platform lease, which deletes the lock record.
    Revoke(u64),
}

/// The outcome of a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The lock record, if there is one, and its revision.
    Lock(Option<(LockRecord, u64)>),
    /// Identity of the platform lease.
    Granted(u64),
    /// The record was written and has this revision.
    Written(u64),
    /// The record has another revision; nothing was written.
    Conflict,
    /// The holder record, if there is one, and its revision.
    HolderRecord(Option<(HolderRecord, u64)>),
    /// The highest fencing token that an engine reported, 0 for none.
    HighestFence(u64),
    /// The platform lease was renewed or ended as requested.
    Done,
    /// The platform lease no longer exists.
    Ended,
    /// The call had no effect.
    Failed,
    /// The call may have taken effect; its answer was lost.
    Lost,
}
