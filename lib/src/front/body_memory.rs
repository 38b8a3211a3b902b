use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Maximum total size of the bodies held at once. Without it, a body of the maximum size on every
/// connection would exceed the VM's memory.
const BYTES_MAX: u64 = 256 << 20;

/// Memory budget for the bodies of requests that are being read or served.
#[derive(Clone, Debug, Default)]
pub(super) struct BodyMemory {
    used: Arc<AtomicU64>,
}

/// A part of the budget, released when it is dropped.
#[derive(Debug)]
pub(super) struct Reservation {
    used: Arc<AtomicU64>,
    bytes: u64,
}

impl BodyMemory {
    /// Reserves memory for a body; `None` when the budget would be exceeded.
    pub(super) fn reserve(&self, bytes: u64) -> Option<Reservation> {
        let reserved = self
            .used
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |used| {
                let used = used.checked_add(bytes)?;
                (used <= BYTES_MAX).then_some(used)
            });
        reserved.is_ok().then(|| Reservation {
            used: Arc::clone(&self.used),
            bytes,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
