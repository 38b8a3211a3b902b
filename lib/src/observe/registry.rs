use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};

use cadence::MetricSink;
use hdrhistogram::Histogram;

/// Longer durations are recorded as this one.
const DURATION_MAX_MS: u64 = 60_000;
const SIGNIFICANT_DIGITS: u8 = 2;
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Current values of this process's metrics.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    values: Arc<Mutex<Values>>,
}

#[derive(Debug, Default)]
struct Values {
    counters: BTreeMap<String, i64>,
    gauges: BTreeMap<String, u64>,
    durations: BTreeMap<String, Histogram<u32>>,
}

impl Registry {
    /// Renders the metrics as text, one value per line: `name value` for counters and gauges,
    /// `name{quantile="q"} value` in ms and `name_count value` for durations.
    #[must_use]
    pub fn render(&self) -> String {
        let values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for (name, value) in &values.counters {
            let _ = writeln!(text, "{name} {value}");
        }
        for (name, value) in &values.gauges {
            let _ = writeln!(text, "{name} {value}");
        }
        for (name, histogram) in &values.durations {
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "{name}{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "{name}_count {}", histogram.len());
        }
        text
    }

    /// Records a metric in the `StatsD` format; `None` if it is malformed.
    fn record(&self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let (value, kind) = rest.split_once('|')?;
        let name = name.replace('.', "_");
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        match kind {
            "c" => *values.counters.entry(name).or_default() += value.parse::<i64>().ok()?,
            "g" => {
                values.gauges.insert(name, value.parse().ok()?);
            }
            _ => {
                let millis: u64 = value.parse().ok()?;
                let histogram = values.durations.entry(name).or_insert_with(new_histogram);
                histogram.saturating_record(millis);
            }
        }
        Some(())
    }
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, DURATION_MAX_MS, SIGNIFICANT_DIGITS)
        .expect("bounds are valid constants")
}

impl MetricSink for Registry {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.record(metric)
            .map(|()| metric.len())
            .ok_or_else(|| io::Error::other("metric is not in the StatsD format"))
    }
}
