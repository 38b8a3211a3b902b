use std::net::SocketAddr;
use std::time::Duration;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::platform::{Vm, VmKind, VmState};

use super::{
    DaemonProcess, DaemonSettings, Deployment, PeerLink, Plan, StandinProcess, free_address,
};
use crate::{Cut, Error, Relay};

/// Plain services with one endpoint in each data centre.
const PLAIN_SERVICES: [&str; 2] = ["stock", "orders"];
/// The last of every group of this many engines ignores fencing tokens.
const IGNORES_FENCE_EVERY: usize = 3;
/// Minimum number of engines in a data centre for the first of them to start in the prefill role.
const MIN_ENGINES_FOR_PREFILL: usize = 3;
/// Time that an idle daemon gets to drain before it is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Processes and relays of one data centre.
#[derive(Debug)]
pub struct DataCentre {
    /// Name of the data centre.
    pub name: String,
    /// Daemons, each on its own entry VM.
    pub daemons: Vec<DaemonProcess>,
    /// Model engines.
    pub engines: Vec<StandinProcess>,
    /// Endpoints of plain services.
    pub plain_endpoints: Vec<StandinProcess>,
    /// Relay to the key-value service, if the plan includes relays.
    pub key_value_relay: Option<Relay>,
    /// Peer link of each daemon, in the order of `daemons`.
    pub peer_links: Vec<PeerLink>,
    /// Relays to `engines`, followed by those to `plain_endpoints`.
    pub endpoint_relays: Vec<Relay>,
}

impl DataCentre {
    pub(super) fn spawn(
        plan: &Plan,
        index: usize,
        peer_links: Vec<PeerLink>,
        seeds: &[SocketAddr],
        deployment: &Deployment,
    ) -> Result<Self, Error> {
        let mut centre = Self {
            name: format!("dc-{}", index + 1),
            daemons: Vec::new(),
            engines: Vec::new(),
            plain_endpoints: Vec::new(),
            key_value_relay: None,
            peer_links,
            endpoint_relays: Vec::new(),
        };
        if plan.has_relays {
            let target = deployment.key_value.address;
            centre.key_value_relay = Some(Relay::bind("127.0.0.1:0", target)?);
        }
        for number in 0..plan.engines {
            let weights = deployment.weights.url("");
            centre.spawn_engine(plan, number, &weights)?;
        }
        for service in PLAIN_SERVICES {
            centre.spawn_plain(plan, service)?;
        }
        centre.spawn_relays(plan)?;
        for number in 0..centre.peer_links.len() {
            centre.spawn_daemon(plan, number, seeds, deployment)?;
        }
        Ok(centre)
    }

    fn spawn_engine(&mut self, plan: &Plan, number: usize, weights: &str) -> Result<(), Error> {
        let name = format!("engine-{}-{}", self.name, number + 1);
        let fencing = if ignores_fence(number) {
            "ignored"
        } else {
            "checked"
        };
        let order_log = plan.directory.join(format!("{name}.orders"));
        let is_prefill = number == 0 && plan.engines >= MIN_ENGINES_FOR_PREFILL;
        let role = if is_prefill { "prefill" } else { "mixed" };
        let pairs = [
            ("--name", name.as_str()),
            ("--role", role),
            ("--fencing", fencing),
            ("--weights", weights),
            ("--order-log", &order_log.to_string_lossy()),
        ];
        let mut flags = flags(&pairs);
        flags.extend_from_slice(&plan.engine_flags);
        let engine = StandinProcess::spawn(&plan.standin, "engine", &name, &flags)?;
        self.engines.push(engine);
        Ok(())
    }

    fn spawn_plain(&mut self, plan: &Plan, service: &str) -> Result<(), Error> {
        let name = format!("{service}-{}", self.name);
        let effect_log = plan.directory.join(format!("{name}.effects"));
        let pairs = [
            ("--name", name.as_str()),
            ("--effect-log", &effect_log.to_string_lossy()),
        ];
        let mut endpoint = StandinProcess::spawn(&plan.standin, "plain", &name, &flags(&pairs))?;
        endpoint.service = Some(service.to_owned());
        self.plain_endpoints.push(endpoint);
        Ok(())
    }

    fn spawn_relays(&mut self, plan: &Plan) -> Result<(), Error> {
        if !plan.has_relays {
            return Ok(());
        }
        for endpoint in self.engines.iter().chain(&self.plain_endpoints) {
            self.endpoint_relays
                .push(Relay::bind("127.0.0.1:0", endpoint.address)?);
        }
        Ok(())
    }

