use super::Need;

/// Numbers of workers of a service, for metrics and log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Workers of both kinds that are wanted.
    pub wanted: u32,
    /// Workers of both kinds that are present.
    pub present: u32,
    /// Spot workers among them.
    pub spot: u32,
    /// Data centres in which no spot workers are available.
    pub dry_data_centres: u32,
    /// Capacity that has to remain after the loss of spot workers.
    pub need: Need,
}
