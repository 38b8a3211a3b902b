use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex; a thread that panicked while holding it has left whole values behind, since the
/// locked sections replace values in one step.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
