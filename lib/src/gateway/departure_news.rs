use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::DepartureReport;
use ragwortgrade_schema::Name;
use serde::{Deserialize, Serialize};

/// Part of a load update that follows the update extension: endpoints that said to the sender that
/// they leave. Earlier versions ignore it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct DepartureNews {
    endpoints: Vec<LeavingEndpoint>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LeavingEndpoint {
    endpoint: Name,
    /// Start of the process, in Unix ms, if it is known.
    started_ms: Option<u64>,
    /// Time since its last response that said so, in ms.
    age_ms: u32,
}

impl DepartureNews {
    pub(super) fn new(reports: Vec<DepartureReport>, now: Instant) -> Self {
        let endpoints = reports.into_iter().map(|report| LeavingEndpoint {
            endpoint: report.endpoint,
            started_ms: report.started_ms,
            age_ms: u32::try_from(now.since(report.said_at).as_millis()).unwrap_or(u32::MAX),
        });
        Self {
            endpoints: endpoints.collect(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    pub(super) fn into_reports(self, now: Instant) -> Vec<DepartureReport> {
        let endpoints = self.endpoints.into_iter();
        let reports = endpoints.map(|leaving| DepartureReport {
            endpoint: leaving.endpoint,
            started_ms: leaving.started_ms,
            said_at: now - Duration::from_millis(u64::from(leaving.age_ms)),
        });
        reports.collect()
    }
}
