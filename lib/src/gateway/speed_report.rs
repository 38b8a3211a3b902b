use ragwortgrade_policy::gateway::{SpeedKind, SpeedSample};
use ragwortgrade_schema::Name;
use serde::{Deserialize, Serialize};

use super::endpoint_index::EndpointIndex;

/// Number of samples that are read from one datagram: as many as a daemon sends.
const SAMPLES_MAX: usize = 16;
/// Steps of a code for each doubling of the ratio: 1/20 of a doubling is 3.5%, a quarter of the
/// difference up to which engines count as alike.
const STEPS_PER_DOUBLING: f64 = 20.0;
/// Code of the ratio 1. Codes from 0 to 127 stand for ratios from 0.11 to 8.9.
const CODE_OF_ONE: f64 = 64.0;
const CODE_MAX: f64 = 127.0;
/// Bit of a code that marks samples of decoding.
const DECODE_BIT: u8 = 0x80;

/// Speeds of engines that a daemon observed, appended to its load update: number of the engine and
/// kind and ratio in one byte each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SpeedReport(Vec<(u32, u8)>);

impl SpeedReport {
    pub(super) fn new(samples: &[SpeedSample]) -> Self {
        let samples = samples.iter().take(SAMPLES_MAX);
        let codes = samples.map(|it| (EndpointIndex::number(&it.engine), code(it)));
        Self(codes.collect())
    }

    /// Returns the samples of engines for which `find` returns an identity.
    pub(super) fn samples(&self, mut find: impl FnMut(u32) -> Option<Name>) -> Vec<SpeedSample> {
        let codes = self.0.iter().take(SAMPLES_MAX);
        let samples = codes.filter_map(|(number, code)| Some(sample(find(*number)?, *code)));
        samples.collect()
    }
}

fn code(sample: &SpeedSample) -> u8 {
    let steps = (sample.ratio.max(f64::MIN_POSITIVE).log2() * STEPS_PER_DOUBLING).round();
    let code = (steps + CODE_OF_ONE).clamp(0.0, CODE_MAX) as u8;
    match sample.kind {
        SpeedKind::Prefill => code,
        SpeedKind::Decode => code | DECODE_BIT,
    }
}

fn sample(engine: Name, code: u8) -> SpeedSample {
    let steps = f64::from(code & !DECODE_BIT) - CODE_OF_ONE;
    SpeedSample {
        engine,
        kind: match code & DECODE_BIT {
            0 => SpeedKind::Prefill,
            _ => SpeedKind::Decode,
        },
        ratio: (steps / STEPS_PER_DOUBLING).exp2(),
    }
}
