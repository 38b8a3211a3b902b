use serde::{Deserialize, Serialize};

/// Side effect of a call to a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Effect {
    /// Value of `X-Request-Key`.
    pub request_key: String,
    /// Value of `X-Attempt-Id`.
    pub attempt: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Body of the call; load generators identify their orders by it.
    pub body: String,
    /// Unix time of the effect in milliseconds.
    pub at_ms: u64,
}
