use std::time::Duration;

use ragwortgrade_schema::Name;

/// Shortest timeout of a prefill call. Callers abandon a request after 2 s, and the prompt must be
/// prefilled elsewhere before that.
const PREFILL_TIMEOUT_MIN: Duration = Duration::from_millis(900);
/// The timeout as a multiple of the expected time, if that is longer.
const PREFILL_TIMEOUT_RATIO: u32 = 3;

/// Where a generation runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Engine of a remote prefill; `None` for a local one.
    pub prefill: Option<Name>,
    /// Engine that decodes.
    pub decode: Name,
    /// Expected time to the first event.
    pub expected: Duration,
    /// Part of the expected time during which the request waits for other requests.
    pub queue: Duration,
    /// Expected engine time of the prefill, in ms.
    pub prefill_ms: f64,
    /// Tokens that are expected in the cache of the engine that prefills.
    pub cached_tokens: u32,
    /// Priority at the engine; 0 is the most urgent.
    pub priority: u8,
}

impl Placement {
    /// Returns the timeout of a remote prefill.
    ///
    /// A prefill may be repeated, so an engine that does not answer is abandoned while the caller
    /// still waits.
    #[must_use]
    pub fn prefill_timeout(&self) -> Duration {
        PREFILL_TIMEOUT_MIN.max(self.expected * PREFILL_TIMEOUT_RATIO)
    }
}

/// Why a generation is refused, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Machine-readable reason.
    pub reason: &'static str,
    /// Estimate that led to the refusal, if an engine was available.
    pub estimate: Option<Estimate>,
    /// Time after which a retry is likely to be admitted.
    pub retry_after: Duration,
}

impl Refusal {
    /// Returns whether other requests are the cause, and not the request's own size.
    #[must_use]
    pub fn lacks_capacity(&self) -> bool {
        let is_mostly_queue =
            |estimate: &Estimate| estimate.queue.as_secs_f64() * 1e3 >= estimate.prefill_ms;
        self.estimate.as_ref().is_none_or(is_mostly_queue)
    }
}

/// Estimate for the cheapest placement of a generation that is refused, and the limits that it
/// exceeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Expected time to the first event.
    pub expected: Duration,
    /// Part of the expected time during which the request would wait for other requests.
    pub queue: Duration,
    /// Expected engine time of the prefill, in ms.
    pub prefill_ms: f64,
    /// Machine-readable name of the exceeded limit: `wait` or `wait_of_all_sizes` on the wait for
    /// other requests, `abandonment` or `deadline` on the expected time.
    pub limit: &'static str,
    /// Value of that limit.
    pub limit_time: Duration,
    /// Why the request does not wait behind those that meet their target: `too_long`, or
    /// `decode_engine_slowed` by its sequences.
    pub late_wait: &'static str,
}
