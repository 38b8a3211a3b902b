use super::KeyChange;
use crate::Instant;

/// Changes of keys that a version of the configuration made, or a part of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyChanges {
    /// Version of the configuration with the changes.
    pub version: u64,
    /// Version with which it was compared.
    pub after: u64,
    /// Number of this part among those of the same versions.
    pub part: u32,
    /// When a daemon applied the version.
    pub applied_at: Instant,
    /// The changes, those of removed keys first.
    pub changes: Vec<KeyChange>,
}
