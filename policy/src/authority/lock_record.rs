use serde::{Deserialize, Serialize};

use super::Holder;

/// Lock record of a data centre; it is attached to a platform lease and deleted when the lease
/// expires or is ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LockRecord {
    /// The daemon that wrote the record.
    pub holder: Holder,
    /// Platform lease to which the record is attached; distinguishes two attempts of one daemon.
    pub lease: u64,
}
