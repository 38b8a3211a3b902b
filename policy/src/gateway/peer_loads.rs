use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

use crate::Instant;

/// Age at which a peer's load update expires: several update intervals, and less than the time of
/// most requests.
const UPDATE_LIFETIME: Duration = Duration::from_millis(1_500);

/// Interval at which expired updates are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which prefills count beyond their expected end, until an update that corrects it can
/// have arrived.
const REPORT_DELAY: Duration = Duration::from_millis(30);

/// Number of distinct priorities at engines, two for each of four ranks; 0 is the most urgent. Any
/// less urgent ones count as the last.
pub const PRIORITY_LEVELS: usize = 8;

/// Expected remaining fraction of a prompt that is being prefilled.
const REMAINING_FRACTION: f64 = 0.7;

/// Work of one or more daemons on one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineWork {
    /// Queued and running prefills by priority, the most urgent first, in ms of engine time.
    pub prefill_ms: [f64; PRIORITY_LEVELS],
    /// Longest single prompt by priority, the most urgent first, in ms of engine time.
    pub longest_ms: [f64; PRIORITY_LEVELS],
    /// Number of running sequences.
    pub sequences: u32,
    /// Expected time until the last of the prefills ends, in ms; `None` if they count until the
    /// next report.
    pub busy_ms: Option<f64>,
}

impl EngineWork {
    /// Adds the work of another daemon.
    pub(crate) fn add(&mut self, other: &Self) {
        for priority_index in 0..PRIORITY_LEVELS {
            self.prefill_ms[priority_index] += other.prefill_ms[priority_index];
            self.longest_ms[priority_index] =
                self.longest_ms[priority_index].max(other.longest_ms[priority_index]);
        }
        self.sequences += other.sequences;
    }

    /// Returns whether the prefills are expected to have ended this time after the report.
    pub(crate) fn is_prefilled_after(&self, elapsed: Duration) -> bool {
        self.busy_ms
            .is_some_and(|busy_ms| elapsed.as_secs_f64() * 1e3 >= busy_ms)
    }

    /// Returns whether this is the same work, whenever it is expected to end.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        let without_time = |work: &Self| Self {
            busy_ms: None,
            ..*work
        };
        without_time(self) == without_time(other)
    }

    /// Returns the work that an engine does before a request of this priority, in ms. Priority 0 is
    /// the most urgent.
    ///
    /// An engine prefills one prompt at a time without preemption. Less urgent work therefore
    /// delays a request by the rest of at most one prompt.
    #[must_use]
    pub fn ahead_ms(&self, priority: u8) -> f64 {
        let (urgent, less_urgent) = self.prefill_ms.split_at(priority_index(priority) + 1);
        let longest = self.longest_ms[priority_index(priority) + 1..]
            .iter()
            .copied();
        let longest = longest.fold(0.0, f64::max);
        let urgent: f64 = urgent.iter().sum();
        let less_urgent: f64 = less_urgent.iter().sum();
        urgent + longest.min(less_urgent) * REMAINING_FRACTION
    }
}

/// Returns the index of a priority in per-priority arrays.
pub(crate) fn priority_index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_LEVELS - 1)
}

/// Latest reported work of the other daemons on the engines.
///
/// In a large fleet, daemons of other data centres report only their work on prefill engines.
#[derive(Debug, Default)]
pub(crate) struct PeerLoads {
    /// Time and engines of the last update from each daemon.
    daemons: HashMap<Name, LastUpdate>,
    /// Work on each engine by daemon, with the time of the update.
    engines: HashMap<Name, HashMap<Name, (Instant, EngineWork)>>,
    expired_at: Instant,
}

#[derive(Debug)]
struct LastUpdate {
    at: Instant,
    engines: Vec<Name>,
}

impl PeerLoads {
    /// Replaces the work that a daemon reported earlier, and removes the expired updates of other
    /// daemons.
    pub(crate) fn replace(
        &mut self,
        daemon: &Name,
        reported: Vec<(Name, EngineWork)>,
        now: Instant,
    ) {
        self.remove(daemon);
        let engines = reported.iter().map(|(engine, _)| engine.clone()).collect();
        for (engine, work) in reported {
            let by_daemon = self.engines.entry(engine).or_default();
            by_daemon.insert(daemon.clone(), (now, work));
        }
        let update = LastUpdate { at: now, engines };
        self.daemons.insert(daemon.clone(), update);
        if now.since(self.expired_at) >= EXPIRY_INTERVAL {
            self.expired_at = now;
            self.expire(now);
        }
    }

    /// Removes daemons that have sent no update lately, since they may have stopped.
    fn expire(&mut self, now: Instant) {
        let daemons = self.daemons.iter();
        let expired = daemons.filter(|(_, update)| now.since(update.at) >= UPDATE_LIFETIME);
        let expired: Vec<Name> = expired.map(|(daemon, _)| daemon.clone()).collect();
        for daemon in expired {
            self.remove(&daemon);
        }
    }

    fn remove(&mut self, daemon: &Name) {
        let update = self.daemons.remove(daemon);
        for engine in update.into_iter().flat_map(|update| update.engines) {
            if let Some(by_daemon) = self.engines.get_mut(&engine) {
                by_daemon.remove(daemon);
            }
        }
    }

    /// Returns the work of all other daemons on an engine, without prefills that are expected to
    /// have ended.
    pub(crate) fn total(&self, engine: &Name, now: Instant) -> EngineWork {
        let mut total = EngineWork::default();
        for (reported_at, work) in self
            .engines
            .get(engine)
            .into_iter()
            .flat_map(HashMap::values)
        {
            let elapsed = now.since(*reported_at).saturating_sub(REPORT_DELAY);
            if work.is_prefilled_after(elapsed) {
                total.sequences += work.sequences;
            } else {
                total.add(work);
            }
        }
        total
    }
}
