use ragwortgrade_schema::platform;

/// A call of the key-value service.
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
    /// Compare and swap.
    Write(platform::Write),
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Result {
    /// The value and revision of a key that was read.
    Read(Option<(String, u64)>),
    /// The entries of a list, sorted by key.
    Listed(Vec<platform::Entry>),
    /// The write took effect; the key's revision.
    Written(u64),
    /// The key has another revision than expected.
    Conflict,
    /// The call had no effect.
    NotDone,
    /// The call may have had an effect.
    Lost,
}
