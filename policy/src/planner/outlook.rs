use std::fmt;
use std::time::Duration;

use super::group::Group;
use crate::CostModel;

/// Demand and engines of a group, in engines, and what a role change would gain.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outlook {
    /// Engines that the prompts need.
    prefill_need: f64,
    /// Engines that the answers need.
    decode_need: f64,
    prefill: f64,
    decode: f64,
    requests_per_second: f64,
    missed_per_second: f64,
    /// Time that an answer takes, in seconds.
    answer_s: f64,
    change_s: f64,
}

impl Outlook {
    /// Part of their time that prefill engines can use without queues over the deadline.
    const PREFILL_USE: f64 = 0.9;
    /// Part of their time that decoding engines can use without queues over the deadline.
    const DECODE_USE: f64 = 0.95;
    /// Part of the spare time of decoding engines that can go to prompts in place.
    const IN_PLACE: f64 = 0.4;
    /// Part of the computed gain that a change is credited with. Measured with all of it, changes
    /// lost more than they gained on most traces: the mix often turns again before the engine is
    /// drained and its cache is warm.
    const CREDIT: f64 = 1.0 / 30.0;
    /// Part of the engine time that a draining decode engine still uses.
    const DRAINING_USE: f64 = 0.5;
    /// Smallest number of engines counted; keeps a use finite where none has the role.
    const LEAST_ENGINES: f64 = 0.3;

    pub(super) fn new(group: &Group<'_>, cost: &CostModel, offset: f64) -> Self {
        let demand = &group.demand;
        let prefill_per_s = cost.prefill_tokens_per_ms * 1_000.0;
        let requests = demand.requests_per_second.max(f64::MIN_POSITIVE);
        let answer_tokens = demand.output_tokens_per_second / requests;
        Self {
            prefill_need: demand.prefill_tokens_per_second / prefill_per_s,
            decode_need: demand.output_tokens_per_second * cost.output_token_ms() / 1_000.0,
            prefill: group.count(true) as f64 + offset,
            decode: group.count(false) as f64 - offset,
            requests_per_second: demand.requests_per_second,
            missed_per_second: demand.missed_per_second,
            answer_s: answer_tokens * cost.decode_step_ms(cost.sequences) / 1_000.0,
            change_s: cost.role_change_ms / 1_000.0,
        }
    }

    /// Part of the requests that miss their time with `moved` more prefill engines.
    ///
    /// Decoding engines compute prompts in the time that they have left, less well than prefill
    /// engines because of the gaps that long prompts break.
    fn missed(&self, moved: f64) -> f64 {
        let prefill = (self.prefill + moved).max(0.0);
        let decode = (self.decode - moved).max(Self::LEAST_ENGINES) * Self::DECODE_USE;
        let spare = (decode - self.decode_need).max(0.0);
        let prompts = prefill * Self::PREFILL_USE + spare * Self::IN_PLACE;
        let missed = |capacity: f64, need: f64| (1.0 - capacity / need.max(0.001)).max(0.0);
        missed(prompts, self.prefill_need).max(missed(decode, self.decode_need))
    }

    /// Requests in time that a change gains over `shift`, less those that the lost engine time
    /// would have served.
    pub(super) fn gain(&self, to_prefill: bool, shift: Duration) -> f64 {
        let moved = if to_prefill { 1.0 } else { -1.0 };
        let improvement = self.missed(0.0) - self.missed(moved);
        let drain_s = if to_prefill {
            self.answer_s * (1.0 - Self::DRAINING_USE)
        } else {
            0.0
        };
        let lost_s = self.change_s + drain_s;
        let remaining_s = (shift.as_secs_f64() - lost_s).max(0.0);
        let engines = (self.prefill + self.decode).max(1.0);
        let used = ((self.prefill_need + self.decode_need) / engines).min(1.0);
        let lost = lost_s * used * self.requests_per_second / engines;
        let gained = (improvement * self.requests_per_second).min(self.missed_per_second);
        Self::CREDIT * gained * remaining_s - lost
    }
}

impl fmt::Display for Outlook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "prompts need {:.2} of {:.2} engines, answers {:.2} of {:.2}",
            self.prefill_need, self.prefill, self.decode_need, self.decode
        )
    }
}
