use serde::{Deserialize, Serialize};

/// Fault of the key-value service, injected by `POST /debug/fault`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Every call is refused immediately with status 503.
    Outage,
    /// Every call is held without effect, then its connection breaks.
    Silent {
        /// Time until the connection breaks, in milliseconds.
        hold_ms: u64,
    },
    /// Every call is delayed before it takes effect.
    Slow {
        /// Delay before the call is processed, in milliseconds.
        delay_ms: u64,
    },
    /// The next `count` writes and lease calls take effect, but their responses are lost.
    LostAnswers {
        /// Number of responses left to drop.
        count: u32,
    },
    /// The store reverts to the last snapshot (`POST /debug/snapshot`), including its revisions.
    Rollback,
}
