use sha2::{Digest as _, Sha256};

/// Returns a digest of 128 bits of a sequence of texts; the length of each is part of the input, so
/// that sequences with the same concatenation differ.
///
/// SHA-256 is used because callers choose the texts: with a weaker hash, one workspace could forge
/// a collision with the idempotency key or content of another.
pub(crate) fn digest(parts: &[&[u8]]) -> u128 {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let bytes: [u8; 32] = hash.finalize().into();
    bytes
        .iter()
        .take(size_of::<u128>())
        .fold(0, |digest, byte| (digest << 8) | u128::from(*byte))
}
