use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning: locked sections replace values in one step, so the data is
/// consistent even if a thread panicked while holding the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
