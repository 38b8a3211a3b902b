use serde::{Deserialize, Serialize};

/// Fault of the next calls to a plain service, which the daemon sees as broken connections.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum PlainFault {
    /// No fault.
    #[default]
    None,
    /// The next `count` calls fail without an effect.
    Before {
        /// Number of calls left to fail.
        count: u32,
    },
    /// The next `count` calls take effect and then fail.
    After {
        /// Number of calls left to fail.
        count: u32,
    },
}

impl PlainFault {
    /// Decrements the counter and returns whether this call fails.
    pub(crate) fn consume(&mut self) -> bool {
        match self {
            Self::Before { count } | Self::After { count } if *count > 0 => {
                *count -= 1;
                true
            }
            _ => false,
        }
    }
}
