use std::net::SocketAddr;

use super::free_address;
use crate::{Error, Relay};

/// Peer address of a daemon, with an optional relay in front of it.
#[derive(Debug)]
pub struct PeerLink {
    /// Address that the daemon listens on.
    pub listen_address: SocketAddr,
    /// Relay to `listen_address`.
    pub relay: Option<Relay>,
}

impl PeerLink {
    /// Reserves an address, and starts a relay to it if `has_relay` is set.
    pub(super) fn open(has_relay: bool) -> Result<Self, Error> {
        let listen_address = free_address()?;
        let relay = has_relay
            .then(|| Relay::bind("127.0.0.1:0", listen_address))
            .transpose()?;
        Ok(Self {
            listen_address,
            relay,
        })
    }

    /// Returns the address that other daemons connect to.
    #[must_use]
    pub fn public_address(&self) -> SocketAddr {
        self.relay
            .as_ref()
            .map_or(self.listen_address, Relay::address)
    }
}
