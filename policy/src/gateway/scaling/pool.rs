use std::time::Duration;

use super::{Outcome, Reason};
use crate::Instant;

/// Time for which no spot workers are to be had where they were reclaimed or an order found none.
const DRY_TIME: Duration = Duration::from_millis(9_200);
/// The same for an order that finds none after that time has passed since a reclaim.
const FURTHER_DRY_TIME: Duration = Duration::from_secs(3);
/// Time after which an order without a response is given again.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Longest such time; it doubles with each repetition.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(20);
/// Time after which an order whose outcome was not reported counts as one without a response.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);
/// Time beyond the boot after which the number of workers should match the order: workers were seen
/// to serve 4 to 8 s after an order with a boot of 4 s.
const MISMATCH_DELAY: Duration = Duration::from_secs(8);
/// Fraction by which the number of workers may differ from the order without a repetition, one
/// worker at least: single workers fail and register again.
const MISMATCH_FRACTION: f64 = 0.1;
/// Longest time until an order is repeated because of a mismatch; it doubles with each repetition.
const MISMATCH_DELAY_MAX: Duration = Duration::from_mins(2);
/// Time after a loss in which growth counts as its replacement.
const LOSS_TIME: Duration = Duration::from_secs(30);

/// Workers of one kind in one data centre, and the orders for them.
#[derive(Debug, Default)]
pub(super) struct Pool {
    /// Number in the last accepted order that still holds.
    accepted: Option<u32>,
    pending: Option<Pending>,
    ordered_at: Option<Instant>,
    dry_until: Option<Instant>,
    lost_at: Option<Instant>,
    /// Since when the present number differs from the accepted one.
    mismatch_since: Option<Instant>,
    /// Number of repetitions of the standing order.
    repetitions: u32,
    /// Number of workers that were present at the last observation.
    present: u32,
}

/// An order that was not acknowledged.
#[derive(Clone, Copy, Debug)]
struct Pending {
    count: u32,
    at: Instant,
    is_unanswered: bool,
}

impl Pool {
    /// Records the present workers and whether any are being reclaimed.
    pub(super) fn observe(
        &mut self,
        present: u32,
        are_reclaimed: bool,
        is_spot: bool,
        now: Instant,
    ) {
        // All of a data centre leave at once; their draining may have been missed.
        let are_gone = is_spot && present == 0 && self.present > 0 && self.standing() > 0;
        let are_reclaimed = is_spot && are_reclaimed;
        if (are_reclaimed || are_gone)
            && !self.is_dry(now)
            && self.lost_at.is_none_or(|at| now.since(at) > DRY_TIME)
        {
            self.accepted = None;
            self.pending = None;
            self.repetitions = 0;
            self.dry_until = Some(now + DRY_TIME);
            self.lost_at = Some(now);
        }
        let difference = self.accepted.map_or(0, |count| count.abs_diff(present));
        let tolerated = f64::from(self.standing()) * MISMATCH_FRACTION;
        if f64::from(difference) <= tolerated.max(1.0) {
            self.mismatch_since = None;
            if self.pending.is_none() {
                self.repetitions = 0;
            }
        } else {
            self.mismatch_since.get_or_insert(now);
        }
        self.present = present;
    }

    /// Returns the number that is ordered, or else present.
    pub(super) fn standing(&self) -> u32 {
        let pending = self.pending.map(|pending| pending.count);
        pending.or(self.accepted).unwrap_or(self.present)
    }

    pub(super) const fn present(&self) -> u32 {
        self.present
    }

    /// Returns the smallest number that the orders given so far may leave.
    pub(super) fn lowest(&self) -> u32 {
        let pending = self.pending.map_or(u32::MAX, |pending| pending.count);
        pending
            .min(self.accepted.unwrap_or(self.present))
            .min(self.present)
    }

    /// Returns the largest number that the orders given so far may lead to.
    pub(super) fn highest(&self) -> u32 {
        let pending = self.pending.map_or(0, |pending| pending.count);
        pending
            .max(self.accepted.unwrap_or_default())
            .max(self.present)
    }

    pub(super) fn is_dry(&self, now: Instant) -> bool {
        self.dry_until.is_some_and(|until| now < until)
    }

    /// Returns whether workers were lost a short time ago.
    pub(super) fn has_lost(&self, now: Instant) -> bool {
        self.lost_at.is_some_and(|at| now.since(at) < LOSS_TIME)
    }

    /// Returns whether an order is under way, or waits for its repetition.
    pub(super) fn is_busy(&self, now: Instant) -> bool {
        self.pending
            .is_some_and(|pending| now < pending.due(self.repetitions))
    }

    /// Returns whether workers that were ordered may still be starting or leaving.
    pub(super) fn is_settling(&self, boot_time: Duration, now: Instant) -> bool {
        self.standing() != self.present
            && self
                .ordered_at
                .is_some_and(|at| now.since(at) < boot_time + MISMATCH_DELAY)
    }

    /// Returns why the order for the standing number is to be repeated, if it is.
    pub(super) fn repetition(&self, boot_time: Duration, now: Instant) -> Option<Reason> {
        if self.pending.is_some() {
            return Some(Reason::NoResponse);
        }
        let since = self.mismatch_since.max(self.ordered_at)?;
        let delay = (MISMATCH_DELAY + boot_time) * 2_u32.saturating_pow(self.repetitions);
        let is_due = now.since(since) >= delay.min(MISMATCH_DELAY_MAX);
        (is_due && self.mismatch_since.is_some()).then_some(Reason::Mismatch)
    }

    /// Records that an order is given.
    pub(super) fn record_order(&mut self, count: u32, reason: Reason, now: Instant) {
        self.pending = Some(Pending {
            count,
            at: now,
            is_unanswered: false,
        });
        self.ordered_at = Some(now);
        self.repetitions = match reason {
            Reason::Mismatch | Reason::NoResponse => self.repetitions + 1,
            _ => 0,
        };
    }

    /// Records how the order ended.
    pub(super) fn record_outcome(&mut self, count: u32, outcome: Outcome, now: Instant) {
        let Some(pending) = self.pending.as_mut().filter(|it| it.count == count) else {
            return;
        };
        match outcome {
            Outcome::Accepted => {
                self.accepted = Some(count);
                self.pending = None;
            }
            Outcome::Unavailable => {
                self.pending = None;
                let dry_time = if self.has_lost(now) {
                    FURTHER_DRY_TIME
                } else {
                    DRY_TIME
                };
                self.dry_until = Some(now + dry_time);
            }
            Outcome::Unknown => {
                pending.is_unanswered = true;
                pending.at = now;
            }
        }
    }
}

impl Pending {
    /// Returns when the order may be given again.
    fn due(&self, repetitions: u32) -> Instant {
        let delay = if self.is_unanswered {
            (RETRY_DELAY * 2_u32.saturating_pow(repetitions)).min(RETRY_DELAY_MAX)
        } else {
            OUTCOME_TIMEOUT
        };
        self.at + delay
    }
}
