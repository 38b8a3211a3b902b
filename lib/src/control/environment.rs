use std::fmt::Debug;

use ragwortgrade_policy::fleet::Demand;
use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::Load;
use ragwortgrade_schema::peer::Departure;

/// The controller's access to the other parts of its daemon.
pub trait Environment: Debug + Send + Sync {
    /// Returns the latest load report of an engine, which may be outdated.
    fn load(&self, engine: &Name) -> Option<Load>;

    /// Returns whether an engine can be reached.
    fn is_reachable(&self, engine: &Name) -> bool;

    /// Returns the recent demand of each model in this data centre.
    fn demand(&self) -> Vec<Demand>;

    /// Excludes an engine from new work during a change, or readmits it, on all daemons.
    ///
    /// Called again every few seconds while the change lasts, because marks expire.
    fn mark(&self, departure: Departure);

    /// Returns the entry VMs of the platform's list, live or leaving; `None` when it cannot be
    /// read.
    ///
    /// Called once per acquisition of the lease, and regularly while a takeover waits.
    fn entry_vms(&self) -> Option<Vec<Name>>;
}
