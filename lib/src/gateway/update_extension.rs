use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::RateReport;
use ragwortgrade_schema::Name;
use serde::{Deserialize, Serialize};

use super::evidence_report::EvidenceReport;

/// Part of a load update that follows the work, and that earlier versions ignore.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct UpdateExtension {
    pub(super) evidence: Option<EvidenceReport>,
    limits: Vec<EndpointLimit>,
}

/// Limit of an endpoint, and requests that the sender has sent to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EndpointLimit {
    endpoint: Name,
    /// Requests per second for all daemons together; `None` if the limit was lifted.
    per_second: Option<f64>,
    /// Time since a response last named or lifted the limit, in ms.
    age_ms: u32,
    sent: u32,
}

impl UpdateExtension {
    pub(super) fn new(
        evidence: Option<EvidenceReport>,
        reports: Vec<RateReport>,
        now: Instant,
    ) -> Self {
        let limits = reports.into_iter().map(|report| EndpointLimit {
            endpoint: report.endpoint,
            per_second: report.per_second,
            age_ms: u32::try_from(now.since(report.named_at).as_millis()).unwrap_or(u32::MAX),
            sent: report.sent,
        });
        Self {
            evidence,
            limits: limits.collect(),
        }
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.evidence.is_none() && self.limits.is_empty()
    }

    pub(super) fn rate_reports(&self, now: Instant) -> Vec<RateReport> {
        let reports = self.limits.iter().map(|limit| RateReport {
            endpoint: limit.endpoint.clone(),
            per_second: limit.per_second,
            named_at: now - Duration::from_millis(u64::from(limit.age_ms)),
            sent: limit.sent,
        });
        reports.collect()
    }
}
