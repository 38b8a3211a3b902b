use std::fmt::Debug;

use ragwortgrade_schema::peer::{
    ClaimAnswer, ClaimOutcome, ClaimRequest, ConfigurationAnswer, Gossip, Identity, Settled,
    StreamAnswer, StreamRequest, Trial,
};

/// Handles calls from other daemons. Every method may block briefly.
pub trait Handler: Debug + Send + Sync {
    /// Applies a peer's gossip and returns this daemon's.
    fn exchange(&self, gossip: Gossip) -> Gossip;

    /// Decides a claim in a shard that this daemon owns.
    fn claim(&self, request: ClaimRequest) -> ClaimAnswer;

    /// Records the outcome of a claimed request.
    fn settle(&self, outcome: ClaimOutcome) -> Settled;

    /// Returns the buffered tokens of a stream.
    fn stream(&self, request: StreamRequest) -> StreamAnswer;

    /// Reserves an endpoint for a trial: for the given time this daemon sends it no other request
    /// that has a strike. Returns whether the reservation was made.
    fn reserve_trial(&self, trial: Trial) -> bool;

    /// Returns this daemon's name, incarnation, data centre and drain state.
    fn identity(&self) -> Identity;

    /// Returns the changes of the configuration since a revision.
    fn configuration(&self, since: u64) -> ConfigurationAnswer;
}
