/// Work that a daemon dispatched to an engine or worker.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Index of the call in the trace.
    pub(crate) call: usize,
    /// Attempt of the call; results of earlier attempts are ignored.
    pub(crate) attempt: u32,
    /// Jobs with a higher priority are started first.
    pub(crate) priority: u8,
    pub(crate) stage: Stage,
    /// Tokens of the prompt, including output of earlier attempts.
    pub(crate) prompt: u32,
    /// Output tokens to generate.
    pub(crate) output: u32,
    /// Identity of the shared prefix and its length in tokens.
    pub(crate) prefix: Option<(u64, u32)>,
}

/// Part of a request that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Prefill and decode.
    Whole,
    /// Prefill, whose KV cache another engine fetches.
    Export,
    /// Decode with a fetched KV cache.
    Import,
}

/// Result of a step of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StepOutput {
    /// First token of an attempt.
    FirstToken {
        /// Index of the call.
        call: usize,
        /// Attempt of the call.
        attempt: u32,
    },
    /// Last token of an attempt.
    Finished {
        /// Index of the call.
        call: usize,
        /// Attempt of the call.
        attempt: u32,
        /// Gaps between tokens over the limit in this attempt.
        long_gaps: u32,
    },
    /// KV cache of a prompt, ready to be fetched.
    Exported {
        /// Index of the call.
        call: usize,
        /// Attempt of the call.
        attempt: u32,
        /// Blocks that stay reserved until it has been fetched.
        blocks: u32,
    },
}

/// A call that was on an engine when it crashed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostCall {
    /// Index of the call.
    pub(crate) call: usize,
    /// Attempt of the call.
    pub(crate) attempt: u32,
    /// Tokens generated in this attempt.
    pub(crate) tokens: u32,
    /// Gaps between tokens over the limit in this attempt.
    pub(crate) long_gaps: u32,
}
