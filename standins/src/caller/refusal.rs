use serde::Deserialize;

/// Error response of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Error code.
    pub code: String,
    /// Whether the daemon guarantees that the request did not run.
    pub is_not_run: bool,
    /// Time after which a retry may succeed, in milliseconds.
    pub retry_after_ms: u64,
}

#[derive(Deserialize)]
struct Document {
    error: Fields,
}

#[derive(Deserialize)]
struct Fields {
    code: String,
    ran: String,
    #[serde(default)]
    retry_after_ms: u64,
}

impl Refusal {
    /// Parses the JSON body of an error response.
    pub(super) fn parse(status: u16, body: &str) -> Option<Self> {
        let document: Document = serde_json::from_str(body).ok()?;
        Some(Self {
            status,
            code: document.error.code,
            is_not_run: document.error.ran == "no",
            retry_after_ms: document.error.retry_after_ms,
        })
    }
}
