use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::Recorded;
use serde::{Deserialize, Serialize};

use super::{Claim, Hash128};

/// State change of a claim, as stored in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Record {
    /// The attempt may send the request, and no other attempt may.
    Claimed {
        /// Hash of workspace, service and idempotency key.
        key: Hash128,
        /// Digest of the request's content.
        #[serde(rename = "request")]
        digest: Hash128,
        /// Daemon that requested the claim.
        claimant: Name,
        /// Incarnation of that daemon.
        incarnation: u64,
        /// Identity of the attempt.
        attempt: Hash128,
        /// Unix time of the claim in milliseconds.
        at_ms: u64,
    },
    /// The request ran, and the endpoint responded.
    Done {
        /// Key of the claim.
        key: Hash128,
        /// Identity of the attempt.
        attempt: Hash128,
        /// The recorded response.
        recorded: Recorded,
    },
    /// The request was sent and its outcome is not known.
    Unknown {
        /// Key of the claim.
        key: Hash128,
        /// Identity of the attempt.
        attempt: Hash128,
    },
    /// The request is known not to have run; its key can be claimed again.
    Released {
        /// Key of the claim.
        key: Hash128,
        /// Identity of the attempt.
        attempt: Hash128,
    },
}

/// Records in one sequence of a shard's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Daemon that wrote the sequence.
    pub owner: Name,
    /// Incarnation of that daemon.
    pub incarnation: u64,
    /// Number of the batch among those of this incarnation, which makes each batch unique.
    pub number: u64,
    /// Records in the order in which they take effect.
    pub records: Vec<Record>,
}

impl Batch {
    /// Returns whether both are the same batch, from the identity of their writers; the records are
    /// not compared.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        (&self.owner, self.incarnation, self.number)
            == (&other.owner, other.incarnation, other.number)
    }
}

/// Bounds of a shard's log and of its snapshot chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// First sequence that the chunks do not cover; earlier ones are deleted.
    pub floor: u64,
    /// Number of the first chunk that contains unexpired claims.
    pub first_chunk: u64,
    /// Number of the next chunk.
    pub next_chunk: u64,
}

impl Default for Head {
    fn default() -> Self {
        Self {
            floor: 1,
            first_chunk: 0,
            next_chunk: 0,
        }
    }
}

/// Snapshot of claims that were removed from the log; a later chunk takes precedence over an
/// earlier one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chunk {
    /// Claims with their keys.
    pub entries: Vec<(Hash128, Claim)>,
}
