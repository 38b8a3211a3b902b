use ragwortgrade_schema::Name;

use super::Hash128;
use crate::rendezvous;

/// Number of shards.
///
/// At 20 batches/s each, they use 160 of the several hundred writes/s that the service permits.
pub const SHARDS: u8 = 8;

/// Returns the shard to which a key belongs.
#[must_use]
pub fn shard_of(key: Hash128) -> u8 {
    (key.0 % u128::from(SHARDS)) as u8
}

/// Returns the daemon that should own a shard, `None` when there is no daemon.
#[must_use]
pub fn owner_of<'a>(shard: u8, daemons: impl IntoIterator<Item = &'a Name>) -> Option<&'a Name> {
    let key = Keys { shard }.prefix();
    rendezvous::highest(&key, daemons, 1).into_iter().next()
}

/// Keys of a shard in the key-value service.
///
/// Sequences have 20 digits and so begin with 0; the head has the same prefix and sorts after all
/// of them, so one list returns the end of the log together with the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Number of the shard.
    pub shard: u8,
}

impl Keys {
    /// Returns the common prefix of the sequences and the head.
    #[must_use]
    pub fn log_prefix(self) -> String {
        format!("{}0", self.prefix())
    }

    /// Returns the key of a sequence.
    #[must_use]
    pub fn sequence(self, sequence: u64) -> String {
        format!("{}{sequence:020}", self.prefix())
    }

    /// Returns the key of the head.
    #[must_use]
    pub fn head(self) -> String {
        format!("{}0head", self.prefix())
    }

    /// Returns the key of a snapshot chunk.
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
