use std::collections::VecDeque;

use super::SpeedSample;

/// Number of samples kept for each group of daemons; the oldest are dropped.
const UNSENT_MAX: usize = 64;
/// Number of samples in one datagram. At six bytes each, they take about as much as the work on four
/// engines.
const DATAGRAM_SAMPLES_MAX: usize = 16;

/// Samples of this daemon that are not yet reported to other daemons.
#[derive(Debug, Default)]
pub(super) struct UnsentSamples {
    local: VecDeque<SpeedSample>,
    remote: VecDeque<SpeedSample>,
}

impl UnsentSamples {
    pub(super) fn push(&mut self, sample: &SpeedSample) {
        for samples in [&mut self.local, &mut self.remote] {
            if samples.len() >= UNSENT_MAX {
                samples.pop_front();
            }
            samples.push_back(sample.clone());
        }
    }

    pub(super) fn take_local(&mut self) -> Vec<SpeedSample> {
        take(&mut self.local)
    }

    pub(super) fn take_remote(&mut self) -> Vec<SpeedSample> {
        take(&mut self.remote)
    }
}

fn take(samples: &mut VecDeque<SpeedSample>) -> Vec<SpeedSample> {
    let count = samples.len().min(DATAGRAM_SAMPLES_MAX);
    samples.drain(..count).collect()
}
