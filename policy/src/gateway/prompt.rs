use ragwortgrade_schema::Name;

/// Tokens from which a part is long. Its prefill takes 10 ms, several times as long as a network
/// round trip between data centres.
const LONG_PART_TOKENS: u32 = 1_000;

/// Description of a generation's prompt, as given by the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Requested model.
    pub model: Option<Name>,
    /// Length of the whole prompt in tokens.
    pub tokens: u32,
    /// Maximum number of output tokens.
    pub output_tokens_max: u32,
    /// Caller's estimate of the number of output tokens; accurate at the median but often far off.
    pub output_tokens_hint: Option<u32>,
    /// Parts of the prompt in order; all but the last are shared with other requests.
    pub parts: Vec<Part>,
}

/// A part of a prompt that engines cache as a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identity of the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

impl Part {
    /// Returns whether prefilling the part again takes longer than a network round trip between
    /// data centres.
    #[must_use]
    pub const fn is_long(&self) -> bool {
        self.tokens >= LONG_PART_TOKENS
    }
}

impl Prompt {
    /// Returns the parts that other requests share: all but the last.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the identities of the shared parts as hexadecimal text, separated by commas.
    #[must_use]
    pub fn shared_ids(&self) -> String {
        let ids = self.shared().iter().map(|part| format!("{:x}", part.id));
        ids.collect::<Vec<_>>().join(",")
    }

    /// Returns the number of tokens in the shared parts.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }

    /// Returns whether any shared part is long.
    #[must_use]
    pub fn shares_long_part(&self) -> bool {
        self.shared().iter().any(Part::is_long)
    }

    /// Returns the identity of the last shared part, by which requests with the same shared prefix
    /// are routed to the same engine.
    #[must_use]
    pub fn affinity_key(&self) -> Option<u64> {
        self.shared().last().map(|part| part.id)
    }
}
