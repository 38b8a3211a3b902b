use serde::Serialize;

/// Stable error codes in responses to callers, whose programs depend on the spelling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request does not follow the protocol, or an endpoint refused it as invalid.
    Malformed,
    /// The workspace is not declared.
    UnknownWorkspace,
    /// The model is not declared.
    UnknownModel,
    /// The service is not declared, or the workspace may not call it.
    UnknownService,
    /// The caller took too long to send its request.
    SlowSender,
    /// The idempotency key was used with another request.
    KeyConflict,
    /// The request with this idempotency key is still running.
    InProgress,
    /// The body exceeds the limit.
    TooLarge,
    /// The headers exceed the limits.
    TooManyHeaders,
    /// A limit is reached: the workspace's rate, or the daemon's number of open connections, number
    /// of open requests or memory for bodies.
    OverLimit,
    /// The deadline cannot be met or has passed.
    DeadlineUnreachable,
    /// No endpoint that serves the model or service is available.
    NoEndpoint,
    /// The daemon is draining before it stops.
    Draining,
    /// No claim can be obtained for a request that must not run twice.
    ClaimsUnavailable,
    /// The daemon has no configuration yet.
    NotConfigured,
    /// The content of the request has crashed two endpoints.
    CrashesEndpoints,
    /// The request was sent and its outcome is unknown.
    OutcomeUnknown,
    /// The engines failed the request, and it is not retried again.
    EndpointFailed,
}

impl Code {
    /// All codes.
    pub const ALL: [Self; 18] = [
        Self::Malformed,
        Self::UnknownWorkspace,
        Self::UnknownModel,
        Self::UnknownService,
        Self::SlowSender,
        Self::KeyConflict,
        Self::InProgress,
        Self::TooLarge,
        Self::TooManyHeaders,
        Self::OverLimit,
        Self::DeadlineUnreachable,
        Self::NoEndpoint,
        Self::Draining,
        Self::ClaimsUnavailable,
        Self::NotConfigured,
        Self::CrashesEndpoints,
        Self::OutcomeUnknown,
        Self::EndpointFailed,
    ];

    /// Returns the HTTP status of responses with this code.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::UnknownWorkspace => 403,
            Self::UnknownModel | Self::UnknownService => 404,
            Self::SlowSender => 408,
            Self::InProgress => 409,
            Self::TooLarge => 413,
            Self::KeyConflict | Self::CrashesEndpoints => 422,
            Self::OverLimit => 429,
            Self::TooManyHeaders => 431,
            Self::EndpointFailed => 502,
            Self::DeadlineUnreachable
            | Self::NoEndpoint
            | Self::Draining
            | Self::ClaimsUnavailable
            | Self::NotConfigured => 503,
            Self::OutcomeUnknown => 504,
        }
    }

    /// Returns after how many milliseconds a retry may succeed; 0 when no time is known.
    #[must_use]
    pub fn retry_after_ms(self) -> u64 {
        match self {
            Self::InProgress | Self::OverLimit | Self::NoEndpoint | Self::ClaimsUnavailable => {
                1_000
            }
            Self::DeadlineUnreachable | Self::Draining | Self::NotConfigured => 500,
            _ => 0,
        }
    }
}
