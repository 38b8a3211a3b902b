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
    /// Time that an answer takes, in seconds.
    answer_s: f64,
    change_s: f64,
}

impl Outlook {
    /// Use of its engines above which a kind of work begins to miss its time.
    const COMFORTABLE: f64 = 0.8;
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
            answer_s: answer_tokens * cost.decode_step_ms(cost.sequences) / 1_000.0,
            change_s: cost.role_change_ms / 1_000.0,
        }
    }

    /// Part of the requests that miss their time with `moved` more prefill engines.
    fn missed(&self, moved: f64) -> f64 {
        let prefill_use = self.prefill_need / (self.prefill + moved).max(Self::LEAST_ENGINES);
        let decode_use = self.decode_need / (self.decode - moved).max(Self::LEAST_ENGINES);
        let missed = |used: f64| (1.0 - Self::COMFORTABLE / used).max(0.0);
        missed(prefill_use).max(missed(decode_use))
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
        improvement * self.requests_per_second * remaining_s - lost
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
