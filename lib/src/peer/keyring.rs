use std::collections::BTreeMap;
use std::fmt;

use hmac::{Hmac, KeyInit as _, Mac as _};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::settings::Keys;
use sha2::Sha256;

/// Shared keys with which daemons authenticate each other.
///
/// Every key is accepted, and the active one is used for new connections. A key is rotated by
/// adding the new one to all daemons, making it active, and removing the old one.
#[derive(Clone)]
pub struct Keyring {
    keys: BTreeMap<String, Vec<u8>>,
    active: Name,
}

impl Keyring {
    /// Creates the keyring from validated settings; `None` if a key is not hexadecimal or the
    /// active key is missing.
    #[must_use]
    pub fn open(keys: &Keys) -> Option<Self> {
        let mut decoded = BTreeMap::new();
        for (id, key) in &keys.peer {
            decoded.insert(id.clone(), hex::decode(key).ok()?);
        }
        let active = keys.peer_active.clone();
        decoded.contains_key(active.as_str()).then_some(Self {
            keys: decoded,
            active,
        })
    }

    /// Returns the name of the key for new connections.
    #[must_use]
    pub fn active(&self) -> &Name {
        &self.active
    }

    /// Returns the HMAC of `message` in hexadecimal; `None` if there is no key `id`.
    #[must_use]
    pub fn sign(&self, id: &str, message: &[u8]) -> Option<String> {
        Some(hex::encode(self.mac(id, message)?.finalize().into_bytes()))
    }

    /// Verifies an HMAC in constant time.
    #[must_use]
    pub fn verify(&self, id: &str, message: &[u8], hmac: &str) -> bool {
        let Ok(hmac) = hex::decode(hmac) else {
            return false;
        };
        self.mac(id, message)
            .is_some_and(|mac| mac.verify_slice(&hmac).is_ok())
    }

    fn mac(&self, id: &str, message: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.keys.get(id)?).ok()?;
        mac.update(message);
        Some(mac)
    }
}

impl fmt::Debug for Keyring {
    /// Prints only the name of the active key, so that no secret is logged.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keyring")
            .field("active", &self.active)
            .finish_non_exhaustive()
    }
}
