use std::fmt::Debug;

use ragwortgrade_schema::peer::{
    ClaimAnswer, ClaimOutcome, ClaimRequest, ConfigurationAnswer, Gossip, Identity, Settled,
    StreamAnswer, StreamRequest, Trial,
};

/// What this daemon answers to others; every method may block for a short while.
pub trait Handler: Debug + Send + Sync {
    /// Takes in a peer's gossip and returns what the peer lacks.
    fn exchange(&self, gossip: Gossip) -> Gossip;

    /// Answers for a claim shard that this daemon owns.
    fn claim(&self, request: ClaimRequest) -> ClaimAnswer;

    /// Records the outcome of a claimed request.
    fn settle(&self, outcome: ClaimOutcome) -> Settled;

    /// Returns the tokens held of a stream.
    fn stream(&self, request: StreamRequest) -> StreamAnswer;

    /// Confirms that no other request with a strike goes to an endpoint for a while.
    fn reserve_trial(&self, trial: Trial) -> bool;

    /// Returns this daemon's identity.
    fn identity(&self) -> Identity;

    /// Returns the configuration since a revision.
    fn configuration(&self, since: u64) -> ConfigurationAnswer;
}
