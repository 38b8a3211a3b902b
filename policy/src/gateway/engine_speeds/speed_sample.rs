use ragwortgrade_schema::Name;

/// Bounds of the ratio that one sample can show. Engines that degrade are up to 8 times slower.
const RATIO_MIN: f64 = 0.125;
const RATIO_MAX: f64 = 8.0;

/// Kind of an engine's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpeedKind {
    /// Prefill of prompts.
    Prefill,
    /// Decoding of outputs.
    Decode,
}

impl SpeedKind {
    pub(super) const COUNT: usize = 2;

    pub(super) const fn index(self) -> usize {
        match self {
            Self::Prefill => 0,
            Self::Decode => 1,
        }
    }

    pub(super) const fn other(self) -> Self {
        match self {
            Self::Prefill => Self::Decode,
            Self::Decode => Self::Prefill,
        }
    }
}

/// Observed speed of an engine at one answer.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedSample {
    /// The engine.
    pub engine: Name,
    /// Kind of the observed work.
    pub kind: SpeedKind,
    /// Ratio of the actual to the expected time at the configured speed.
    pub ratio: f64,
}

impl SpeedSample {
    /// Returns the logarithm of the bounded ratio; `None` if the ratio is not a number.
    pub(super) fn log_ratio(&self) -> Option<f64> {
        let is_number = !self.ratio.is_nan();
        is_number.then(|| self.ratio.clamp(RATIO_MIN, RATIO_MAX).ln())
    }
}
