use std::ffi::OsString;
use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Stdio};

use serde::Deserialize;

use super::{Process, loopback_host};
use crate::Error;

/// Stand-in running as a child process.
#[derive(Debug)]
pub struct StandinProcess {
    /// Name in logs and id in the VM list.
    pub name: String,
    /// Address of the HTTP interface.
    pub address: SocketAddr,
    /// Name of the plain service, or `None` for other kinds.
    pub service: Option<String>,
    /// Whether the VM list reports the VM as leaving.
    pub is_leaving: bool,
    /// Number of starts, reported as its incarnation in the VM list.
    pub starts: u64,
    /// Current process.
    pub process: Process,
    program: Vec<OsString>,
    kind: String,
    flags: Vec<String>,
}

#[derive(Deserialize)]
struct Ready {
    address: SocketAddr,
}

impl StandinProcess {
    /// Starts a stand-in. `program` is the command that runs stand-ins, with its leading arguments.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot start or does not print its address.
    pub fn spawn(
        program: &[OsString],
        kind: &str,
        name: &str,
        flags: &[String],
    ) -> Result<Self, Error> {
        let (process, address) = start(program, kind, &format!("{}:0", loopback_host()), flags)?;
        Ok(Self {
            name: name.to_owned(),
            address,
            service: None,
            is_leaving: false,
            starts: 1,
            process,
            program: program.to_vec(),
            kind: kind.to_owned(),
            flags: flags.to_vec(),
        })
    }

    /// Restarts the process on the same address, killing it first if it is running.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot start or does not print its address.
    pub fn restart(&mut self) -> Result<(), Error> {
        self.process.kill();
        let address = self.address.to_string();
        let (process, address) = start(&self.program, &self.kind, &address, &self.flags)?;
        self.process = process;
        self.address = address;
        self.starts += 1;
        Ok(())
    }

    /// Returns the URL of a path on the stand-in.
    #[must_use]
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

fn start(
    program: &[OsString],
    kind: &str,
    address: &str,
    flags: &[String],
) -> Result<(Process, SocketAddr), Error> {
    let (first, rest) = program.split_first().ok_or_else(|| Error::Process {
        program: kind.to_owned(),
        reason: "no command given".to_owned(),
    })?;
    let mut command = Command::new(first);
    command
        .args(rest)
        .args([kind, "--address", address, "--end-with-input"])
        .args(flags)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped());
    let mut process = Process::spawn_without_log(command)?;
    let mut line = String::new();
    if let Some(output) = process.child().stdout.take() {
        // If the process exits early, the line is empty and parsing it fails below.
        drop(BufReader::new(output).read_line(&mut line));
    }
    let ready: Ready = serde_json::from_str(&line).map_err(|error| Error::Process {
        program: kind.to_owned(),
        reason: format!("did not print its address: {error}"),
    })?;
    Ok((process, ready.address))
}
