use std::hash::Hasher as _;

use xxhash_rust::xxh3::Xxh3;

use super::Part;

/// Identities by which requests that crash endpoints are recognized.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fingerprint {
    /// Shared parts of the prompt, in its order.
    pub shared_parts: Vec<u64>,
    /// Digest of everything that an endpoint is sent, equal on all daemons.
    pub content: u64,
}

impl Fingerprint {
    /// Creates the fingerprint of a request with the prompt `parts` and these fields, such as its
    /// method, path and body.
    #[must_use]
    pub fn new(parts: &[Part], fields: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        for field in fields {
            hasher.write_u64(field.len() as u64);
            hasher.write(field);
        }
        for part in parts {
            hasher.write_u64(part.id);
        }
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        Self {
            shared_parts: shared.iter().map(|part| part.id).collect(),
            content: hasher.finish(),
        }
    }

    /// Returns the identities, the most specific one last.
    pub fn identities(&self) -> impl Iterator<Item = u64> {
        let parts = self.shared_parts.iter().copied();
        parts.chain(std::iter::once(self.content))
    }
}
