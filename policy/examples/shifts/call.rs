use ragwortgrade_schema::Name;

/// What became of a call of the trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Answered completely and on time.
    InTime,
    /// Answered too late, too slowly, or not at all.
    Late,
    /// Refused without running.
    Refused,
}

/// A call of the trace while it runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Call {
    /// Daemon that received it.
    pub(crate) daemon: usize,
    /// Counts the dispatches; events of an older one are ignored.
    pub(crate) attempt: u32,
    /// Engine or worker that answers.
    pub(crate) endpoint: Option<usize>,
    /// Engine that computes the prompt for another one.
    pub(crate) prefill: Option<usize>,
    /// Priority towards the engines.
    pub(crate) priority: u8,
    /// Tokens of earlier attempts.
    pub(crate) tokens: u32,
    /// Gaps over the limit in earlier attempts.
    pub(crate) long_gaps: u32,
    /// When the caller saw the first token, in microseconds.
    pub(crate) first_token: Option<u64>,
    /// Endpoints that failed it.
    pub(crate) avoid: Vec<Name>,
    /// The outcome.
    pub(crate) verdict: Option<Verdict>,
}
