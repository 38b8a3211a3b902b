//! Requests that crashed an endpoint and the endpoints reserved for trying them again.

use ragwortgrade_schema::peer::{Strike, Trial};

/// Strikes known to this daemon and trials that it confirmed.
#[derive(Debug, Default)]
pub struct Trials {}

impl Trials {
    /// Confirms that this daemon sends no other request with a strike to the endpoint.
    #[must_use]
    pub fn reserve(&self, _trial: &Trial) -> bool {
        true
    }

    /// Returns the strikes for gossip.
    #[must_use]
    pub fn strikes(&self) -> Vec<Strike> {
        Vec::new()
    }

    /// Takes in strikes from gossip.
    pub fn absorb(&self, _strikes: &[Strike]) {}
}
