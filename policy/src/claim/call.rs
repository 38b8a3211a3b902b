use ragwortgrade_schema::platform;

/// A call to the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Read a key.
    Read(String),
    /// List the keys with a prefix that sort after a key.
    List {
        /// The prefix.
        prefix: String,
        /// The key.
        after: String,
    },
    /// Write a key if it has the expected revision.
    Write(platform::Write),
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// The value and revision of a key that was read.
    Read(Option<(String, u64)>),
    /// The entries of a list, sorted by key.
    Listed(Vec<platform::Entry>),
    /// The write took effect, and the key has this revision.
    Written(u64),
    /// The key has another revision than expected.
    Conflict,
    /// The call had no effect.
    NotDone,
    /// The call may have taken effect; its answer was lost.
    Lost,
}
