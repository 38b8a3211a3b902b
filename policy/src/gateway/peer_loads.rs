use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

use crate::Instant;

/// Age at which the news of a peer no longer counts: several of its intervals, and less than the
/// time of most requests.
const NEWS_LIFETIME: Duration = Duration::from_millis(1_500);

/// Ranks that are told apart; less urgent ones count as the last.
pub const RANKS: usize = 4;

/// Work of one daemon on one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Prompts that are being read, in ms of the engine's time, for each rank.
    pub prefill_ms: [f64; RANKS],
    /// Sequences that run.
    pub sequences: u32,
}

impl Share {
    /// Returns the work that an engine does before a request of a rank.
    #[must_use]
    pub fn ahead_of(&self, rank: u8) -> f64 {
        self.prefill_ms[..=level(rank)].iter().sum()
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
                for (sum, rank) in total.prefill_ms.iter_mut().zip(share.prefill_ms) {
                    *sum += rank;
                }
                total.sequences += share.sequences;
            }
        }
    }

    /// Returns the work of all other daemons on an engine.
    pub(crate) fn total(&self, engine: &Name) -> Share {
        self.totals.get(engine).copied().unwrap_or_default()
    }
}
