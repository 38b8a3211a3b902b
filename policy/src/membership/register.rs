use std::collections::BTreeMap;
use std::time::Duration;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::{EndpointNews, EndpointState};
use ragwortgrade_schema::platform::{Vm, VmKind, VmState};

use super::spread::sends_for;
use crate::Instant;

/// Pieces of news in one exchange; about 150 bytes each.
const NEWS_MAX: usize = 16;
/// An endpoint that is gone is kept this long, so that old news of it does not bring it back.
const FORGET_TIMEOUT: Duration = Duration::from_mins(10);

/// The endpoints of all data centres, as the VM list and gossip tell.
///
/// Within an incarnation the state only moves on: live, leaving, gone. News in any order and from
/// any number of readers of the lagging list therefore give the same result, and a stale list
/// never brings back an endpoint that is leaving.
#[derive(Debug, Default)]
pub struct Register {
    endpoints: BTreeMap<Name, Entry>,
}

#[derive(Debug)]
struct Entry {
    news: EndpointNews,
    changed: Instant,
    sends_left: u32,
}

impl Register {
    /// Takes in a whole read of the VM list and returns the endpoints that changed.
    ///
    /// An endpoint that is not listed any more is gone.
    pub fn absorb_list(&mut self, vms: &[Vm], daemons: usize, now: Instant) -> Vec<EndpointNews> {
        let mut news: Vec<EndpointNews> = vms.iter().filter_map(endpoint_of).collect();
        let unlisted: Vec<EndpointNews> = self
            .endpoints
            .values()
            .filter(|entry| entry.news.state != EndpointState::Gone)
            .filter(|entry| !vms.iter().any(|vm| vm.id == entry.news.id))
            .map(|entry| EndpointNews {
                state: EndpointState::Gone,
                ..entry.news.clone()
            })
            .collect();
        news.extend(unlisted);
        self.absorb(&news, daemons, now)
    }

    /// Takes in what another daemon said and returns the endpoints that changed.
    pub fn absorb(
        &mut self,
        news: &[EndpointNews],
        daemons: usize,
        now: Instant,
    ) -> Vec<EndpointNews> {
        let sends_left = sends_for(daemons);
        let mut changed = Vec::new();
        for piece in news {
            let is_newer = self.endpoints.get(&piece.id).is_none_or(|entry| {
                (piece.incarnation, piece.state) > (entry.news.incarnation, entry.news.state)
            });
            if is_newer {
                let entry = Entry {
                    news: piece.clone(),
                    changed: now,
                    sends_left,
                };
                self.endpoints.insert(piece.id.clone(), entry);
                changed.push(piece.clone());
            }
        }
        self.endpoints.retain(|_, entry| {
            entry.news.state != EndpointState::Gone || now.since(entry.changed) < FORGET_TIMEOUT
        });
        changed
    }

    /// Tells whether the list or gossip says that an endpoint is leaving or gone.
    #[must_use]
    pub fn is_leaving(&self, endpoint: &str) -> bool {
        let entry = self.endpoints.get(endpoint);
        entry.is_some_and(|entry| entry.news.state != EndpointState::Live)
    }

    /// Returns the news for the next exchange; each is passed on a bounded number of times.
    pub fn news(&mut self) -> Vec<EndpointNews> {
        let mut news = Vec::new();
        for entry in self.endpoints.values_mut() {
            if entry.sends_left > 0 && news.len() < NEWS_MAX {
                entry.sends_left -= 1;
                news.push(entry.news.clone());
            }
        }
        news
    }

    /// Returns every endpoint, for a daemon that has just started.
    #[must_use]
    pub fn everything(&self) -> Vec<EndpointNews> {
        self.endpoints
            .values()
            .map(|entry| entry.news.clone())
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
