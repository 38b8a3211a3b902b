use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

use crate::Instant;

/// Age at which the news of a peer no longer counts: several of its intervals, and less than the
/// time of most requests.
const NEWS_LIFETIME: Duration = Duration::from_millis(1_500);

/// Ranks that are told apart; less urgent ones count as the last.
pub const RANKS: usize = 4;

/// Part of a prompt that is expected to be left while it is being read.
const REMAINING_PART: f64 = 0.7;

/// Work of one daemon on one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Prompts that are being read, in ms of the engine's time, for each rank.
    pub prefill_ms: [f64; RANKS],
    /// Longest single prompt of each rank, in the same unit.
    pub longest_ms: [f64; RANKS],
    /// Sequences that run.
    pub sequences: u32,
}

impl Share {
    /// Adds the work of another daemon.
    pub(crate) fn add(&mut self, other: &Self) {
        for rank in 0..RANKS {
            self.prefill_ms[rank] += other.prefill_ms[rank];
            self.longest_ms[rank] = self.longest_ms[rank].max(other.longest_ms[rank]);
        }
        self.sequences += other.sequences;
    }

    /// Returns the work that an engine does before a request of a rank, in ms.
    ///
    /// An engine reads one prompt at a time and finishes it before a more urgent one: what is less
    /// urgent delays a request by what is left of one prompt.
    #[must_use]
    pub fn ahead_of(&self, rank: u8) -> f64 {
        let (urgent, others) = self.prefill_ms.split_at(level(rank) + 1);
        let longest = self.longest_ms[level(rank) + 1..].iter().copied();
        let longest = longest.fold(0.0, f64::max);
        let urgent: f64 = urgent.iter().sum();
        let others: f64 = others.iter().sum();
        urgent + longest.min(others) * REMAINING_PART
    }
}

/// Returns the index of a rank.
pub(crate) fn level(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}

/// What the other daemons have running on the engines, as they told lately.
///
/// Daemons of the own data centre tell their own work. In a large fleet, another data centre tells
/// the sum of its daemons' work.
#[derive(Debug, Default)]
pub(crate) struct PeerLoads {
    daemons: HashMap<Name, News>,
    data_centres: HashMap<Name, News>,
    totals: HashMap<Name, Share>,
}

#[derive(Debug)]
struct News {
    at: Instant,
    shares: Vec<(Name, Share)>,
}

impl PeerLoads {
    /// Replaces what a daemon told before.
    pub(crate) fn absorb(&mut self, daemon: &Name, shares: Vec<(Name, Share)>, now: Instant) {
        let news = News { at: now, shares };
        self.daemons.insert(daemon.clone(), news);
        self.add_up(now);
    }

    /// Replaces what a data centre told before.
    pub(crate) fn absorb_sum(&mut self, origin: &Name, shares: Vec<(Name, Share)>, now: Instant) {
        let news = News { at: now, shares };
        self.data_centres.insert(origin.clone(), news);
        self.add_up(now);
    }

    fn add_up(&mut self, now: Instant) {
        let is_young = |news: &News| now.since(news.at) < NEWS_LIFETIME;
        self.daemons.retain(|_, news| is_young(news));
        self.data_centres.retain(|_, news| is_young(news));
        self.totals.clear();
        let sources = self.daemons.values().chain(self.data_centres.values());
        add_all(&mut self.totals, sources);
    }

    /// Returns the work of all other daemons on an engine.
    pub(crate) fn total(&self, engine: &Name) -> Share {
        self.totals.get(engine).copied().unwrap_or_default()
    }

    /// Returns the work that daemons told themselves, added up for each engine.
    pub(crate) fn of_daemons(&self) -> HashMap<Name, Share> {
        let mut totals = HashMap::new();
        add_all(&mut totals, self.daemons.values());
        totals
    }
}

fn add_all<'a>(totals: &mut HashMap<Name, Share>, sources: impl Iterator<Item = &'a News>) {
    for (engine, share) in sources.flat_map(|news| &news.shares) {
        let total = totals.entry(engine.clone()).or_default();
        total.add(share);
    }
}
