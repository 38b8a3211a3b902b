use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use ragwortgrade_schema::settings::Keys;

use super::{Credential, Rejection};

/// Maximum difference between the time of a request and the daemon's clock, in either direction.
const WINDOW_MS: u64 = 30_000;
/// Minimum time for which a used HMAC is kept, from the time in its request: twice the window, so
/// that no request can be replayed after the clock is set back by up to the window.
const USED_HMAC_RETENTION_MS: u64 = 2 * WINDOW_MS;
/// Bounds the memory; an HMAC takes about 100 bytes with its entry.
const USED_HMACS_MAX: usize = 20_000;

/// Authenticates requests of operators and rejects replays.
#[derive(Debug)]
pub struct Authenticator {
    credentials: HashMap<String, Credential>,
    /// HMACs of accepted requests, with the time (Unix ms) until which each must be kept.
    used_hmacs: Mutex<HashMap<Vec<u8>, u64>>,
}

impl Authenticator {
    /// Creates an authenticator with the operators' keys from validated settings.
    #[must_use]
    pub fn open(keys: &Keys) -> Self {
        let credentials = keys.operator.iter().filter_map(|(id, secret)| {
            Credential::open(id, secret).map(|credential| (id.clone(), credential))
        });
        Self {
            credentials: credentials.collect(),
            used_hmacs: Mutex::default(),
        }
    }

    /// Authenticates one request at `now_ms` (Unix time); returns the name of the key.
    ///
    /// # Errors
    ///
    /// Returns the reason when the request is rejected.
    pub fn authenticate(
        &self,
        header: Option<&str>,
        method: &str,
        path: &str,
        body: &[u8],
        now_ms: u64,
    ) -> Result<&str, Rejection> {
        let signed = header
            .and_then(SignedHeader::parse)
            .ok_or(Rejection::Malformed)?;
        let (id, credential) = self
            .credentials
            .get_key_value(signed.id)
            .ok_or(Rejection::InvalidSignature)?;
        if !credential.verify(method, path, signed.unix_ms, body, &signed.hmac) {
            return Err(Rejection::InvalidSignature);
        }
        if signed.unix_ms.abs_diff(now_ms) > WINDOW_MS {
            return Err(Rejection::OutsideWindow);
        }
        self.reject_replay(signed, now_ms)?;
        Ok(id)
    }

    /// Rejects a request whose HMAC was used before, and records the HMAC otherwise. HMACs are
    /// compared as bytes, because the hexadecimal form is not unique.
    fn reject_replay(&self, signed: SignedHeader<'_>, now_ms: u64) -> Result<(), Rejection> {
        let mut used_hmacs = self
            .used_hmacs
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if used_hmacs.contains_key(&signed.hmac) {
            return Err(Rejection::Replayed);
        }
        if used_hmacs.len() >= USED_HMACS_MAX {
            used_hmacs.retain(|_, until| *until > now_ms);
        }
        if used_hmacs.len() >= USED_HMACS_MAX {
            return Err(Rejection::TooMany);
        }
        used_hmacs.insert(
            signed.hmac,
            signed.unix_ms.saturating_add(USED_HMAC_RETENTION_MS),
        );
        Ok(())
    }
}

/// Parsed value of the authentication header.
struct SignedHeader<'a> {
    id: &'a str,
    unix_ms: u64,
    hmac: Vec<u8>,
}

impl<'a> SignedHeader<'a> {
    fn parse(header: &'a str) -> Option<Self> {
        let (rest, hmac) = header.trim().rsplit_once(':')?;
        let (id, unix_ms) = rest.rsplit_once(':')?;
        Some(Self {
            id,
            unix_ms: unix_ms.parse().ok()?,
            hmac: hex::decode(hmac).ok()?,
        })
    }
}
