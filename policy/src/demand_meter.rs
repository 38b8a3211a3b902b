use std::collections::BTreeMap;

use ragwortgrade_schema::Name;

use crate::Instant;
use crate::fleet::Demand;
use crate::rate::Rate;

/// Measures the recent demand for each model at one daemon, for the planner.
#[derive(Debug, Default)]
pub(crate) struct DemandMeter {
    models: BTreeMap<Name, Meter>,
}

#[derive(Debug)]
struct Meter {
    prefill: Rate,
    squared_prefill: Rate,
    output: Rate,
    requests: Rate,
    missed: Rate,
}

impl Default for Meter {
    fn default() -> Self {
        let rate = Rate::with_window(DemandMeter::WINDOW_MS);
        Self {
            prefill: rate,
            squared_prefill: rate,
            output: rate,
            requests: rate,
            missed: rate,
        }
    }
}

impl DemandMeter {
    /// Averaging window of the rates: short compared with shifts of the mix within minutes, but
    /// long enough to average out the noise of arrivals.
    const WINDOW_MS: f64 = 10_000.0;

    pub(crate) fn record_arrival(
        &mut self,
        model: &Name,
        prefill_tokens: f64,
        output_tokens: f64,
        now: Instant,
    ) {
        let meter = self.meter(model);
        meter.prefill.add(prefill_tokens, now);
        meter
            .squared_prefill
            .add(prefill_tokens * prefill_tokens, now);
        meter.output.add(output_tokens, now);
        meter.requests.add(1.0, now);
    }

    pub(crate) fn record_missed(&mut self, model: &Name, now: Instant) {
        self.meter(model).missed.add(1.0, now);
    }

    pub(crate) fn demand(&self, now: Instant) -> Vec<Demand> {
        let per_second = |rate: &Rate| rate.per_ms(now) * 1_000.0;
        let models = self.models.iter();
        models
            .map(|(model, meter)| Demand {
                model: model.clone(),
                prefill_tokens_per_second: per_second(&meter.prefill),
                squared_prefill_tokens_per_second: per_second(&meter.squared_prefill),
                output_tokens_per_second: per_second(&meter.output),
                requests_per_second: per_second(&meter.requests),
                missed_per_second: per_second(&meter.missed),
            })
            .collect()
    }

    fn meter(&mut self, model: &Name) -> &mut Meter {
        if !self.models.contains_key(model) {
            self.models.insert(model.clone(), Meter::default());
        }
        self.models.entry(model.clone()).or_default()
    }
}
