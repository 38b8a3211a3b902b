use std::fmt;
use std::time::Duration;

use super::group::Group;
use crate::CostModel;

/// Capacity forecast for a group of engines: demand and supply, in engines, and the gain of a role
/// change.
#[derive(Clone, Copy, Debug)]
pub(super) struct Forecast {
    /// Number of engines needed for prefill.
    prefill_need: f64,
    /// Number of engines needed for decoding.
    decode_need: f64,
    /// Number of engines that prefill for others, plus the data centre's `prefill_offset`.
    prefill: f64,
    /// Number of engines that decode, less that offset.
    decode: f64,
    /// Engine time of prefill that the refusal of a long prompt saves, in seconds.
    shed_prompt_s: f64,
    /// Engine time of the output of an answer, in seconds.
    answer_work_s: f64,
    requests_per_second: f64,
    missed_per_second: f64,
    /// Duration of decoding an answer in a full batch, in seconds.
    answer_s: f64,
    /// Duration of a role change, in seconds.
    change_s: f64,
}

impl Forecast {
    /// Utilization of prefill engines up to which queues stay within the deadline.
    const PREFILL_UTILIZATION: f64 = 0.8;
    /// Utilization of decode engines up to which queues stay within the deadline.
    const DECODE_UTILIZATION: f64 = 0.95;
    /// Fraction of the spare time of decode engines that is available for local prefill. Of the
    /// fractions from 0 to 0.6, 0.1 gives the best goodput; larger ones cause too many long gaps.
    const LOCAL_PREFILL_FRACTION: f64 = 0.1;
    /// Fraction of the engine time that a draining decode engine still uses.
    const DRAINING_UTILIZATION: f64 = 0.5;

    pub(super) fn new(group: &Group<'_>, cost: &CostModel, prefill_offset: f64) -> Self {
        let demand = &group.demand;
        let prefill_per_s = cost.prefill_tokens_per_ms * 1_000.0;
        let requests = demand.requests_per_second.max(f64::MIN_POSITIVE);
        let answer_tokens = demand.output_tokens_per_second / requests;
        let shed_tokens =
            demand.squared_prefill_tokens_per_second / demand.prefill_tokens_per_second.max(1.0);
        Self {
            prefill_need: demand.prefill_tokens_per_second / prefill_per_s,
            decode_need: demand.output_tokens_per_second * cost.output_token_ms() / 1_000.0,
            prefill: group.count(true) as f64 + prefill_offset,
            decode: group.count(false) as f64 - prefill_offset,
            shed_prompt_s: shed_tokens.max(1.0) / prefill_per_s,
            answer_work_s: answer_tokens.max(1.0) * cost.output_token_ms() / 1_000.0,
            requests_per_second: demand.requests_per_second,
            missed_per_second: demand.missed_per_second,
            answer_s: answer_tokens * cost.decode_step_ms(cost.sequences_max) / 1_000.0,
            change_s: cost.role_change_ms / 1_000.0,
        }
    }

    /// Returns the requests per second that miss their deadline with `moved` more prefill engines.
    ///
    /// Decode engines prefill prompts in their spare time, less efficiently than prefill engines
    /// because long prompts exceed the gap limit. Work that exceeds the capacity is shed, long
    /// prompts first, so a lack of prefill capacity costs fewer requests than a lack of decode
    /// capacity.
    fn missed(&self, moved: f64) -> f64 {
        let prefill = (self.prefill + moved).max(0.0);
        let decode = (self.decode - moved).max(0.0) * Self::DECODE_UTILIZATION;
        let spare = (decode - self.decode_need).max(0.0);
        let prefill_supply =
            prefill * Self::PREFILL_UTILIZATION + spare * Self::LOCAL_PREFILL_FRACTION;
        let missing_prefill = (self.prefill_need - prefill_supply).max(0.0);
        let missing_decode = (self.decode_need - decode).max(0.0);
        let missed = missing_prefill / self.shed_prompt_s + missing_decode / self.answer_work_s;
        missed.min(self.requests_per_second)
    }

    /// Returns the additional requests within their deadline that a change gains during a shift of
    /// the mix that lasts for `shift`, less those that the lost engine time would have served.
    pub(super) fn gain(&self, to_prefill: bool, shift: Duration) -> f64 {
        let moved = if to_prefill { 1.0 } else { -1.0 };
        let improvement = self.missed(0.0) - self.missed(moved);
        let drain_s = if to_prefill {
            self.answer_s * (1.0 - Self::DRAINING_UTILIZATION)
        } else {
            0.0
        };
        let lost_s = self.change_s + drain_s;
        let remaining_s = (shift.as_secs_f64() - lost_s).max(0.0);
        let engines = (self.prefill + self.decode).max(1.0);
        let utilization = ((self.prefill_need + self.decode_need) / engines).min(1.0);
        let lost = lost_s * utilization * self.requests_per_second / engines;
        let gained = improvement.min(self.missed_per_second);
        gained * remaining_s - lost
    }
}

impl fmt::Display for Forecast {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "prompts need {:.2} of {:.2} engines, answers {:.2} of {:.2}",
            self.prefill_need, self.prefill, self.decode_need, self.decode
        )
    }
}
