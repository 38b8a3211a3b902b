use std::io;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// A background thread that runs a job periodically until it is stopped or dropped.
#[derive(Debug)]
pub(crate) struct Worker {
    stop: Option<mpsc::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    /// Spawns a thread that calls `job` repeatedly; each call returns the pause until the next.
    pub(crate) fn spawn(
        name: &str,
        mut job: impl FnMut() -> Duration + Send + 'static,
    ) -> io::Result<Self> {
        let (stop, stopped) = mpsc::channel();
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                loop {
                    let pause = job();
                    if stopped.recv_timeout(pause) != Err(RecvTimeoutError::Timeout) {
                        return;
                    }
                }
            })?;
        Ok(Self {
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Stops the thread after the current run of the job and waits for it to exit.
    pub(crate) fn stop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("background thread panicked");
        }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.stop();
    }
}
