use ragwortgrade_schema::Name;

use super::KeyDigest;

/// Change of one key between two versions of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyChange {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Tenant that has the key, or had it if it is removed.
    pub tenant: Name,
    /// Rank of the tenant's requests, if it takes precedence over that of the route.
    pub rank: Option<u8>,
    /// Whether the key is removed.
    pub is_removed: bool,
}
