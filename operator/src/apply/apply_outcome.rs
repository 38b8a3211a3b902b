/// Outcome of a successful apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The new document was written to the platform.
    Written {
        /// Revision of the new document.
        revision: u64,
    },
    /// The stored document already has the same declarations; nothing was written.
    Unchanged {
        /// Revision of the stored document.
        revision: u64,
    },
}
