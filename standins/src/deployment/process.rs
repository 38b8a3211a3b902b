use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::Error;

const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Child process that is killed when the handle is dropped.
#[derive(Debug)]
pub struct Process {
    program: String,
    child: Child,
    exit_status: Option<ExitStatus>,
}

impl Process {
    /// Starts a program whose standard error is appended to the file `log`.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started or the log cannot be opened.
    pub fn spawn(mut command: Command, log: &Path) -> Result<Self, Error> {
        let program = command.get_program().to_string_lossy().into_owned();
        let file = File::options().create(true).append(true).open(log);
        let file = file.map_err(|cause| Error::File {
            path: log.display().to_string(),
            cause,
        })?;
        Self::start(command.stderr(Stdio::from(file)), program)
    }

    /// Starts a program that inherits the standard error of this process.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn spawn_without_log(mut command: Command) -> Result<Self, Error> {
        let program = command.get_program().to_string_lossy().into_owned();
        Self::start(&mut command, program)
    }

    fn start(command: &mut Command, program: String) -> Result<Self, Error> {
        let child = command.spawn().map_err(|error| Error::Process {
            program: program.clone(),
            reason: error.to_string(),
        })?;
        Ok(Self {
            program,
            child,
            exit_status: None,
        })
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the child, for access to its standard streams.
    pub(super) fn child(&mut self) -> &mut Child {
        &mut self.child
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        if self.exit_status.is_none() {
            self.exit_status = self.child.try_wait().ok().flatten();
        }
        self.exit_status
    }

    /// Kills the process (SIGKILL) and waits for it.
    pub fn kill(&mut self) {
        if self.exit_status().is_some() {
            return;
        }
        if let Err(error) = self.child.kill() {
            log::error!("cannot kill process {}: {error}", self.id());
        }
        self.exit_status = self.child.wait().ok();
    }

    /// Requests termination (SIGTERM).
    ///
    /// # Errors
    ///
    /// Fails when the process has exited.
    pub fn terminate(&mut self) -> Result<(), Error> {
        self.signal(Signal::TERM)
    }

    /// Pauses the process (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Fails when the process has exited.
    pub fn pause(&mut self) -> Result<(), Error> {
        self.signal(Signal::STOP)
    }

    /// Resumes a paused process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Fails when the process has exited.
    pub fn resume(&mut self) -> Result<(), Error> {
        self.signal(Signal::CONT)
    }

    /// Waits for the process to exit, and returns `None` if it still runs after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + timeout;
        while self.exit_status().is_none() && Instant::now() < until {
            thread::sleep(EXIT_CHECK_INTERVAL);
        }
        self.exit_status
    }

    fn signal(&mut self, signal: Signal) -> Result<(), Error> {
        let process_error = |reason: String| Error::Process {
            program: self.program.clone(),
            reason,
        };
        // After the child was reaped, its id may belong to another process.
        if let Some(status) = self.exit_status {
            return Err(process_error(format!("has already exited with {status}")));
        }
        kill_process(Pid::from_child(&self.child), signal)
            .map_err(|error| process_error(error.to_string()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
