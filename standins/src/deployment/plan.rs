use std::ffi::OsString;
use std::path::PathBuf;

use super::peer_link::PeerLink;
use crate::Error;

/// Programs, size and options of a deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Directory for settings and logs.
    pub directory: PathBuf,
    /// Path of the daemon program.
    pub daemon: PathBuf,
    /// Path of `ragwortctl`, the command of operators.
    pub ragwortctl: PathBuf,
    /// Command that runs stand-ins, with its leading arguments.
    pub standin: Vec<OsString>,
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of daemons in each data centre.
    pub daemons: usize,
    /// Number of engines in each data centre, of which every third ignores fencing tokens.
    pub engines: usize,
    /// Whether daemons reach the key-value service, the endpoints and each other through relays.
    pub has_relays: bool,
    /// Additional flags of each engine.
    pub engine_flags: Vec<String>,
    /// Drain timeout of the daemons in milliseconds.
    pub drain_timeout_ms: u64,
}

impl Plan {
    /// Creates the peer links of all daemons, in order of data centres.
    pub(super) fn peer_links(&self) -> Result<Vec<PeerLink>, Error> {
        (0..self.data_centres * self.daemons)
            .map(|_| PeerLink::open(self.has_relays))
            .collect()
    }
}
