use super::super::{EngineLimits, Speed, Stage};

/// Utilization of prefill engines up to which prompts wait less than their own prefill takes on
/// average (queue with one server).
const PREFILL_UTILIZATION: f64 = 0.65;
/// Fraction of a decode engine's sequences that are in use at the expected demand. The rest is for
/// the uneven placement of sequences and for prompts that are prefilled locally.
const DECODE_FILL: f64 = 0.7;
/// Fraction of the time in which decode engines prefill locally.
const LOCAL_PREFILL_FRACTION: f64 = 0.2;

/// Capacity by stage, in workers of reference speed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Prefill workers.
    pub prefill: f64,
    /// Decode workers, and those of plain services.
    pub decode: f64,
}

impl Need {
    /// Returns the workers that serve this demand.
    ///
    /// `prefill_ms` is engine time per second at reference speed, `output_tokens` a rate per
    /// second, and `slots` the number of sequences of one worker.
    #[must_use]
    pub fn of_demand(
        prefill_ms: f64,
        output_tokens: f64,
        slots: u32,
        limits: &EngineLimits,
        speed: &Speed,
    ) -> Self {
        let sequences = f64::from(slots.min(limits.sequences_max)) * DECODE_FILL;
        let sequences = sequences.max(1.0);
        let step_ms = speed.step_ms(sequences as u32, LOCAL_PREFILL_FRACTION);
        let worker_tokens = sequences / step_ms * 1e3;
        Self {
            prefill: prefill_ms / 1e3 / PREFILL_UTILIZATION,
            decode: output_tokens / worker_tokens,
        }
    }

    /// Returns the value for a stage.
    pub(super) const fn stage(&self, stage: Option<Stage>) -> f64 {
        match stage {
            Some(Stage::Prefill) => self.prefill,
            Some(Stage::Decode) | None => self.decode,
        }
    }

    /// Adds capacity to a stage.
    pub(super) fn add(&mut self, stage: Option<Stage>, amount: f64) {
        match stage {
            Some(Stage::Prefill) => self.prefill += amount,
            Some(Stage::Decode) | None => self.decode += amount,
        }
    }

    /// Combines both stages of two values.
    pub(super) fn zip(self, other: Self, combine: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            prefill: combine(self.prefill, other.prefill),
            decode: combine(self.decode, other.decode),
        }
    }

    /// Returns the multiple of both stages.
    pub(super) fn scaled(self, factor: f64) -> Self {
        Self {
            prefill: self.prefill * factor,
            decode: self.decode * factor,
        }
    }

    /// Returns whether both stages have at least the other's capacity, apart from rounding.
    pub(super) fn covers(&self, other: &Self) -> bool {
        const ROUNDING: f64 = 1e-6;
        self.prefill + ROUNDING >= other.prefill && self.decode + ROUNDING >= other.decode
    }
}
