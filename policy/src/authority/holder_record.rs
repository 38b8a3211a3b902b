use serde::{Deserialize, Serialize};

use super::Holder;

/// Stored record of a lease holder, from which the next holder continues.
///
/// It is kept in the key-value service without a platform lease, since the next holder reads it
/// after the lease has expired.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HolderRecord {
    /// The holder.
    pub holder: Holder,
    /// Its fencing token.
    pub fence: u64,
    /// Whether the holder released the lease; it then has no order in flight.
    pub released: bool,
    /// Earlier holders that may still run.
    ///
    /// All of them are kept, not only the latest: one that was paused before the previous takeover
    /// can still send orders.
    #[serde(rename = "formers")]
    pub former_holders: Vec<Holder>,
}

impl HolderRecord {
    /// Number of fencing tokens in a block; each takeover moves to the next block.
    ///
    /// Two daemons can compute their token from the same data when the key-value service is
    /// restored from older data between their takeovers. The low bits of the incarnation, which
    /// select the token within the block, make their tokens differ.
    const FENCES_PER_BLOCK: u64 = 1 << 16;

    /// Returns the record of `holder` as successor of `previous`.
    ///
    /// `revision` is the revision of the lock record, `highest_seen` the highest fencing token that
    /// an engine of the data centre reports.
    #[must_use]
    pub fn after(
        previous: Option<&Self>,
        holder: &Holder,
        revision: u64,
        highest_seen: u64,
    ) -> Self {
        let previous_fence = previous.map_or(0, |record| record.fence);
        let highest = previous_fence.max(revision).max(highest_seen);
        Self {
            holder: holder.clone(),
            fence: Self::next_fence(highest, holder.incarnation),
            released: false,
            former_holders: previous
                .map_or_else(Vec::new, |record| record.former_holders_after(holder)),
        }
    }

    /// Returns a fencing token in the block after that of `highest`.
    fn next_fence(highest: u64, incarnation: u64) -> u64 {
        let block = (highest / Self::FENCES_PER_BLOCK).saturating_add(1);
        block.saturating_mul(Self::FENCES_PER_BLOCK) + incarnation % Self::FENCES_PER_BLOCK
    }

    /// Returns the former holders that may still run once `successor` holds the lease.
    fn former_holders_after(&self, successor: &Holder) -> Vec<Holder> {
        let mut former_holders = self.former_holders.clone();
        if !self.released {
            former_holders.push(self.holder.clone());
        }
        // A process at the same address replaces the daemon's earlier run there, which has
        // therefore ended.
        former_holders.retain(|former| {
            former.daemon != successor.daemon || former.address != successor.address
        });
        former_holders
    }
}
