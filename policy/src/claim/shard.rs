use ragwortgrade_schema::Name;

use super::Hash;
use crate::rendezvous;

/// Number of shards; with 20 writes a second each they use 160 writes of the service's several
/// hundred.
pub const SHARDS: u8 = 8;

/// Returns the shard of a key.
#[must_use]
pub fn shard_of(key: Hash) -> u8 {
    (key.0 % u128::from(SHARDS)) as u8
}

/// Returns the daemon that should own a shard, `None` when there is no daemon.
#[must_use]
pub fn owner_of<'a>(shard: u8, daemons: impl IntoIterator<Item = &'a Name>) -> Option<&'a Name> {
    let key = Keys { shard }.prefix();
    rendezvous::highest(&key, daemons, 1).into_iter().next()
}

/// Names of a shard's keys in the key-value service.
///
/// Sequences have 20 digits and so begin with 0; the head sorts behind all of them under the same
/// prefix, so one list shows the end of the log together with the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keys {
    /// The shard.
    pub shard: u8,
}

impl Keys {
    /// Prefix of the sequences and the head.
    #[must_use]
    pub fn log_prefix(self) -> String {
        format!("{}0", self.prefix())
    }

    /// Key of a sequence.
    #[must_use]
    pub fn sequence(self, sequence: u64) -> String {
        format!("{}{sequence:020}", self.prefix())
    }

    /// Key of the head.
    #[must_use]
    pub fn head(self) -> String {
        format!("{}0head", self.prefix())
    }

    /// Key of a snapshot chunk.
    #[must_use]
    pub fn chunk(self, number: u64) -> String {
        format!("{}snapshot/{number}", self.prefix())
    }

    pub(super) fn parse_sequence(self, key: &str) -> Option<u64> {
        key.strip_prefix(&self.prefix())?.parse().ok()
    }

    fn prefix(self) -> String {
        format!("claims/{}/", self.shard)
    }
}
