use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use ragwortgrade_schema::Name;

use crate::membership::Endpoint;

/// Incarnations that endpoints' processes report of themselves.
///
/// The VM list counts the starts of a VM in its own way and lags, so its incarnation does not tell
/// whether a process crashed a moment ago.
#[derive(Debug, Default)]
pub(crate) struct Incarnations {
    known: Mutex<HashMap<Name, Known>>,
}

#[derive(Debug)]
struct Known {
    /// Incarnation in the VM list when the process was asked.
    listed: u64,
    process: u64,
}

impl Incarnations {
    /// Returns what the endpoint's process reported, unless the VM list shows a new start since.
    pub(crate) fn get(&self, endpoint: &Endpoint) -> Option<u64> {
        let known = self.lock();
        let known = known.get(&endpoint.id)?;
        (known.listed == endpoint.incarnation).then_some(known.process)
    }

    pub(crate) fn learn(&self, endpoint: &Endpoint, process: u64) {
        let known = Known {
            listed: endpoint.incarnation,
            process,
        };
        self.lock().insert(endpoint.id.clone(), known);
    }

    /// Forgets endpoints that have left.
    pub(crate) fn retain(&self, is_known: impl Fn(&Name) -> bool) {
        self.lock().retain(|name, _| is_known(name));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
