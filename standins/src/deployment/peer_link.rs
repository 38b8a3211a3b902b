use std::net::SocketAddr;

use super::free_address;
use crate::{Error, Relay};

/// How other daemons reach one daemon.
#[derive(Debug)]
pub struct PeerLink {
    /// Address that the daemon listens on.
    pub listens_on: SocketAddr,
    /// Relay to that address.
    pub relay: Option<Relay>,
}

impl PeerLink {
    /// Chooses an address, and a relay to it when connections are to be cut.
    pub(super) fn open(has_relay: bool) -> Result<Self, Error> {
        let listens_on = free_address()?;
        let relay = has_relay
            .then(|| Relay::bind("127.0.0.1:0", listens_on))
            .transpose()?;
        Ok(Self { listens_on, relay })
    }

    /// Returns the address for other daemons.
    #[must_use]
    pub fn reachable_at(&self) -> SocketAddr {
        self.relay.as_ref().map_or(self.listens_on, Relay::address)
    }
}
