use serde::{Deserialize, Serialize};

use super::TenantCounts;

/// Content of a usage report, stored before the report is sent; a successor sends exactly this.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Requests by tenant.
    pub counts: TenantCounts,
    /// Era of the store in which the record was written, if the store named one.
    pub era: Option<u64>,
    /// First window that the writer could report by its own counts. Of earlier ones without a record
    /// a report may have been sent.
    pub first_own: u64,
    /// Window up to which the platform has accepted the reports, 0 for none.
    pub accepted: u64,
}
