use std::ffi::OsString;
use std::path::PathBuf;

use super::peer_link::PeerLink;
use crate::Error;

/// What a deployment comprises.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Directory of settings and logs.
    pub directory: PathBuf,
    /// Program of the daemon.
    pub daemon: PathBuf,
    /// Program of the operators.
    pub operators: PathBuf,
    /// Command that runs stand-ins, with its first arguments.
    pub standin: Vec<OsString>,
    /// Number of data centres.
    pub data_centres: usize,
    /// Daemons in each data centre.
    pub daemons: usize,
    /// Engines in each data centre; every third ignores fencing tokens.
    pub engines: usize,
    /// Whether the platform and the endpoints are reached through relays.
    pub has_relays: bool,
    /// Further flags of each engine.
    pub engine_flags: Vec<String>,
    /// Time that the drain of a daemon may take, in milliseconds.
    pub drain_timeout_ms: u64,
}

impl Plan {
    /// Chooses how the daemons reach each other, data centre by data centre.
    pub(super) fn peer_links(&self) -> Result<Vec<PeerLink>, Error> {
        (0..self.data_centres * self.daemons)
            .map(|_| PeerLink::open(self.has_relays))
            .collect()
    }
}
