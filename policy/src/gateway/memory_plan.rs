/// Memory that a caller's connection occupies beyond its requests, in bytes: read and write buffer, and
/// the state of its tasks.
const CONNECTION_BYTES: usize = 40 << 10;
/// Fractions of the machine's memory for requests and responses and for connections. Half is left to the
/// system, other processes, connections to endpoints and the state of the fleet.
const REQUESTS_FRACTION: f64 = 0.25;
const CONNECTIONS_FRACTION: f64 = 0.25;

/// How the memory of a machine is divided.
///
/// Load addressed: connections and requests that are each within their limits and together exceed the
/// memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    machine_bytes: usize,
}

impl MemoryPlan {
    /// Divides this memory of the machine, in MiB.
    #[must_use]
    pub const fn new(machine_mb: usize) -> Self {
        Self {
            machine_bytes: machine_mb << 20,
        }
    }

    /// Returns what requests and responses may hold together, in bytes.
    #[must_use]
    pub fn requests_bytes(self) -> usize {
        (self.machine_bytes as f64 * REQUESTS_FRACTION) as usize
    }

    /// Returns the maximum number of callers' connections. Each request may need a second descriptor,
    /// for its endpoint.
    #[must_use]
    pub fn connections_max(self, open_files_max: usize) -> usize {
        let by_memory = self.machine_bytes as f64 * CONNECTIONS_FRACTION / CONNECTION_BYTES as f64;
        (open_files_max / 2).min(by_memory as usize)
    }
}
