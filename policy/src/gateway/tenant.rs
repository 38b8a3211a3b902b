use ragwortgrade_schema::Name;

use super::ApiKey;

/// Party whose requests carry one of its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: Name,
    /// Keys that its requests may carry.
    pub keys: Vec<ApiKey>,
    /// Rank of its requests, which takes precedence over that of the route; 0 is the most urgent.
    pub rank: Option<u8>,
}
