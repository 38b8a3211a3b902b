use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

use super::Process;
use crate::Error;

/// Key that authenticates daemons to each other in test deployments; not secret.
pub(crate) const PEER_KEY: &str =
    "6b65792d666f722d74657374732d6b65792d666f722d74657374732d6b657931";
/// Operator key of test deployments; not secret.
pub(crate) const OPERATOR_KEY: &str =
    "6f70657261746f722d6b65792d666f722d74657374732d6f70657261746f7231";

/// Settings of a daemon; `Display` renders its INI file.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Id of the daemon.
    pub id: String,
    /// Data centre of the daemon.
    pub data_centre: String,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for other daemons.
    pub peers: SocketAddr,
    /// Address of a relay to `peers`, which other daemons connect to.
    pub peers_public: Option<SocketAddr>,
    /// Listen address for operators.
    pub admin: SocketAddr,
    /// Address of the key-value service, or of a relay to it.
    pub key_value: SocketAddr,
    /// Address of the VM list, or of a relay to it.
    pub vm_list: SocketAddr,
    /// Peer addresses of daemons to join through.
    pub seeds: Vec<SocketAddr>,
    /// Drain timeout in milliseconds.
    pub drain_timeout_ms: u64,
}

impl fmt::Display for DaemonSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seeds = self
            .seeds
            .iter()
            .filter(|seed| **seed != self.public_address());
        let seeds: Vec<String> = seeds.map(ToString::to_string).collect();
        writeln!(f, "[daemon]")?;
        writeln!(f, "id = {}", self.id)?;
        writeln!(f, "data_centre = {}", self.data_centre)?;
        writeln!(f, "region = region-1")?;
        writeln!(f, "callers_address = {}", self.callers)?;
        writeln!(f, "peers_address = {}", self.peers)?;
        if let Some(public) = self.peers_public {
            writeln!(f, "peers_public_address = {public}")?;
        }
        writeln!(f, "admin_address = {}", self.admin)?;
        writeln!(f, "\n[platform]")?;
        writeln!(f, "key_value = http://{}", self.key_value)?;
        writeln!(f, "vm_list = http://{}", self.vm_list)?;
        writeln!(f, "\n[peers]")?;
        writeln!(f, "seeds = {}", seeds.join(", "))?;
        writeln!(f, "\n[keys]")?;
        writeln!(f, "peer.test = {PEER_KEY}")?;
        writeln!(f, "peer_active = test")?;
        writeln!(f, "operator.test = {OPERATOR_KEY}")?;
        writeln!(f, "\n[limits]")?;
        writeln!(f, "drain_timeout_ms = {}", self.drain_timeout_ms)?;
        writeln!(f, "\n[observe]")?;
        writeln!(f, "log_level = info")
    }
}

impl DaemonSettings {
    /// Returns the address that other daemons connect to.
    #[must_use]
    pub fn public_address(&self) -> SocketAddr {
        self.peers_public.unwrap_or(self.peers)
    }
}

/// Daemon running as a child process.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Settings that the daemon was started with.
    pub settings: DaemonSettings,
    /// The process, or `None` after `kill`.
    pub process: Option<Process>,
    /// Number of starts, reported as its incarnation in the VM list.
    pub starts: u64,
    program: PathBuf,
    settings_file: PathBuf,
    log: PathBuf,
}

impl DaemonProcess {
    /// Writes the settings into `directory` and starts the daemon.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be written or the process cannot start.
    pub fn spawn(
        program: &Path,
        directory: &Path,
        settings: DaemonSettings,
    ) -> Result<Self, Error> {
        let settings_file = directory.join(format!("{}.ini", settings.id));
        fs::write(&settings_file, settings.to_string()).map_err(|cause| Error::File {
            path: settings_file.display().to_string(),
            cause,
        })?;
        let log = directory.join(format!("{}.log", settings.id));
        let mut daemon = Self {
            settings,
            process: None,
            starts: 0,
            program: program.to_owned(),
            settings_file,
            log,
        };
        daemon.start()?;
        Ok(daemon)
    }

    /// Starts the daemon, unless it is running.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot start.
    pub fn start(&mut self) -> Result<(), Error> {
        if self.is_running() {
            return Ok(());
        }
        let mut command = Command::new(&self.program);
        command.arg("--settings").arg(&self.settings_file);
        self.process = Some(Process::spawn(command, &self.log)?);
        self.starts += 1;
        Ok(())
    }

    /// Returns whether the daemon was started and not killed through this handle. A process that
    /// exited on its own still counts.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Kills the daemon.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
    }

    /// Returns the path of the log file.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Returns the path of the settings file.
    #[must_use]
    pub fn settings_file(&self) -> &Path {
        &self.settings_file
    }
}