    fn spawn_daemon(
        &mut self,
        plan: &Plan,
        number: usize,
        seeds: &[SocketAddr],
        deployment: &Deployment,
    ) -> Result<(), Error> {
        let key_value = self
            .key_value_relay
            .as_ref()
            .map_or(deployment.key_value.address, Relay::address);
        let link = &self.peer_links[number];
        let settings = DaemonSettings {
            id: format!("{}{}", daemon_prefix(&self.name), number + 1),
            data_centre: self.name.clone(),
            callers: free_address()?,
            peers: link.listen_address,
            peers_public: link.relay.as_ref().map(Relay::address),
            admin: free_address()?,
            key_value,
            vm_list: deployment.vm_list.address,
            seeds: seeds.to_vec(),
            drain_timeout_ms: plan.drain_timeout_ms,
        };
        let daemon = DaemonProcess::spawn(&plan.daemon, &plan.directory, settings)?;
        self.daemons.push(daemon);
        Ok(())
    }

    /// Returns the address that daemons connect to: the relay's if there is one.
    fn endpoint_address(&self, index: usize, endpoint: &StandinProcess) -> SocketAddr {
        let relay = self.endpoint_relays.get(index);
        relay.map_or(endpoint.address, Relay::address)
    }

    /// Cuts or restores the connections from this data centre's daemons to the key-value service.
    pub fn cut_key_value(&self, cut: Cut) {
        if let Some(relay) = &self.key_value_relay {
            relay.set_cut(cut);
        }
    }

    /// Cuts or restores the connections that another data centre's daemons open to this one's.
    pub(super) fn cut_connections_from(&self, other: &Self, cut: Cut) {
        let prefix = daemon_prefix(&other.name);
        for relay in self
            .peer_links
            .iter()
            .filter_map(|link| link.relay.as_ref())
        {
            relay.set_cut_from(&prefix, cut);
        }
    }

    /// Returns the VM list entries of this data centre.
    #[must_use]
    pub fn vms(&self) -> Vec<Vm> {
        let endpoints = self.engines.iter().chain(&self.plain_endpoints);
        let endpoints = endpoints
            .enumerate()
            .map(|(index, endpoint)| self.endpoint_vm(index, endpoint));
        let daemons = self.daemons.iter().map(|daemon| self.daemon_vm(daemon));
        endpoints.chain(daemons).collect()
    }

    fn endpoint_vm(&self, index: usize, endpoint: &StandinProcess) -> Vm {
        Vm {
            address: self.endpoint_address(index, endpoint).to_string(),
            data_centre: Name::from(self.name.as_str()),
            id: Name::from(endpoint.name.as_str()),
            incarnation: endpoint.starts,
            kind: match endpoint.service {
                None => VmKind::Engine,
                Some(_) => VmKind::Plain,
            },
            peers_address: None,
            service: endpoint.service.as_deref().map(Name::from),
            state: if endpoint.is_leaving {
                VmState::Leaving
            } else {
                VmState::Live
            },
        }
    }

    fn daemon_vm(&self, daemon: &DaemonProcess) -> Vm {
        Vm {
            address: daemon.settings.callers.to_string(),
            data_centre: Name::from(self.name.as_str()),
            id: Name::from(daemon.settings.id.as_str()),
            incarnation: daemon.starts,
            kind: VmKind::Entry,
            peers_address: Some(daemon.settings.public_address().to_string()),
            service: None,
            state: VmState::Live,
        }
    }

    /// Sends SIGTERM to the daemons.
    pub(super) fn terminate(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(process) = &mut daemon.process
                && let Err(error) = process.terminate()
            {
                log::warn!("{error}");
            }
        }
    }

    /// Waits for terminated daemons, and kills those that do not exit in time. Endpoints are killed
    /// when they are dropped.
    pub(super) fn stop(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(process) = &mut daemon.process
                && process.wait(STOP_TIMEOUT).is_none()
            {
                log::warn!("{} did not exit in time, killing it", daemon.settings.id);
            }
            daemon.kill();
        }
    }
}

/// Returns the common prefix of the ids of a data centre's daemons.
fn daemon_prefix(data_centre: &str) -> String {
    format!("daemon-{data_centre}-")
}

/// Returns whether the engine with this number ignores fencing tokens.
pub(super) fn ignores_fence(number: usize) -> bool {
    number % IGNORES_FENCE_EVERY == IGNORES_FENCE_EVERY - 1
}

fn flags(pairs: &[(&str, &str)]) -> Vec<String> {
    pairs
        .iter()
        .flat_map(|(flag, value)| [(*flag).to_owned(), (*value).to_owned()])
        .collect()
}
