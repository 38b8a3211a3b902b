use std::collections::{HashMap, HashSet};
use std::time::Duration;

use ragwortgrade_schema::Name;

use super::{DemandReport, ServiceDemand};
use crate::Instant;

/// Age at which a report no longer counts: three intervals of a second, so that two lost datagrams
/// have no effect.
const REPORT_LIFETIME: Duration = Duration::from_millis(3_200);
/// Fraction of the known daemons whose reports make the demand known.
const SHARE_MIN: f64 = 0.9;
/// Maximum number of daemons whose reports are kept: several times those of a large fleet.
const DAEMONS_MAX: usize = 4_096;

/// Latest reports of all daemons on their demand.
#[derive(Debug, Default)]
pub struct Collector {
    reports: HashMap<Name, (DemandReport, Instant)>,
}

/// Demand of all daemons for a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TotalDemand {
    /// Sum of the reports, scaled up to the daemons that sent none.
    pub demand: ServiceDemand,
    /// Fraction of the known daemons whose reports it contains.
    pub share: f64,
}

impl TotalDemand {
    /// Returns whether enough daemons have reported for decisions.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.share >= SHARE_MIN
    }
}

impl Collector {
    /// Records the report of a daemon.
    pub fn record(&mut self, daemon: &Name, report: DemandReport, now: Instant) {
        if self.reports.len() >= DAEMONS_MAX {
            self.expire(now);
        }
        if self.reports.len() < DAEMONS_MAX || self.reports.contains_key(daemon) {
            self.reports.insert(daemon.clone(), (report, now));
        }
    }

    /// Removes the reports that are too old to count.
    pub fn expire(&mut self, now: Instant) {
        self.reports
            .retain(|_, (_, at)| now.since(*at) <= REPORT_LIFETIME);
    }

    /// Returns the demand for a service at these daemons.
    #[must_use]
    pub fn total(&self, service: &Name, daemons: &HashSet<Name>, now: Instant) -> TotalDemand {
        let mut sum = ServiceDemand::default();
        let mut heard = 0_u32;
        for daemon in daemons {
            let report = self.reports.get(daemon);
            let report = report.filter(|(_, at)| now.since(*at) <= REPORT_LIFETIME);
            if let Some(demand) = report.and_then(|(report, _)| report.service(service)) {
                sum.add(&demand);
                heard += 1;
            }
        }
        if heard == 0 {
            return TotalDemand {
                demand: sum,
                share: 0.0,
            };
        }
        let share = f64::from(heard) / daemons.len() as f64;
        TotalDemand {
            demand: sum.scaled(1.0 / share),
            share,
        }
    }
}
