use std::fmt::Debug;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::{
    ClaimAnswer, ClaimOutcome, ClaimRequest, ConfigurationAnswer, Identity, Member, Settled,
    StreamAnswer, StreamRequest, Trial,
};

use super::Error;

/// The other daemons, as this one can call them; each call is bounded in time.
///
/// A call to this daemon's own name is answered by its own [`super::Handler`].
pub trait Peers: Debug + Send + Sync {
    /// Returns the daemons that are believed live, this one included, sorted by name.
    fn members(&self) -> Vec<Member>;

    /// Asks the owner of a claim shard for a claim.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer; the claim may have been granted, and the same
    /// request is granted again.
    fn claim(&self, daemon: &Name, request: &ClaimRequest) -> Result<ClaimAnswer, Error>;

    /// Reports the outcome of a claimed request.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer.
    fn settle(&self, daemon: &Name, outcome: &ClaimOutcome) -> Result<Settled, Error>;

    /// Asks for the tokens of a stream that the daemon still holds.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer.
    fn stream(&self, daemon: &Name, request: &StreamRequest) -> Result<StreamAnswer, Error>;

    /// Asks a daemon to send no other request with a strike to an endpoint for a while.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer.
    fn reserve_trial(&self, daemon: &Name, trial: &Trial) -> Result<bool, Error>;

    /// Asks the daemon at `address` who it is.
    ///
    /// # Errors
    ///
    /// Fails when no daemon answers there.
    fn identity(&self, address: &str) -> Result<Identity, Error>;

    /// Asks for the configuration since a revision.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer.
    fn configuration(&self, daemon: &Name, since: u64) -> Result<ConfigurationAnswer, Error>;
}
