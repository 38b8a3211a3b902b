use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ragwortgrade_schema::admin::{EndpointStatus, Instance, MemberStatus, Status};

use crate::Node;
use crate::admin::Backend;
use crate::configuration::Replica;
use crate::front::Context;
use crate::membership::Table;

/// Serves the operators' interface: reports the daemon's status and starts its drain.
pub(super) struct AdminBackend {
    pub(super) node: Arc<Node>,
    pub(super) table: Arc<Table>,
    pub(super) front: Arc<Context>,
    pub(super) replica: Arc<Replica>,
    pub(super) on_drain: Box<dyn Fn() + Send + Sync>,
    pub(super) is_drain_requested: AtomicBool,
}

impl fmt::Debug for AdminBackend {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AdminBackend")
            .field("node", &self.node)
            .finish_non_exhaustive()
    }
}

impl AdminBackend {
    fn instance(&self) -> Instance {
        let daemon = &self.node.settings.daemon;
        Instance {
            id: daemon.id.clone(),
            incarnation: self.node.incarnation,
            data_centre: daemon.data_centre.clone(),
            region: daemon.region.clone(),
            draining: self.node.is_draining(),
        }
    }

    fn members(&self) -> Vec<MemberStatus> {
        let live = self.table.roster().live();
        let status = |member: ragwortgrade_schema::peer::Member| MemberStatus {
            id: member.identity.id,
            incarnation: member.identity.incarnation,
            data_centre: member.identity.data_centre,
            draining: member.identity.draining,
        };
        live.into_iter().map(status).collect()
    }

    fn endpoints(&self) -> Vec<EndpointStatus> {
        let endpoints = self.node.directory.all().into_iter();
        endpoints
            .map(|endpoint| EndpointStatus {
                id: endpoint.id,
                data_centre: endpoint.data_centre,
                service: endpoint.service,
                leaving: endpoint.leaving,
            })
            .collect()
    }
}

impl Backend for AdminBackend {
    fn status(&self) -> Status {
        Status {
            configuration: self.replica.in_force(),
            daemon: self.instance(),
            endpoints: self.endpoints(),
            members: self.members(),
            open_requests: u64::from(self.front.open_requests()),
        }
    }

    fn drain(&self) {
        if !self.is_drain_requested.swap(true, Ordering::Relaxed) {
            (self.on_drain)();
        }
    }
}
