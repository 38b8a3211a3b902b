use std::fmt::Debug;

use ragwortgrade_schema::platform::Vm;

use super::Error;

/// The platform's list of live and leaving VMs, which lags behind their actual state.
pub trait VmList: Debug + Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Fails when the list cannot be reached or is malformed.
    fn vms(&self) -> Result<Vec<Vm>, Error>;
}
