/// Work that a daemon gave to an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The call, as index into the trace.
    pub(crate) call: usize,
    /// Attempt of the call; work of an older attempt has no effect.
    pub(crate) attempt: u32,
    /// Higher goes first.
    pub(crate) priority: u8,
    /// What the engine does.
    pub(crate) stage: Stage,
    /// Tokens whose KV cache the sequence needs before its first new token.
    pub(crate) prompt: u32,
    /// Tokens to produce.
    pub(crate) output: u32,
    /// Shared prefix and its length.
    pub(crate) prefix: Option<(u64, u32)>,
}

/// Part of a request that an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Prefill and decode.
    Whole,
    /// Prefill whose KV cache another engine fetches.
    Export,
    /// Decode with a fetched KV cache.
    Import,
}

/// What a step of an engine produced.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Product {
    /// A call's first token of this attempt.
    FirstToken {
        /// The call.
        call: usize,
        /// Its attempt.
        attempt: u32,
    },
    /// The last token.
    Finished {
        /// The call.
        call: usize,
        /// Its attempt.
        attempt: u32,
        /// Gaps over the limit in this attempt.
        long_gaps: u32,
    },
    /// A prompt's KV cache is ready to be fetched.
    Exported {
        /// The call.
        call: usize,
        /// Its attempt.
        attempt: u32,
        /// Blocks held until it has been fetched.
        blocks: u32,
    },
}

/// A call that was on an engine when it crashed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lost {
    /// The call.
    pub(crate) call: usize,
    /// Its attempt.
    pub(crate) attempt: u32,
    /// Tokens produced in this attempt.
    pub(crate) tokens: u32,
    /// Gaps over the limit in this attempt.
    pub(crate) long_gaps: u32,
}
