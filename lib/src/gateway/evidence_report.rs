use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{Evidence, LostRun};
use ragwortgrade_schema::Name;
use serde::{Deserialize, Serialize};

/// Evidence of one daemon about crashes of endpoints. Daemons do not share a clock, so times are
/// sent as ages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct EvidenceReport {
    lost_runs: Vec<LostRunReport>,
    /// Suspected identities with which an output has begun, and the time since then in ms.
    begun: Vec<(u64, u32)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct LostRunReport {
    endpoint: Name,
    endpoint_started_ms: u64,
    age_ms: u32,
    parts: Vec<u64>,
    content: Option<u64>,
}

impl EvidenceReport {
    pub(super) fn new(evidence: Evidence, now: Instant) -> Self {
        let age_ms = |at: Instant| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let lost_runs = evidence.lost_runs.into_iter().map(|run| LostRunReport {
            endpoint: run.endpoint,
            endpoint_started_ms: run.endpoint_started_ms,
            age_ms: age_ms(run.at),
            parts: run.parts,
            content: run.content,
        });
        let begun = evidence.begun.into_iter();
        Self {
            lost_runs: lost_runs.collect(),
            begun: begun.map(|(identity, at)| (identity, age_ms(at))).collect(),
        }
    }

    pub(super) fn into_evidence(self, now: Instant) -> Evidence {
        let at = |age_ms: u32| now - Duration::from_millis(u64::from(age_ms));
        let lost_runs = self.lost_runs.into_iter().map(|run| LostRun {
            endpoint: run.endpoint,
            endpoint_started_ms: run.endpoint_started_ms,
            at: at(run.age_ms),
            parts: run.parts,
            content: run.content,
        });
        let begun = self.begun.into_iter();
        Evidence {
            lost_runs: lost_runs.collect(),
            begun: begun
                .map(|(identity, age_ms)| (identity, at(age_ms)))
                .collect(),
        }
    }
}
