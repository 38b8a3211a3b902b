use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

use crate::Instant;

/// Age at which the news of a peer no longer counts: several of its intervals, and less than the
/// time of most requests.
const NEWS_LIFETIME: Duration = Duration::from_millis(1_500);

/// Priorities at engines that are told apart, two for each of four ranks; less urgent ones count as
/// the last.
pub const PRIORITIES: usize = 8;

/// Part of a prompt that is expected to be left while it is being read.
const REMAINING_PART: f64 = 0.7;

/// Work of one daemon on one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Prompts that are being read, in ms of the engine's time, for each priority.
    pub prefill_ms: [f64; PRIORITIES],
    /// Longest single prompt of each priority, in the same unit.
    pub longest_ms: [f64; PRIORITIES],
    /// Sequences that run.
    pub sequences: u32,
}

impl Share {
    /// Adds the work of another daemon.
    pub(crate) fn add(&mut self, other: &Self) {
        for level in 0..PRIORITIES {
            self.prefill_ms[level] += other.prefill_ms[level];
            self.longest_ms[level] = self.longest_ms[level].max(other.longest_ms[level]);
        }
        self.sequences += other.sequences;
    }

    /// Returns the work that an engine does before a request of a priority, in ms.
    ///
    /// An engine reads one prompt at a time and finishes it before a more urgent one: what is less
    /// urgent delays a request by what is left of one prompt.
    #[must_use]
    pub fn ahead_of(&self, priority: u8) -> f64 {
        let (urgent, others) = self.prefill_ms.split_at(level(priority) + 1);
        let longest = self.longest_ms[level(priority) + 1..].iter().copied();
        let longest = longest.fold(0.0, f64::max);
        let urgent: f64 = urgent.iter().sum();
        let others: f64 = others.iter().sum();
        urgent + longest.min(others) * REMAINING_PART
    }
}

/// Returns the index of a priority.
pub(crate) fn level(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

/// What the other daemons have running on the engines, as they told lately.
///
/// In a large fleet, daemons of other data centres tell only their work on prefill engines.
#[derive(Debug, Default)]
pub(crate) struct PeerLoads {
    /// When each daemon told last, and of which engines.
    daemons: HashMap<Name, News>,
    /// Work on each engine by daemon.
    engines: HashMap<Name, HashMap<Name, Share>>,
}

#[derive(Debug)]
struct News {
    at: Instant,
    engines: Vec<Name>,
}

impl PeerLoads {
    /// Replaces what a daemon told before.
    pub(crate) fn absorb(&mut self, daemon: &Name, shares: Vec<(Name, Share)>, now: Instant) {
        self.forget(daemon);
        let engines = shares.iter().map(|(engine, _)| engine.clone()).collect();
        for (engine, share) in shares {
            let work = self.engines.entry(engine).or_default();
            work.insert(daemon.clone(), share);
        }
        let news = News { at: now, engines };
        self.daemons.insert(daemon.clone(), news);
        self.expire(now);
    }

    /// Forgets daemons that have told nothing lately: they may be gone.
    fn expire(&mut self, now: Instant) {
        let daemons = self.daemons.iter();
        let old = daemons.filter(|(_, news)| now.since(news.at) >= NEWS_LIFETIME);
        let old: Vec<Name> = old.map(|(daemon, _)| daemon.clone()).collect();
        for daemon in old {
            self.forget(&daemon);
        }
    }

    fn forget(&mut self, daemon: &Name) {
        let told = self.daemons.remove(daemon);
        for engine in told.into_iter().flat_map(|news| news.engines) {
            if let Some(work) = self.engines.get_mut(&engine) {
                work.remove(daemon);
            }
        }
    }

    /// Returns the work of all other daemons on an engine.
    pub(crate) fn total(&self, engine: &Name) -> Share {
        let mut total = Share::default();
        for share in self.engines.get(engine).into_iter().flatten() {
            total.add(share.1);
        }
        total
    }
}
