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
#[derive(Debug, Default)]
pub(crate) struct PeerLoads {
    peers: HashMap<Name, News>,
    totals: HashMap<Name, Share>,
}

#[derive(Debug)]
struct News {
    at: Instant,
    shares: Vec<(Name, Share)>,
}

impl PeerLoads {
    /// Replaces what a peer told before.
    pub(crate) fn absorb(&mut self, peer: &Name, shares: Vec<(Name, Share)>, now: Instant) {
        self.peers.insert(peer.clone(), News { at: now, shares });
        self.peers
            .retain(|_, news| now.since(news.at) < NEWS_LIFETIME);
        self.totals.clear();
        for news in self.peers.values() {
            for (engine, share) in &news.shares {
                let total = self.totals.entry(engine.clone()).or_default();
                total.add(share);
            }
        }
    }

    /// Returns the work of all other daemons on an engine.
    pub(crate) fn total(&self, engine: &Name) -> Share {
        self.totals.get(engine).copied().unwrap_or_default()
    }
}
