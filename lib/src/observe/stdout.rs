use std::io::{self, Write as _};
use std::mem;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use log::LevelFilter;

use super::{Error, logging};

/// Bytes that wait to be written: some seconds of a loaded daemon.
const BUFFER_BYTES_MAX: usize = 256 * 1024;
/// Pause between two writes; each write costs a system call.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// Lines that wait for a thread of their own to write them, so that no request waits for a reader
/// of standard output.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Mutex<Vec<u8>>,
    dropped: AtomicU64,
}

/// Running log to standard output.
#[derive(Debug)]
pub struct StdoutLog(Arc<Buffer>);

impl StdoutLog {
    /// Writes the lines that wait; called before the process ends.
    pub fn flush(&self) {
        self.0.write();
    }
}

/// Starts logging for the whole process as JSON lines on standard output. Lines beyond the buffer
/// are dropped and counted; the next write tells how many.
///
/// # Errors
///
/// Fails when the process already has a logger or no thread can be started.
pub fn start_stdout_logging(level: LevelFilter) -> Result<StdoutLog, Error> {
    let buffer = Arc::new(Buffer::default());
    let lines = Arc::clone(&buffer);
    logging::dispatch(LevelFilter::Trace)
        .chain(fern::Output::call(move |record| {
            lines.push(&record.args().to_string());
        }))
        .apply()
        .map_err(|_already_set| Error::LoggerInstalled)?;
    log::set_max_level(level);
    let waiting = Arc::clone(&buffer);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            loop {
                thread::sleep(WRITE_PAUSE);
                waiting.write();
            }
        })
        .map_err(Error::Thread)?;
    Ok(StdoutLog(buffer))
}

impl Buffer {
    fn push(&self, text: &str) {
        let mut bytes = self.lock();
        if bytes.len() + text.len() >= BUFFER_BYTES_MAX {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        bytes.extend_from_slice(text.as_bytes());
        bytes.push(b'\n');
    }

    /// Writes the lines that wait.
    fn write(&self) {
        let bytes = mem::take(&mut *self.lock());
        if bytes.is_empty() {
            return;
        }
        let mut output = io::stdout().lock();
        // Without a reader the lines are lost; there is nowhere else to say so.
        let _unread = output.write_all(&bytes).and_then(|()| output.flush());
        drop(output);
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            log::warn!(lines = dropped; "log lines were dropped");
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
