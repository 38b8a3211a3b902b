use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::memory_account::MemoryAccount;

/// Bytes of a stream that may wait for a caller; the engine's connection is not read beyond them.
const STREAM_BYTES_MAX: usize = 64 << 10;
/// Memory of an element of the queue beside its bytes.
const ELEMENT_BYTES: usize = 128;

/// Bytes that wait for a caller to read them.
#[derive(Debug)]
pub(super) struct HeldBytes {
    bytes: Bytes,
    memory: Rc<MemoryAccount>,
    _room: Option<OwnedSemaphorePermit>,
}

/// Bounds the bytes of one stream that wait for its caller.
#[derive(Debug)]
pub(super) struct HeldQueue {
    memory: Rc<MemoryAccount>,
    room: Arc<Semaphore>,
}

impl HeldQueue {
    pub(super) fn new(memory: Rc<MemoryAccount>) -> Self {
        Self {
            memory,
            room: Arc::new(Semaphore::new(STREAM_BYTES_MAX)),
        }
    }

    /// Copies bytes, as soon as there is room: a small event would keep the whole read buffer in memory.
    pub(super) async fn hold(&self, bytes: &[u8]) -> HeldBytes {
        let counted = (bytes.len() + ELEMENT_BYTES).min(STREAM_BYTES_MAX);
        let room = Arc::clone(&self.room).acquire_many_owned(counted as u32);
        let room = room.await.ok();
        self.memory
            .grow_patiently(bytes.len() + ELEMENT_BYTES)
            .await;
        HeldBytes {
            bytes: Bytes::copy_from_slice(bytes),
            memory: Rc::clone(&self.memory),
            _room: room,
        }
    }
}

impl HeldBytes {
    /// Returns the bytes, which are about to be sent.
    pub(super) fn release(&self) -> Bytes {
        self.bytes.clone()
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.memory.shrink(self.bytes.len() + ELEMENT_BYTES);
    }
}
