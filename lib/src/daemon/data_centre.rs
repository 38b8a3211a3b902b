use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::fleet::Demand;
use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::Load;
use ragwortgrade_schema::peer::Departure;
use ragwortgrade_schema::platform::VmKind;

use crate::Node;
use crate::control::Environment;
use crate::membership::Table;
use crate::platform::VmList;

/// Minimum interval between reads of the VM list, since a takeover requests the entry VMs
/// repeatedly.
const LIST_CACHE_PERIOD: Duration = Duration::from_secs(1);

/// The data centre as seen by control: membership, loads, demand and the VM list.
#[derive(Debug)]
pub(super) struct DataCentre {
    node: Arc<Node>,
    table: Arc<Table>,
    list: Arc<dyn VmList>,
    /// Entry VMs of the last read of the list.
    cached: Mutex<Option<CachedEntryVms>>,
}

#[derive(Debug)]
struct CachedEntryVms {
    read_at: Instant,
    /// `None` if the list could not be read.
    entry_vms: Option<Vec<Name>>,
}

impl DataCentre {
    pub(super) fn open(node: Arc<Node>, table: Arc<Table>, list: Arc<dyn VmList>) -> Self {
        Self {
            node,
            table,
            list,
            cached: Mutex::default(),
        }
    }

    fn read_entry_vms(&self) -> Option<Vec<Name>> {
        let vms = self.list.vms().ok()?;
        let entry_vms = vms.into_iter().filter(|vm| vm.kind == VmKind::Entry);
        Some(entry_vms.map(|vm| vm.id).collect())
    }
}

impl Environment for DataCentre {
    fn load(&self, engine: &Name) -> Option<Load> {
        self.table.load(engine)
    }

    fn is_reachable(&self, engine: &Name) -> bool {
        self.table.has_recent_report(engine)
    }

    fn demand(&self) -> Vec<Demand> {
        self.table.demand()
    }

    fn mark(&self, departure: Departure) {
        self.table.mark_departures(&[departure]);
    }

    fn entry_vms(&self) -> Option<Vec<Name>> {
        let now = self.node.clock.now();
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        match &*cached {
            Some(known) if now.since(known.read_at) < LIST_CACHE_PERIOD => known.entry_vms.clone(),
            _ => {
                let entry_vms = self.read_entry_vms();
                *cached = Some(CachedEntryVms {
                    read_at: now,
                    entry_vms: entry_vms.clone(),
                });
                entry_vms
            }
        }
    }
}
