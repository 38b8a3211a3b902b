//! Demand for generations: measured at each daemon, reported to the daemons that may decide on the
//! number of workers, and added up there.

mod collector;
mod report;

use std::collections::BTreeMap;

pub use collector::{Collector, TotalDemand};
use ragwortgrade_schema::Name;
pub use report::{DemandReport, REPORT_BYTES_MAX, ServiceDemand};

use crate::Instant;
use crate::rate::Rate;

/// Time constant of the rates: daemons get a few requests a second, and bursts begin within 3 s.
const WINDOW_MS: f64 = 3_000.0;

/// Measures the recent demand at one daemon.
#[derive(Debug, Default)]
pub struct Demand {
    services: BTreeMap<Name, Meter>,
}

#[derive(Debug)]
struct Meter {
    prefill_ms: Rate,
    output_tokens: Rate,
    requests: Rate,
    refused: Rate,
}

/// A request for a generation that arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Prefill of the tokens that are not cached, in ms of an engine of reference speed.
    pub prefill_ms: f64,
    /// Expected number of output tokens.
    pub output_tokens: u32,
    /// Whether it was refused for lack of capacity.
    pub is_refused: bool,
}

impl Default for Meter {
    fn default() -> Self {
        Self {
            prefill_ms: Rate::with_window(WINDOW_MS),
            output_tokens: Rate::with_window(WINDOW_MS),
            requests: Rate::with_window(WINDOW_MS),
            refused: Rate::with_window(WINDOW_MS),
        }
    }
}

impl Demand {
    /// Records a request, also one that is refused.
    pub fn record(&mut self, service: &Name, arrival: Arrival, now: Instant) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Meter::default());
        }
        let Some(meter) = self.services.get_mut(service) else {
            return;
        };
        meter.prefill_ms.add(arrival.prefill_ms, now);
        meter
            .output_tokens
            .add(f64::from(arrival.output_tokens), now);
        meter.requests.add(1.0, now);
        if arrival.is_refused {
            meter.refused.add(1.0, now);
        }
    }

    /// Returns the report to other daemons on the services of which the number of workers is
    /// decided. Other services are forgotten.
    pub fn report<'a>(
        &mut self,
        services: impl Iterator<Item = &'a Name>,
        now: Instant,
    ) -> DemandReport {
        let mut known = std::mem::take(&mut self.services);
        let mut demands = Vec::new();
        for service in services {
            let meter = known.remove(service).unwrap_or_default();
            let per_second = |rate: &Rate| rate.per_ms(now) * 1e3;
            demands.push((
                service,
                ServiceDemand {
                    prefill_ms: per_second(&meter.prefill_ms),
                    output_tokens: per_second(&meter.output_tokens),
                    requests: per_second(&meter.requests),
                    refused: per_second(&meter.refused),
                },
            ));
            self.services.insert(service.clone(), meter);
        }
        DemandReport::new(&demands)
    }
}
