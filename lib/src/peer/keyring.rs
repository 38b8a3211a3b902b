use std::collections::BTreeMap;
use std::fmt;

use hmac::{Hmac, KeyInit as _, Mac as _};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::settings::Keys;
use sha2::Sha256;

/// The shared keys with which daemons prove to each other that they belong together.
///
/// All keys are accepted and one is used, so a key is rotated by adding the new one everywhere,
/// switching to it, and removing the old one.
#[derive(Clone)]
pub struct Keyring {
    keys: BTreeMap<String, Vec<u8>>,
    active: Name,
}

impl Keyring {
    /// Takes the peer keys from checked settings; `None` when a key is not hexadecimal or the
    /// active one is missing.
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

    /// Returns the identity of the key in use.
    #[must_use]
    pub fn active(&self) -> &Name {
        &self.active
    }

    /// Computes the code of `message` under the key `id`.
    #[must_use]
    pub fn sign(&self, id: &str, message: &[u8]) -> Option<String> {
        Some(hex::encode(self.mac(id, message)?.finalize().into_bytes()))
    }

    /// Checks a code in constant time.
    #[must_use]
    pub fn verify(&self, id: &str, message: &[u8], code: &str) -> bool {
        let Ok(code) = hex::decode(code) else {
            return false;
        };
        self.mac(id, message)
            .is_some_and(|mac| mac.verify_slice(&code).is_ok())
    }

    fn mac(&self, id: &str, message: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.keys.get(id)?).ok()?;
        mac.update(message);
        Some(mac)
    }
}

impl fmt::Debug for Keyring {
    /// Shows identities only; keys never reach a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keyring")
            .field("active", &self.active)
            .finish_non_exhaustive()
    }
}
