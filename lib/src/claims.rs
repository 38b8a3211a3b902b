//! At-most-once claims of the shards that this daemon owns.

use std::sync::Arc;

use ragwortgrade_schema::peer::{ClaimAnswer, ClaimOutcome, ClaimRequest, ClaimState, Settled};

use crate::Node;

/// Answers claims for the shards that this daemon owns.
#[derive(Debug)]
pub struct Claims {
    _node: Arc<Node>,
}

impl Claims {
    /// Opens the claims of a daemon.
    #[must_use]
    pub fn open(node: Arc<Node>) -> Arc<Self> {
        Arc::new(Self { _node: node })
    }

    /// Answers a claim; blocks until the claim's record is written.
    #[must_use]
    pub fn claim(&self, _request: &ClaimRequest) -> ClaimAnswer {
        ClaimAnswer {
            state: ClaimState::Unavailable,
            recorded: None,
            owner: None,
        }
    }

    /// Records the outcome of a claimed request.
    #[must_use]
    pub fn settle(&self, _outcome: &ClaimOutcome) -> Settled {
        Settled::Unavailable
    }
}
