use std::fmt::Debug;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::{
    ClaimAnswer, ClaimOutcome, ClaimRequest, ConfigurationAnswer, Identity, Member, Settled,
    StreamAnswer, StreamRequest, Trial,
};

use super::Error;

/// Calls to other daemons; every call has a timeout.
///
/// A call to this daemon's own name is answered by its own [`super::Handler`]. A call to a name
/// that is not in the roster fails with [`Error::Unknown`].
pub trait Peers: Debug + Send + Sync {
    /// Returns the daemons that are considered live, this one included, sorted by name.
    fn members(&self) -> Vec<Member>;

    /// Requests a claim from the owner of its shard.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer. The claim may have been granted; repeating the same
    /// request is safe and is granted again.
    fn claim(&self, daemon: &Name, request: &ClaimRequest) -> Result<ClaimAnswer, Error>;

    /// Reports the outcome of a claimed request.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer.
    fn settle(&self, daemon: &Name, outcome: &ClaimOutcome) -> Result<Settled, Error>;

    /// Requests the tokens of a stream that the daemon has buffered.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer.
    fn stream(&self, daemon: &Name, request: &StreamRequest) -> Result<StreamAnswer, Error>;

    /// Reserves an endpoint for a trial at a daemon: for the given time it sends the endpoint no
    /// other request that has a strike. Returns whether the reservation was made.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer.
    fn reserve_trial(&self, daemon: &Name, trial: &Trial) -> Result<bool, Error>;

    /// Requests the identity of the daemon at `address`.
    ///
    /// # Errors
    ///
    /// Fails when no daemon answers there.
    fn identity(&self, address: &str) -> Result<Identity, Error>;

    /// Requests the changes of the configuration since a revision.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer.
    fn configuration(&self, daemon: &Name, since: u64) -> Result<ConfigurationAnswer, Error>;
}
