use serde::{Deserialize, Serialize};

/// One effect of a call on the world behind a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Effect {
    /// Value of `X-Request-Key`.
    pub request_key: String,
    /// Value of `X-Attempt-Id`.
    pub attempt: String,
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Body of the call; load generators put their own order numbers into it.
    pub body: String,
    /// Unix time in milliseconds.
    pub at_ms: u64,
}
