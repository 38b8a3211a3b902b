use std::net::SocketAddr;

use ragwortgrade_schema::Name;

/// Another daemon, as it is registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Address on which it receives load updates.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: Name,
}
