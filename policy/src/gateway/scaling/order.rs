use std::fmt;

use ragwortgrade_schema::Name;

/// Number of workers of one kind that a service is to have in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Service of the workers.
    pub service: Name,
    /// Data centre of the workers.
    pub data_centre: Name,
    /// Number of workers of this kind.
    pub count: u32,
    /// Number that was ordered before or is present.
    pub count_before: u32,
    /// Whether the platform may reclaim them.
    pub is_spot: bool,
    /// Why the number changes.
    pub reason: Reason,
}

/// Why a number of workers is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Spot workers are to replace ordinary ones, or to make up for the loss of a data centre.
    SpotReserve,
    /// Ordinary workers are replaced by spot workers that serve.
    Replaced,
    /// The expected demand is higher.
    Demand,
    /// The expected demand is lower.
    Surplus,
    /// Workers were reclaimed here or elsewhere.
    Reclaimed,
    /// No spot workers are available.
    NoSpot,
    /// Fewer or more workers are present than ordered for longer than the boot takes.
    Mismatch,
    /// The previous order got no response.
    NoResponse,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The platform accepted it.
    Accepted,
    /// No workers of this kind are available in the data centre at the moment.
    Unavailable,
    /// It got no response or was turned away for another reason; it may still be executed.
    Unknown,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::SpotReserve => "spot_reserve",
            Self::Replaced => "replaced",
            Self::Demand => "demand",
            Self::Surplus => "surplus",
            Self::Reclaimed => "reclaimed",
            Self::NoSpot => "no_spot",
            Self::Mismatch => "mismatch",
            Self::NoResponse => "no_response",
        })
    }
}
