use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

use super::EngineWork;
use crate::Instant;

/// Minimum interval between load updates: a fraction of the duration of most prefills.
const INTERVAL_MIN: Duration = Duration::from_millis(5);
/// Minimum interval between load updates per recipient: it is multiplied by the number of
/// recipients, which bounds the cost to 3,300 datagrams per second.
const INTERVAL_PER_RECIPIENT: Duration = Duration::from_micros(300);
/// Interval at which unchanged load updates are repeated in case a datagram was lost: twice within
/// their lifetime.
const REPEAT_INTERVAL: Duration = Duration::from_millis(700);
/// Number of recipients up to which each change is sent at once.
const SMALL_GROUP_MAX: usize = 16;
/// Time per recipient beyond that for which the end of work is not sent, and its maximum.
const END_DELAY_PER_RECIPIENT: Duration = Duration::from_millis(10);
const END_DELAY_MAX: Duration = Duration::from_secs(1);
/// Increase of the prefill work on an engine that is sent at once. The work of a prompt that takes
/// longer than expected grows all the time.
const INCREASE_RATIO: f64 = 1.5;
const INCREASE_MIN_MS: f64 = 1.0;

/// Decides when a daemon tells others its work on the engines.
///
/// The others expect a prefill to end at the time that they were told, so its end need not be sent.
/// An update is sent as soon as they would expect less work than there is: at a new prompt, and when
/// a prefill takes longer than expected. Otherwise it waits, the longer the more recipients there
/// are. This is dead reckoning, as in IEEE 1278.1 (Distributed Interactive Simulation).
#[derive(Debug, Default)]
pub struct UpdateSchedule {
    told: HashMap<Name, EngineWork>,
    told_at: Instant,
}

impl UpdateSchedule {
    /// Returns whether the ends of work are told late to this number of recipients.
    #[must_use]
    pub const fn is_large_group(recipients: usize) -> bool {
        recipients > SMALL_GROUP_MAX
    }

    /// Returns when the next update is due; [`Instant::FAR_FUTURE`] if there is nothing to send.
    /// `has_parts` says whether there are shared parts to report.
    #[must_use]
    pub fn due(
        &self,
        work: &[(Name, EngineWork)],
        has_parts: bool,
        recipients: usize,
        now: Instant,
    ) -> Instant {
        let interval_min = INTERVAL_MIN.max(INTERVAL_PER_RECIPIENT * recipients as u32);
        let elapsed = now.since(self.told_at);
        if work
            .iter()
            .any(|(id, work)| self.is_more(id, work, elapsed))
        {
            return self.told_at + interval_min;
        }
        let is_same = work.len() == self.told.len()
            && work
                .iter()
                .all(|(id, work)| self.told.get(id).is_some_and(|told| told.is_same(work)));
        if !is_same || has_parts {
            let delay = match recipients.checked_sub(SMALL_GROUP_MAX) {
                None | Some(0) => Duration::ZERO,
                Some(further) => END_DELAY_PER_RECIPIENT * further as u32,
            };
            let delay = delay.min(END_DELAY_MAX).max(interval_min);
            return (self.told_at + delay).min(self.next_expected_end(work));
        }
        if work.is_empty() {
            return Instant::FAR_FUTURE;
        }
        (self.told_at + REPEAT_INTERVAL).min(self.next_expected_end(work))
    }

    /// Records that this work was sent.
    pub fn record_sent(&mut self, work: &[(Name, EngineWork)], now: Instant) {
        self.told = work.iter().cloned().collect();
        self.told_at = now;
    }

    /// Returns whether there is more work on an engine than others expect.
    fn is_more(&self, id: &Name, work: &EngineWork, elapsed: Duration) -> bool {
        let Some(told) = self.told.get(id) else {
            return true;
        };
        let told_prefill_ms = if told.is_prefilled_after(elapsed) {
            0.0
        } else {
            told.prefill_ms.iter().sum()
        };
        let prefill_ms: f64 = work.prefill_ms.iter().sum();
        work.sequences > told.sequences
            || prefill_ms > told_prefill_ms * INCREASE_RATIO + INCREASE_MIN_MS
    }

    /// Returns the first time at which others will expect that a prefill in progress has ended.
    fn next_expected_end(&self, work: &[(Name, EngineWork)]) -> Instant {
        let in_progress = work
            .iter()
            .filter(|(_, work)| work.prefill_ms.iter().sum::<f64>() > 0.0);
        let ends = in_progress.filter_map(|(id, _)| {
            let busy_ms = self.told.get(id)?.busy_ms?;
            Some(self.told_at + Duration::from_secs_f64(busy_ms / 1e3))
        });
        ends.min().unwrap_or(Instant::FAR_FUTURE)
    }
}
