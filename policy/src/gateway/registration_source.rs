/// Whose registrations are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationSource {
    /// Endpoints, which the platform registers.
    Endpoints,
    /// Daemons of the fleet.
    Daemons,
}
