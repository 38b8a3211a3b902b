use std::time::Duration;

use ragwortgrade_schema::Name;

use super::{ApiKey, Prompt};

/// Metadata of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identity of the request, as given by the caller.
    pub id: Option<Name>,
    /// Requested host.
    pub host: Name,
    /// Path without the query.
    pub path: Name,
    /// Key of the caller's tenant.
    pub api_key: Option<ApiKey>,
    /// Time that the caller waits, counted from arrival.
    pub deadline: Option<Duration>,
    /// Prompt of a generation.
    pub prompt: Prompt,
    /// Last event that the caller received of a stream that it resumes.
    pub last_event: Option<u64>,
}
