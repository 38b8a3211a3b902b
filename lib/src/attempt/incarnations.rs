use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use ragwortgrade_schema::Name;

use crate::membership::Endpoint;

/// Incarnations as reported by the endpoints' processes.
///
/// The VM list lags and numbers the starts of a VM in its own way, so its incarnation does not show
/// whether a process has just crashed.
#[derive(Debug, Default)]
pub(crate) struct Incarnations {
    entries: Mutex<HashMap<Name, Entry>>,
}

#[derive(Debug)]
struct Entry {
    /// Incarnation in the VM list when the process was queried.
    listed: u64,
    process: u64,
}

impl Incarnations {
    /// Returns the reported incarnation; `None` when none was reported or when the VM list shows a
    /// restart since then.
    pub(crate) fn get(&self, endpoint: &Endpoint) -> Option<u64> {
        let entries = self.lock();
        let entry = entries.get(&endpoint.id)?;
        (entry.listed == endpoint.incarnation).then_some(entry.process)
    }

    pub(crate) fn record(&self, endpoint: &Endpoint, process: u64) {
        let entry = Entry {
            listed: endpoint.incarnation,
            process,
        };
        self.lock().insert(endpoint.id.clone(), entry);
    }

    /// Removes endpoints that have left.
    pub(crate) fn retain(&self, is_present: impl Fn(&Name) -> bool) {
        self.lock().retain(|name, _| is_present(name));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
