//! Admission of generations and their priority at the engines.

use std::time::Duration;

use super::{Estimate, Placement, Refusal, Route, WaitLimit};

/// Fraction of the target above which an estimate counts as missing it. Estimates are too low while
/// load grows.
const MISSED_TARGET_FRACTION: f64 = 0.8;
/// The same in a service that is ordered by need, where few later requests overtake one that has
/// hardly time to spare.
const MISSED_TARGET_FRACTION_BY_NEED: f64 = 0.95;
/// Fraction of the target that a request of the least urgent ranks may wait for an engine if it
/// will miss its target, or while the limit is the same for all sizes. More urgent requests may
/// wait a multiple of it, since they delay few others.
const WAIT_FRACTION_MAX: f64 = 0.3;
/// Number of ranks whose requests may wait longer than those of the least urgent ranks.
const URGENCY_STEPS: u8 = 2;
/// Shortest retry time of a refusal: queues last about that long.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(250);
/// Longest retry time of a refusal.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);
/// Fraction of the abandonment time that an expected first event may take, since estimates are too
/// low while load grows.
const ABANDON_FRACTION: f64 = 0.75;
/// The same for a request that misses its target. Requests that can meet theirs overtake it,
/// including later arrivals, so half of the abandonment time is reserved for them.
const ABANDON_FRACTION_MISSED: f64 = 0.5;
/// Shortest time after which callers abandon a stream without a first event.
const ABANDON_AFTER_MIN: Duration = Duration::from_secs(2);
/// The same as a multiple of the route's target, if that is longer.
const ABANDON_AFTER_TARGETS: u32 = 4;
/// The same as a multiple of the pause that the route permits between events, if that is longer.
const ABANDON_AFTER_PAUSES: u32 = 8;
/// Least urgent priority that engines accept; 0 is the most urgent.
const PRIORITY_MAX: u8 = 9;

/// Whether a request is expected to meet its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TargetClass {
    Met,
    Missed,
}

/// Limit that the estimate for a placement exceeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ExceededLimit {
    name: &'static str,
    time: Duration,
}

/// Returns the limit that the placement exceeds, if the request should not wait in a queue.
///
/// Under overload, every request would wait as long as the longest permitted queue. With a short
/// queue, admitted requests meet their target and the others learn at once when to retry. The
/// request's own prefill does not count as queueing. Whatever the queue, a request is refused if
/// its first event is expected too close to the time after which its caller abandons it, or after
/// its deadline.
pub(super) fn exceeded_limit(
    placement: &Placement,
    route: &Route,
    time_left: Duration,
    wait_limit: WaitLimit,
    is_ordered_by_need: bool,
) -> Option<ExceededLimit> {
    let exceeded = |name, time| Some(ExceededLimit { name, time });
    if placement.expected > time_left {
        return exceeded("deadline", time_left);
    }
    let abandoned_after = abandon_after(route).mul_f64(ABANDON_FRACTION);
    if placement.expected > abandoned_after {
        return exceeded("abandonment", abandoned_after);
    }
    let urgency = URGENCY_STEPS.saturating_sub(route.rank) + 1;
    let wait_max = route.target.mul_f64(WAIT_FRACTION_MAX * f64::from(urgency));
    match wait_limit {
        WaitLimit::WhileTargetIsMet => {
            let fraction = if is_ordered_by_need {
                MISSED_TARGET_FRACTION_BY_NEED
            } else {
                MISSED_TARGET_FRACTION
            };
            let target_max = route.target.mul_f64(fraction);
            let misses_target = placement.expected > target_max;
            if misses_target && queue_wait(placement) > wait_max {
                return exceeded("wait", wait_max);
            }
        }
        WaitLimit::SameForAllSizes { fraction } => {
            let wait_max = wait_max.mul_f64(fraction);
            if placement.queue > wait_max {
                return exceeded("wait_of_all_sizes", wait_max);
            }
        }
    }
    None
}

/// Returns the refusal of a request whose cheapest placement exceeds a limit.
pub(super) fn refusal(
    placement: &Placement,
    route: &Route,
    exceeded: ExceededLimit,
    late_wait: &'static str,
) -> Refusal {
    let excess = queue_wait(placement).saturating_sub(route.target / 2);
    Refusal {
        reason: "queue_too_long",
        estimate: Some(Estimate {
            expected: placement.expected,
            queue: placement.queue,
            prefill_ms: placement.prefill_ms,
            limit: exceeded.name,
            limit_time: exceeded.time,
            late_wait,
        }),
        retry_after: excess.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
    }
}

/// Returns the expected time to the first event apart from the request's own prefill.
fn queue_wait(placement: &Placement) -> Duration {
    let prefill = Duration::from_secs_f64(placement.prefill_ms / 1e3);
    placement.expected.saturating_sub(prefill)
}

/// Returns whether the prefill alone takes so long that the request misses its target.
pub(super) fn misses_target_by_size(prefill_ms: f64, route: &Route) -> bool {
    Duration::from_secs_f64(prefill_ms / 1e3) >= route.target.mul_f64(MISSED_TARGET_FRACTION)
}

/// Returns the time after which callers abandon a stream without a first event.
fn abandon_after(route: &Route) -> Duration {
    let pauses = route.pause_target.unwrap_or_default() * ABANDON_AFTER_PAUSES;
    ABANDON_AFTER_MIN
        .max(route.target * ABANDON_AFTER_TARGETS)
        .max(pauses)
}

/// Returns whether a request that misses its target can be served before its caller abandons it.
pub(super) fn may_wait(placement: &Placement, route: &Route, time_left: Duration) -> bool {
    placement.expected
        <= abandon_after(route)
            .mul_f64(ABANDON_FRACTION_MISSED)
            .min(time_left)
}

/// Returns the priority at the engine; 0 is the most urgent. Within a rank, requests that can meet
/// their target go first.
pub(super) fn priority(route: &Route, class: TargetClass) -> u8 {
    let missed = u8::from(class == TargetClass::Missed);
    route
        .rank
        .saturating_mul(2)
        .saturating_add(missed)
        .min(PRIORITY_MAX)
}
