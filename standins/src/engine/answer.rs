use ragwortgrade_schema::engine::Completion;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Length of the answer to a request without `max_tokens`.
pub(super) const DEFAULT_ANSWER_TOKENS: u32 = 16;
/// Prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// Returns the token at `index` of the answer to `completion`.
///
/// It depends only on the model and the messages. Every engine generates the same answer, so tests
/// can compare answers byte for byte.
#[must_use]
pub fn answer_token(completion: &Completion, index: u32) -> String {
    token(content_hash(completion), index)
}

/// Hashes the model and the messages, which determine the answer.
pub(super) fn content_hash(completion: &Completion) -> u64 {
    let mut hash = xxh3_64(completion.model.as_bytes());
    for message in &completion.messages {
        hash = xxh3_64_with_seed(message.role.as_bytes(), hash);
        hash = xxh3_64_with_seed(message.content.as_bytes(), hash);
    }
    hash
}

/// Returns the token at `index` of the answer with this content hash.
pub(super) fn token(content_hash: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), content_hash);
    format!(" {hash:016x}")
}

/// Returns the number of tokens in a text.
pub(super) fn token_count(text: &str) -> u32 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u32
}
