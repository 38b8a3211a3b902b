use std::env;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use crate::Error;

/// First argument with which an example runs a stand-in.
pub(super) const STANDIN_ARGUMENT: &str = "standin";

/// Programs of a deployment, built with the same profile as the running example.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Path of the daemon program.
    pub daemon: PathBuf,
    /// Path of `ragwortctl`, the command of operators.
    pub ragwortctl: PathBuf,
    /// Command that runs stand-ins: the running example with the argument `standin`.
    pub standin: Vec<OsString>,
}

impl Programs {
    /// Builds the programs with the Cargo that runs this example, and returns their paths. Without
    /// Cargo, existing programs are used.
    ///
    /// # Errors
    ///
    /// Fails when the build fails.
    pub fn build() -> Result<Self, Error> {
        let example = env::current_exe().map_err(|cause| Error::File {
            path: "path of the running example".to_owned(),
            cause,
        })?;
        let profile_directory = example
            .parent()
            .and_then(Path::parent)
            .unwrap_or(Path::new("."));
        if let Some(cargo) = env::var_os("CARGO") {
            build(cargo, profile_directory.ends_with("release"))?;
        }
        Ok(Self {
            daemon: profile_directory.join("ragwortgrade"),
            ragwortctl: profile_directory.join("ragwortctl"),
            standin: vec![example.into_os_string(), STANDIN_ARGUMENT.into()],
        })
    }
}

fn build(cargo: OsString, is_release: bool) -> Result<(), Error> {
    let process_error = |reason: String| Error::Process {
        program: "cargo build".to_owned(),
        reason,
    };
    let mut command = Command::new(cargo);
    command
        .args([
            "build",
            "--quiet",
            "--package",
            "ragwortgrade-cli",
            "--bins",
        ])
        .stdout(Stdio::null());
    if is_release {
        command.arg("--release");
    }
    let status = command
        .status()
        .map_err(|error| process_error(error.to_string()))?;
    if status.success() {
        return Ok(());
    }
    Err(process_error(format!("exited with {status}")))
}
