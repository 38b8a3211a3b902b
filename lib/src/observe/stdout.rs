use std::io::{self, Write as _};
use std::mem;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use log::LevelFilter;

use super::{Error, logging};

/// Holds several seconds of the log of a gateway under load.
const BUFFER_BYTES_MAX: usize = 256 * 1024;
/// Pause between two writes, since each write is a system call.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// Lines to be written by a dedicated thread, so that no request blocks on a slow reader of
/// standard output.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Mutex<Vec<u8>>,
    dropped: AtomicU64,
}

/// Handle of the log to standard output.
#[derive(Debug)]
pub struct StdoutLog(Arc<Buffer>);

impl StdoutLog {
    /// Writes the buffered lines; called before the process exits.
    pub fn flush(&self) {
        self.0.write();
    }
}

/// Installs the process's logger, which writes JSON lines to standard output. Lines that do not fit
/// into the buffer are dropped, and the next write logs their number.
///
/// # Errors
///
/// Fails when the process already has a logger or no thread can be started.
pub fn start_stdout_logging(level: LevelFilter) -> Result<StdoutLog, Error> {
    let buffer = Arc::new(Buffer::default());
    let logger_buffer = Arc::clone(&buffer);
    logging::dispatch(LevelFilter::Trace)
        .chain(fern::Output::call(move |record| {
            logger_buffer.push(&record.args().to_string());
        }))
        .apply()
        .map_err(|_already_set| Error::LoggerInstalled)?;
    log::set_max_level(level);
    let writer_buffer = Arc::clone(&buffer);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            loop {
                thread::sleep(WRITE_PAUSE);
                writer_buffer.write();
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

    fn write(&self) {
        let bytes = mem::take(&mut *self.lock());
        if bytes.is_empty() {
            return;
        }
        let mut output = io::stdout().lock();
        // If standard output is closed, the lines are lost and there is nowhere to report that.
        let _ignored = output.write_all(&bytes).and_then(|()| output.flush());
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
