use super::RegistrationSource;

/// Request of a daemon to another one for the changes that it has missed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangesRequest {
    /// Whose registrations they are.
    pub source: RegistrationSource,
    /// Era of the store that the daemon knows.
    pub era: Option<u64>,
    /// Revision up to which it knows the changes.
    pub after: u64,
}
