use std::fmt;

use sha2::{Digest as _, Sha256};

use super::KeyDigest;

/// Key that a caller presents. Neither its bytes nor its length appear in debug output.
#[derive(Clone, PartialEq, Eq)]
pub struct ApiKey(Box<[u8]>);

impl ApiKey {
    /// Returns the key with these bytes; `None` if there are none.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (!bytes.is_empty()).then(|| Self(bytes.into()))
    }

    /// Returns the SHA-256 digest, by which the key is looked up, so that the time of a look-up
    /// says nothing about keys that resemble it.
    #[must_use]
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::new(Sha256::digest(&self.0).into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}
