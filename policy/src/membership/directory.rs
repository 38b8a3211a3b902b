use std::collections::BTreeMap;
use std::time::Duration;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::{EndpointNews, EndpointState};
use ragwortgrade_schema::platform::{Vm, VmKind, VmState};

use super::dissemination::transmissions_for;
use crate::Instant;

/// Updates in one exchange; about 150 bytes each.
const UPDATES_MAX: usize = 16;
/// Time for which a departed endpoint is retained, so that a delayed update does not restore it.
const GONE_RETENTION: Duration = Duration::from_mins(10);

/// Endpoints of all data centres, from the VM list and gossip.
///
/// Within an incarnation the state only advances: live, leaving, gone. The result therefore doesn't
/// depend on the order of updates or on the number of readers of the lagging list, and a stale list
/// never restores a leaving endpoint.
#[derive(Debug, Default)]
pub struct Directory {
    endpoints: BTreeMap<Name, Entry>,
}

#[derive(Debug)]
struct Entry {
    latest: EndpointNews,
    changed: Instant,
    transmissions_left: u32,
}

impl Directory {
    /// Merges a complete VM list and returns the endpoints that changed.
    ///
    /// Known endpoints that are not listed are gone.
    pub fn merge_list(&mut self, vms: &[Vm], daemons: usize, now: Instant) -> Vec<EndpointNews> {
        let mut updates: Vec<EndpointNews> = vms.iter().filter_map(endpoint_of).collect();
        let unlisted: Vec<EndpointNews> = self
            .endpoints
            .values()
            .filter(|entry| entry.latest.state != EndpointState::Gone)
            .filter(|entry| !vms.iter().any(|vm| vm.id == entry.latest.id))
            .map(|entry| EndpointNews {
                state: EndpointState::Gone,
                ..entry.latest.clone()
            })
            .collect();
        updates.extend(unlisted);
        self.merge(&updates, daemons, now)
    }

    /// Merges updates from another daemon and returns the endpoints that changed.
    pub fn merge(
        &mut self,
        updates: &[EndpointNews],
        daemons: usize,
        now: Instant,
    ) -> Vec<EndpointNews> {
        let transmissions_left = transmissions_for(daemons);
        let mut changed = Vec::new();
        for update in updates {
            let is_newer = self.endpoints.get(&update.id).is_none_or(|entry| {
                (update.incarnation, update.state) > (entry.latest.incarnation, entry.latest.state)
            });
            if is_newer {
                let entry = Entry {
                    latest: update.clone(),
                    changed: now,
                    transmissions_left,
                };
                self.endpoints.insert(update.id.clone(), entry);
                changed.push(update.clone());
            }
        }
        self.endpoints.retain(|_, entry| {
            entry.latest.state != EndpointState::Gone || now.since(entry.changed) < GONE_RETENTION
        });
        changed
    }

    /// Returns whether an endpoint is leaving or gone according to the list or gossip.
    #[must_use]
    pub fn is_leaving(&self, endpoint: &str) -> bool {
        let entry = self.endpoints.get(endpoint);
        entry.is_some_and(|entry| entry.latest.state != EndpointState::Live)
    }

    /// Returns the updates for the next exchange. Each is sent a bounded number of times.
    pub fn updates(&mut self) -> Vec<EndpointNews> {
        let mut updates = Vec::new();
        for entry in self.endpoints.values_mut() {
            if entry.transmissions_left > 0 && updates.len() < UPDATES_MAX {
                entry.transmissions_left -= 1;
                updates.push(entry.latest.clone());
            }
        }
        updates
    }

    /// Returns all endpoints, for a daemon that has just started.
    #[must_use]
    pub fn all(&self) -> Vec<EndpointNews> {
        self.endpoints
            .values()
            .map(|entry| entry.latest.clone())
            .collect()
    }
}

fn endpoint_of(vm: &Vm) -> Option<EndpointNews> {
    if vm.kind == VmKind::Entry {
        return None;
    }
    Some(EndpointNews {
        id: vm.id.clone(),
        data_centre: vm.data_centre.clone(),
        address: vm.address.clone(),
        service: vm.service.clone(),
        incarnation: vm.incarnation,
        state: match vm.state {
            VmState::Live => EndpointState::Live,
            VmState::Leaving => EndpointState::Leaving,
        },
    })
}
