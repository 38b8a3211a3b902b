use std::collections::BTreeMap;
use std::ops::AddAssign;

use ragwortgrade_schema::engine::Want;

use super::OrderRecord;

/// Counts of accepted orders and of fencing violations in the order log of an engine, over all its
/// incarnations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderAudit {
    /// Accepted orders.
    pub accepted: u64,
    /// Accepted orders that share a fencing token with another issuer's order, or an order id with
    /// an order for another target state.
    pub conflicting: u64,
    /// Accepted orders with a lower fencing token than an order accepted before.
    pub stale: u64,
    /// Sequences that role changes interrupted, which broke their streams.
    pub interrupted: u64,
}

impl OrderAudit {
    /// Audits the order log of one engine, in order of arrival.
    #[must_use]
    pub fn of(records: &[OrderRecord]) -> Self {
        let mut audit = Self::default();
        let mut highest = 0;
        let mut issuers: BTreeMap<u64, String> = BTreeMap::new();
        let mut wants: BTreeMap<String, Want> = BTreeMap::new();
        for record in records.iter().filter(|record| record.accepted) {
            let order = &record.order;
            audit.accepted += 1;
            audit.interrupted += u64::from(record.interrupted);
            audit.stale += u64::from(order.fence < highest);
            highest = highest.max(order.fence);
            let issuer = issuers
                .entry(order.fence)
                .or_insert_with(|| order.issuer.to_string());
            let has_two_issuers = *issuer != *order.issuer;
            let want = wants
                .entry(order.order.clone())
                .or_insert_with(|| order.want.clone());
            let has_two_wants = *want != order.want;
            audit.conflicting += u64::from(has_two_issuers || has_two_wants);
        }
        audit
    }
}

impl AddAssign for OrderAudit {
    fn add_assign(&mut self, rhs: Self) {
        self.accepted += rhs.accepted;
        self.conflicting += rhs.conflicting;
        self.stale += rhs.stale;
        self.interrupted += rhs.interrupted;
    }
}
