use std::fmt::Debug;

use ragwortgrade_schema::admin::Status;

use crate::observe;

/// The daemon's side of the operators' interface.
pub trait Backend: Debug + Send + Sync {
    /// Returns the daemon's state, configuration, members and endpoints.
    fn status(&self) -> Status;

    /// Starts the daemon's drain without waiting for it; a second call has no effect.
    fn drain(&self);

    /// Returns the recent log lines with a sequence number above `after`, as JSON.
    fn lines(&self, after: u64) -> Vec<String> {
        observe::log_buffer().after(after)
    }
}
