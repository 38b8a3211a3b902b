use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

mod call_overhead;
mod observed_prefill;
mod speed_estimate;
mod speed_sample;
mod unsent_samples;

use call_overhead::CallOverhead;
pub use observed_prefill::ObservedPrefill;
use speed_estimate::SpeedEstimate;
pub use speed_sample::{SpeedKind, SpeedSample};
use unsent_samples::UnsentSamples;

use crate::Instant;

/// Natural logarithm of the ratio to the fleet's median within which engines count as alike: 15%.
/// Samples of equal engines differ by as much.
const ALIKE_LOG: f64 = 0.139_762;
/// Number of observed engines from which their median is the prior of the others. Below it the
/// prior is the configured speed.
const MEDIAN_ENGINES_MIN: usize = 3;
/// Interval at which the median is computed: sorting the estimates of 1,000 engines for each sample
/// would take a daemon of 0.1 cores a tenth of its time.
const MEDIAN_INTERVAL: Duration = Duration::from_millis(250);

/// Speeds of the engines, learned from answers that this and the other daemons observed.
///
/// A factor is the ratio of the actual to the expected time at the configured speed, so that slower
/// engines have higher factors. Addresses fleets whose engines do up to 2.4 times the work of others,
/// and engines that degrade.
#[derive(Debug, Default)]
pub(crate) struct EngineSpeeds {
    engines: HashMap<Name, [SpeedEstimate; SpeedKind::COUNT]>,
    /// Logarithm of the median factor for each kind.
    medians: [f64; SpeedKind::COUNT],
    median_at: Option<Instant>,
    unsent: UnsentSamples,
    call_overhead: CallOverhead,
}

impl EngineSpeeds {
    /// Records a sample of this daemon, which is also reported to the others.
    pub(crate) fn observe(&mut self, sample: &SpeedSample, now: Instant) {
        self.unsent.push(sample);
        self.record(sample, now);
    }

    /// Records a remote prefill call of `call_ms` apart from the wait, and returns its time without
    /// the fixed part, which is at most `assumed_ms`.
    pub(crate) fn observe_call(&mut self, prefill_ms: f64, call_ms: f64, assumed_ms: f64) -> f64 {
        self.call_overhead.observe(prefill_ms, call_ms);
        call_ms - self.call_overhead.millis(assumed_ms)
    }

    /// Records a sample of any daemon.
    pub(crate) fn record(&mut self, sample: &SpeedSample, now: Instant) {
        let kind = sample.kind.index();
        let Some(log_ratio) = sample.log_ratio() else {
            return;
        };
        let prior = self.medians[kind];
        let is_new = !self.engines.contains_key(&sample.engine);
        let estimates = self.engines.entry(sample.engine.clone()).or_default();
        estimates[kind].observe(log_ratio, prior, now);
        let is_due = |at: Instant| now.since(at) >= MEDIAN_INTERVAL;
        if is_new || self.median_at.is_none_or(is_due) {
            self.update_medians(now);
        }
    }

    fn update_medians(&mut self, now: Instant) {
        self.median_at = Some(now);
        for (kind, median) in self.medians.iter_mut().enumerate() {
            let known = self.engines.values();
            let mut known: Vec<f64> = known.filter_map(|it| it[kind].log_factor(now)).collect();
            if known.len() >= MEDIAN_ENGINES_MIN {
                let middle = known.len() / 2;
                *median = *known.select_nth_unstable_by(middle, f64::total_cmp).1;
            }
        }
    }

    /// Returns the factor of the fleet's median engine.
    pub(crate) fn median_factor(&self, kind: SpeedKind) -> f64 {
        self.medians[kind.index()].exp()
    }

    /// Returns the factor of an engine divided by the median of the fleet: 1 for engines that are alike
    /// and those without recent samples.
    pub(crate) fn relative_factor(&self, id: &Name, kind: SpeedKind, now: Instant) -> f64 {
        self.log_relative(id, kind, now).exp()
    }

    fn log_relative(&self, id: &Name, kind: SpeedKind, now: Instant) -> f64 {
        let Some(estimates) = self.engines.get(id) else {
            return 0.0;
        };
        // One machine does both kinds of work, so the other kind stands in for a missing one.
        let relative = |kind: SpeedKind| {
            let log_factor = estimates[kind.index()].log_factor(now)?;
            Some(log_factor - self.medians[kind.index()])
        };
        let relative = relative(kind).or_else(|| relative(kind.other()));
        relative
            .filter(|log| log.abs() > ALIKE_LOG)
            .unwrap_or_default()
    }

    /// Takes samples of this daemon for daemons that receive all work, at most as many as fit into a
    /// datagram.
    pub(crate) fn take_unsent_local(&mut self) -> Vec<SpeedSample> {
        self.unsent.take_local()
    }

    /// Takes samples of this daemon for other data centres.
    pub(crate) fn take_unsent_remote(&mut self) -> Vec<SpeedSample> {
        self.unsent.take_remote()
    }

    /// Removes what a restart of the engine invalidates.
    pub(crate) fn remove(&mut self, id: &Name) {
        self.engines.remove(id);
    }

    /// Removes engines that are no longer registered.
    pub(crate) fn retain(&mut self, is_registered: impl Fn(&Name) -> bool) {
        self.engines.retain(|id, _| is_registered(id));
    }
}
