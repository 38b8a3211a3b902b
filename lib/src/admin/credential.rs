use std::fmt;

use hmac::{Hmac, KeyInit as _, Mac as _};
use sha2::Sha256;

/// An operator's key, which signs and verifies requests.
#[derive(Clone)]
pub struct Credential {
    id: String,
    secret: Vec<u8>,
}

impl Credential {
    /// Parses a key of the form `<id>:<secret in hexadecimal>`; `None` if it is malformed.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (id, secret) = text.trim().split_once(':')?;
        Self::open(id, secret)
    }

    /// Creates a credential from a key's name and its secret in hexadecimal; `None` if either is
    /// empty or the secret is malformed.
    #[must_use]
    pub fn open(id: &str, secret: &str) -> Option<Self> {
        let secret = hex::decode(secret).ok()?;
        let is_usable = !id.is_empty() && !secret.is_empty();
        is_usable.then(|| Self {
            id: id.to_owned(),
            secret,
        })
    }

    /// Returns the header value that signs a request.
    #[must_use]
    pub fn sign(&self, method: &str, path: &str, unix_ms: u64, body: &[u8]) -> String {
        let mac = self.mac(method, path, unix_ms, body);
        let hmac = mac.map_or_else(String::new, |mac| hex::encode(mac.finalize().into_bytes()));
        format!("{}:{unix_ms}:{hmac}", self.id)
    }

    /// Verifies the HMAC of a request in constant time.
    pub(super) fn verify(
        &self,
        method: &str,
        path: &str,
        unix_ms: u64,
        body: &[u8],
        hmac: &[u8],
    ) -> bool {
        self.mac(method, path, unix_ms, body)
            .is_some_and(|mac| mac.verify_slice(hmac).is_ok())
    }

    /// Computes the HMAC of a request. The fields are separated by line feeds, which only the body
    /// can contain, so different requests never have the same signed text.
    fn mac(&self, method: &str, path: &str, unix_ms: u64, body: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).ok()?;
        mac.update(format!("{method}\n{path}\n{unix_ms}\n").as_bytes());
        mac.update(body);
        Some(mac)
    }
}

impl fmt::Debug for Credential {
    /// Prints only the key's name, so that no secret is logged.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Credential")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}
