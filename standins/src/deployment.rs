//! Deployment as local processes: platform stand-ins, endpoints and daemons.

mod address;
mod daemon;
mod data_centre;
mod declaration;
mod peer_link;
mod plan;
mod process;
mod programs;
mod standin_process;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use ragwortgrade_schema::platform::{Entry, Vms, Write};

pub use self::address::{free_address, loopback_host};
pub use self::daemon::{DaemonProcess, DaemonSettings};
pub use self::data_centre::DataCentre;
pub use self::declaration::{Declaration, DeclaredEndpoint, Workspace};
pub use self::peer_link::PeerLink;
pub use self::plan::Plan;
pub use self::process::Process;
pub use self::programs::Programs;
pub use self::standin_process::StandinProcess;
use crate::{Caller, Cut, Error};

/// Key of the configuration in the key-value service.
const CONFIGURATION_KEY: &str = "configuration";
/// Timeout for a deployment to become ready, long enough for a debug build on a busy machine.
const READY_TIMEOUT: Duration = Duration::from_mins(1);
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Running deployment; dropping it kills every process that it started.
#[derive(Debug)]
pub struct Deployment {
    /// The key-value service.
    pub key_value: StandinProcess,
    /// The VM list.
    pub vm_list: StandinProcess,
    /// The weight store.
    pub weights: StandinProcess,
    /// Data centres, by index.
    pub data_centres: Vec<DataCentre>,
    /// Declaration that `apply` publishes.
    pub declaration: Declaration,
    directory: PathBuf,
    configuration_revision: u64,
}

