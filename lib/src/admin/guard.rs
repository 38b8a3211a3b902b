use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use ragwortgrade_schema::settings::Keys;

use super::{Credential, Rejection};

const WINDOW_MS: u64 = 30_000;
/// Twice the window, so that a clock that is set back by up to the window reopens no request.
const REMEMBERED_MS: u64 = 2 * WINDOW_MS;
/// About 100 bytes each.
const REMEMBERED_MAX: usize = 20_000;

/// Checks that requests come from an operator and are not repeated by someone else.
#[derive(Debug)]
pub struct Guard {
    credentials: HashMap<String, Credential>,
    seen: Mutex<HashMap<Vec<u8>, u64>>,
}

impl Guard {
    /// Takes the operators' keys from checked settings.
    #[must_use]
    pub fn open(keys: &Keys) -> Self {
        let credentials = keys.operator.iter().filter_map(|(id, secret)| {
            Credential::open(id, secret).map(|credential| (id.clone(), credential))
        });
        Self {
            credentials: credentials.collect(),
            seen: Mutex::default(),
        }
    }

    /// Checks one request at `now_ms`; returns the identity of the key.
    ///
    /// # Errors
    ///
    /// Returns why the request is rejected.
    pub fn check(
        &self,
        header: Option<&str>,
        method: &str,
        path: &str,
        body: &[u8],
        now_ms: u64,
    ) -> Result<&str, Rejection> {
        let claim = header.and_then(Claim::parse).ok_or(Rejection::Malformed)?;
        let (id, credential) = self
            .credentials
            .get_key_value(claim.id)
            .ok_or(Rejection::Unsigned)?;
        if !credential.verifies(method, path, claim.unix_ms, body, &claim.code) {
            return Err(Rejection::Unsigned);
        }
        if claim.unix_ms.abs_diff(now_ms) > WINDOW_MS {
            return Err(Rejection::OutsideWindow);
        }
        self.remember(claim, now_ms)?;
        Ok(id)
    }

    /// Remembers the code as bytes, since the same code can be written in several ways.
    fn remember(&self, claim: Claim<'_>, now_ms: u64) -> Result<(), Rejection> {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.contains_key(&claim.code) {
            return Err(Rejection::Replayed);
        }
        if seen.len() >= REMEMBERED_MAX {
            seen.retain(|_, until| *until > now_ms);
        }
        if seen.len() >= REMEMBERED_MAX {
            return Err(Rejection::TooMany);
        }
        seen.insert(claim.code, claim.unix_ms.saturating_add(REMEMBERED_MS));
        Ok(())
    }
}

/// What a request's header says about itself.
struct Claim<'a> {
    id: &'a str,
    unix_ms: u64,
    code: Vec<u8>,
}

impl<'a> Claim<'a> {
    fn parse(header: &'a str) -> Option<Self> {
        let (rest, code) = header.trim().rsplit_once(':')?;
        let (id, unix_ms) = rest.rsplit_once(':')?;
        Some(Self {
            id,
            unix_ms: unix_ms.parse().ok()?,
            code: hex::decode(code).ok()?,
        })
    }
}
