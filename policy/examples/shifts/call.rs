use ragwortgrade_schema::Name;

/// Result of a call of the trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Answered completely, with the first token before its deadline and few long gaps between
    /// tokens.
    InTime,
    /// First token too late, too many long gaps, or no complete answer.
    Late,
    /// Refused without running.
    Refused,
}

/// State of a call of the trace.
#[derive(Clone, Debug, Default)]
pub(crate) struct Call {
    /// Daemon that received it.
    pub(crate) daemon: usize,
    /// Incremented by each dispatch and each failure; events of earlier attempts are ignored.
    pub(crate) attempt: u32,
    /// Index of the engine or worker that answers.
    pub(crate) endpoint: Option<usize>,
    /// Index of the engine that runs a remote prefill.
    pub(crate) prefill: Option<usize>,
    /// Priority in the queues of the engines.
    pub(crate) priority: u8,
    /// Output tokens of earlier attempts.
    pub(crate) tokens: u32,
    /// Gaps between tokens over the limit in earlier attempts.
    pub(crate) long_gaps: u32,
    /// Time at which the caller received the first token, in microseconds.
    pub(crate) first_token: Option<u64>,
    /// Endpoints that failed or refused the call; the router avoids them.
    pub(crate) avoid: Vec<Name>,
    /// Set once the call is closed.
    pub(crate) outcome: Option<Outcome>,
}