impl Deployment {
    /// Starts the platform stand-ins, endpoints and daemons, and waits until the daemons are ready.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot start or a daemon is not ready in time.
    pub fn spawn(plan: &Plan) -> Result<Self, Error> {
        let key_value = StandinProcess::spawn(&plan.standin, "key-value", "key-value", &[])?;
        let vm_list = StandinProcess::spawn(&plan.standin, "vm-list", "vm-list", &[])?;
        let weights = StandinProcess::spawn(&plan.standin, "weights", "weights", &[])?;
        let mut deployment = Self {
            key_value,
            vm_list,
            weights,
            data_centres: Vec::new(),
            declaration: Declaration::standard(),
            directory: plan.directory.clone(),
            configuration_revision: 0,
        };
        deployment.write_operator_key()?;
        let mut links = plan.peer_links()?;
        let seeds: Vec<SocketAddr> = links.iter().map(PeerLink::public_address).collect();
        for index in 0..plan.data_centres {
            let centre_links = links.drain(..plan.daemons).collect();
            let centre = DataCentre::spawn(plan, index, centre_links, &seeds, &deployment)?;
            deployment.data_centres.push(centre);
        }
        deployment
            .declaration
            .declare_endpoints(&deployment.data_centres);
        deployment.publish_vms()?;
        deployment.apply_with_ragwortctl(&plan.ragwortctl)?;
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    fn write_operator_key(&self) -> Result<(), Error> {
        let path = self.operator_key_file();
        let text = format!("test:{}\n", daemon::OPERATOR_KEY);
        fs::write(&path, text).map_err(|cause| Error::File {
            path: path.display().to_string(),
            cause,
        })
    }

    /// Returns the directory that holds settings and logs.
    #[must_use]
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Returns the path of the operator key file, which holds `<key id>:<hex>`.
    #[must_use]
    pub fn operator_key_file(&self) -> PathBuf {
        self.directory.join("operator.key")
    }

    /// Writes the declaration into the key-value service as the next revision.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached or the document has changed in the meantime.
    pub fn apply(&mut self) -> Result<(), Error> {
        let mut next = self.declaration.clone();
        next.revision += 1;
        let write = self.write_for(&next);
        self.configuration_revision = Caller::open().write(self.key_value.address, &write)?;
        self.declaration = next;
        Ok(())
    }

    /// Applies the declaration with `ragwortctl`, as operators do.
    fn apply_with_ragwortctl(&mut self, program: &Path) -> Result<(), Error> {
        let file = self.directory.join("configuration.ini");
        fs::write(&file, self.declaration.to_string()).map_err(|cause| Error::File {
            path: file.display().to_string(),
            cause,
        })?;
        let output = Command::new(program)
            .arg("apply")
            .arg(&file)
            .args(["--platform", &self.key_value.url("")])
            .output();
        let process_error = |reason: String| Error::Process {
            program: program.display().to_string(),
            reason,
        };
        let output = output.map_err(|error| process_error(error.to_string()))?;
        if !output.status.success() {
            let text = String::from_utf8_lossy(&output.stderr);
            return Err(process_error(format!("{}: {text}", output.status)));
        }
        self.refresh_revisions()
    }

    /// Returns the compare-and-swap write that replaces the current document by a declaration.
    #[must_use]
    pub fn write_for(&self, declaration: &Declaration) -> Write {
        Write {
            expect: self.configuration_revision,
            key: CONFIGURATION_KEY.to_owned(),
            lease: None,
            value: Some(declaration.to_string()),
        }
    }

    /// Reads the document's revisions again, for use after a write with unknown outcome or after
    /// the daemons restored the newest document.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached or the document has no revision.
    pub fn refresh_revisions(&mut self) -> Result<(), Error> {
        let url = self.key_value.url("/kv/configuration");
        let entry: Entry = Caller::open().get(&url)?;
        let revision = entry.value.as_deref().and_then(document_revision);
        self.declaration.revision = revision.ok_or_else(|| Error::Call {
            url,
            reason: "the document has no revision".to_owned(),
        })?;
        self.configuration_revision = entry.revision;
        Ok(())
    }

    /// Publishes the current VMs in the VM list.
    ///
    /// # Errors
    ///
    /// Fails when the VM list cannot be reached.
    pub fn publish_vms(&self) -> Result<(), Error> {
        let vms = self.data_centres.iter().flat_map(DataCentre::vms).collect();
        let url = format!("http://{}/debug/vms", self.vm_list.address);
        Caller::open().post(&url, &Vms { vms })
    }

    /// Cuts or restores the connections between the daemons of one data centre and all others.
    ///
    /// `Cut::ToTarget` blocks outgoing data of the data centre, `Cut::FromTarget` incoming data.
    pub fn cut_data_centre(&self, index: usize, cut: Cut) {
        let inbound = match cut {
            Cut::ToTarget => Cut::FromTarget,
            Cut::FromTarget => Cut::ToTarget,
            other => other,
        };
        let own = &self.data_centres[index];
        for other in &self.data_centres {
            if other.name != own.name {
                own.cut_connections_from(other, inbound);
                other.cut_connections_from(own, cut);
            }
        }
    }

    /// Returns the caller addresses of all running daemons.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let daemons = self.data_centres.iter().flat_map(|centre| &centre.daemons);
        daemons
            .filter(|daemon| daemon.is_running())
            .map(|daemon| daemon.settings.callers)
            .collect()
    }

    /// Waits until every running daemon is ready.
    ///
    /// # Errors
    ///
    /// Fails when a daemon is not ready within the timeout.
    pub fn wait_until_ready(&self) -> Result<(), Error> {
        let until = Instant::now() + READY_TIMEOUT;
        let caller = Caller::open();
        for address in self.caller_addresses() {
            let url = format!("http://{address}/readyz");
            while !caller.is_ok(&url) {
                if Instant::now() > until {
                    return Err(Error::Call {
                        url,
                        reason: format!(
                            "daemon not ready within the timeout; logs are in {}",
                            self.directory.display()
                        ),
                    });
                }
                thread::sleep(READY_CHECK_INTERVAL);
            }
        }
        Ok(())
    }

    /// Terminates the daemons, kills those that do not exit in time, and kills all other processes.
    pub fn stop(mut self) {
        for centre in &mut self.data_centres {
            centre.terminate();
        }
        for centre in &mut self.data_centres {
            centre.stop();
        }
    }
}

/// Parses the revision of a rendered declaration.
#[must_use]
pub fn document_revision(document: &str) -> Option<u64> {
    let line = document.lines().find(|line| line.starts_with("revision"))?;
    line.split_once('=')?.1.trim().parse().ok()
}
