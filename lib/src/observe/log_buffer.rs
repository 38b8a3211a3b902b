use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A few minutes of the log of an idle daemon, well below the daemon's memory limit.
const LINES_MAX: usize = 2_048;
/// Longer lines are replaced by a line that says so.
const LINE_BYTES_MAX: usize = 4_096;

/// Ring buffer of the newest log lines, numbered from 1, for the operators' interface.
#[derive(Debug)]
pub struct LogBuffer {
    lines: Mutex<Lines>,
}

#[derive(Debug)]
struct Lines {
    kept: VecDeque<String>,
    next: u64,
}

static LOG_BUFFER: LogBuffer = LogBuffer::new();

/// Returns the buffer of this process, which is global because the logger is.
#[must_use]
pub fn log_buffer() -> &'static LogBuffer {
    &LOG_BUFFER
}

impl Default for LogBuffer {
    fn default() -> Self {
        Self::new()
    }
}

impl LogBuffer {
    /// Creates an empty buffer.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            lines: Mutex::new(Lines {
                kept: VecDeque::new(),
                next: 1,
            }),
        }
    }

    /// Adds a rendered line. A line that is too long is replaced, because truncating it would break
    /// its JSON.
    pub fn record(&self, line: &str) {
        let mut lines = self.lock();
        let number = lines.next;
        lines.next += 1;
        if lines.kept.len() == LINES_MAX {
            lines.kept.pop_front();
        }
        let is_short = line.len() <= LINE_BYTES_MAX;
        let body = line.strip_prefix('{').filter(|_| is_short);
        let body = body.unwrap_or("\"message\":\"line is too long to keep\"}");
        lines
            .kept
            .push_back(format!("{{\"sequence\":{number},{body}"));
    }

    /// Returns the buffered lines with a sequence number above `number`.
    #[must_use]
    pub fn after(&self, number: u64) -> Vec<String> {
        let lines = self.lock();
        let oldest = lines.next - lines.kept.len() as u64;
        let skipped = number.saturating_add(1).saturating_sub(oldest) as usize;
        lines.kept.iter().skip(skipped).cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Lines> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
