use std::fmt;
use std::str::FromStr;

use ragwortgrade_schema::Name;
use serde::{Deserialize, Serialize};

/// One run of a daemon's process, as holder of the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the daemon.
    pub daemon: Name,
    /// Identity of the process, new at each start.
    pub incarnation: u64,
    /// `ip:port` at which other daemons reach it.
    pub address: String,
    /// Whether the platform's VM list contained the daemon's VM when it acquired the lease.
    ///
    /// The list lags, so the absence of a VM that was never seen on it proves nothing.
    pub listed: bool,
}

impl Holder {
    /// Returns whether `other` is the same run of the same daemon.
    #[must_use]
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.daemon == other.daemon && self.incarnation == other.incarnation
    }
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.daemon, self.incarnation)
    }
}

/// Error of parsing a former holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The text has no colon.
    #[error("former holder is not of the form <daemon>:<incarnation>")]
    Separator,
    /// The part after the last colon is not a number.
    #[error("incarnation of the former holder is not a number")]
    Incarnation,
}

/// Parses `<daemon>:<incarnation>`, the form that operators use for `takeover`.
impl FromStr for Holder {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (daemon, incarnation) = s.rsplit_once(':').ok_or(ParseError::Separator)?;
        let incarnation = incarnation.parse().or(Err(ParseError::Incarnation))?;
        Ok(Self {
            daemon: Name::from(daemon),
            incarnation,
            address: String::new(),
            listed: false,
        })
    }
}
