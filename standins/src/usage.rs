use std::fs;
use std::io;

/// Clock ticks per second in `/proc/<pid>/stat`; fixed at 100 on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Field indices in `/proc/<pid>/stat`, counted from the state field after the command name.
const USER_TICKS_INDEX: usize = 11;
const SYSTEM_TICKS_INDEX: usize = 12;

/// Processor time and memory of a process at a point in time.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// User and system time since the start of the process.
    pub cpu_seconds: f64,
    /// Resident set size.
    pub resident_kib: u64,
}

impl Usage {
    /// Reads the usage of the process with this id.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn read(process: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |index: usize| {
            fields
                .get(index)
                .and_then(|field| field.parse::<f64>().ok())
        };
        let total = ticks(USER_TICKS_INDEX).unwrap_or_default()
            + ticks(SYSTEM_TICKS_INDEX).unwrap_or_default();
        let status = fs::read_to_string(format!("/proc/{process}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        Ok(Self {
            cpu_seconds: total / TICKS_PER_SECOND,
            resident_kib: resident.unwrap_or_default(),
        })
    }

    /// Returns this usage with the larger resident set size of the two.
    #[must_use]
    pub fn max_memory(self, other: Self) -> Self {
        Self {
            resident_kib: self.resident_kib.max(other.resident_kib),
            ..self
        }
    }
}
