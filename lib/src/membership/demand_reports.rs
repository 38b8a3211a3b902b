use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::fleet::Demand;
use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer;

/// A daemon sends its demand to two others of its data centre each second, so among 50 daemons each
/// hears from each other about every 25 s on average. [`DemandReports::total`] estimates the demand
/// of daemons without a recent report.
const REPORT_MAX_AGE: Duration = Duration::from_secs(30);

/// Latest demand reported by each of the other daemons of this data centre.
#[derive(Debug, Default)]
pub struct DemandReports {
    reports: Mutex<BTreeMap<Name, Report>>,
}

#[derive(Debug)]
struct Report {
    at: Instant,
    demand: Vec<Demand>,
}

impl DemandReports {
    /// Records the demand that a daemon of this data centre reported at `now`.
    pub fn record(&self, daemon: &Name, demand: &[peer::Demand], now: Instant) {
        let demand = demand.iter().map(from_wire).collect();
        self.lock()
            .insert(daemon.clone(), Report { at: now, demand });
    }

    /// Estimates the demand of the data centre from this daemon's own and the recent reports.
    ///
    /// The balancer spreads requests evenly, so a daemon without a recent report is assumed to see
    /// the average demand of the others.
    #[must_use]
    pub fn total(&self, own: Vec<Demand>, daemons: usize, now: Instant) -> Vec<Demand> {
        let mut reports = self.lock();
        reports.retain(|_, report| now.since(report.at) <= REPORT_MAX_AGE);
        let sources = 1 + reports.len();
        let mut total: BTreeMap<Name, Demand> = BTreeMap::new();
        let parts = reports
            .values()
            .flat_map(|report| report.demand.iter().cloned());
        for part in own.into_iter().chain(parts) {
            match total.get_mut(&part.model) {
                Some(sum) => sum.add(&part),
                None => drop(total.insert(part.model.clone(), part)),
            }
        }
        let scale = daemons.max(sources) as f64 / sources as f64;
        total
            .into_values()
            .map(|demand| demand.scaled(scale))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Name, Report>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Converts a daemon's own demand to its form in gossip messages.
#[must_use]
pub(crate) fn to_wire(demand: Demand) -> peer::Demand {
    peer::Demand {
        model: demand.model,
        prefill_tokens: demand.prefill_tokens_per_second,
        squared_prefill_tokens: demand.squared_prefill_tokens_per_second,
        output_tokens: demand.output_tokens_per_second,
        requests: demand.requests_per_second,
        missed: demand.missed_per_second,
    }
}

fn from_wire(demand: &peer::Demand) -> Demand {
    Demand {
        model: demand.model.clone(),
        prefill_tokens_per_second: demand.prefill_tokens,
        squared_prefill_tokens_per_second: demand.squared_prefill_tokens,
        output_tokens_per_second: demand.output_tokens,
        requests_per_second: demand.requests,
        missed_per_second: demand.missed,
    }
}
