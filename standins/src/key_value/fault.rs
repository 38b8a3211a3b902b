use serde::{Deserialize, Serialize};

/// A fault of the key-value service, put in force by `POST /debug/fault`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Fault {
    /// The service works.
    #[default]
    None,
    /// Every call is refused at once.
    Outage,
    /// Every call is held, has no effect and then breaks.
    Silent {
        /// Time until the connection breaks, in milliseconds.
        hold_ms: u64,
    },
    /// Every call is delayed before it takes effect.
    Slow {
        /// Delay in milliseconds.
        delay_ms: u64,
    },
    /// The next `count` writes and lease calls take effect, but their answers are lost.
    LostAnswers {
        /// Answers that remain to be lost.
        count: u32,
    },
    /// The store goes back to the last snapshot (`POST /debug/snapshot`), revisions included.
    Rollback,
}
