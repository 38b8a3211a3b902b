use std::collections::BTreeMap;

use ragwortgrade_schema::Name;

/// Number of requests by tenant.
pub type TenantCounts = BTreeMap<Name, u64>;

/// A call to the platform that only the holder may make.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// Report the requests that began to run in a window.
    Usage {
        /// Number of the window since the start of 1970.
        window: u64,
        /// Requests by tenant.
        counts: TenantCounts,
    },
    /// Order a number of workers.
    Scale {
        /// Service of the workers.
        service: Name,
        /// Data centre of the workers.
        data_centre: Name,
        /// Number of workers of this kind that the data centre should have.
        count: u32,
        /// Whether the order is for workers that may be reclaimed.
        is_spot: bool,
    },
}

/// Outcome of a [`Call`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The platform executed the call.
    Accepted,
    /// The platform refused the call (409) for a reason other than the fencing token: no workers are
    /// available.
    Refused,
    /// The platform refused the call because a higher fencing token was seen. The lease is given up,
    /// and the token is not used again.
    Superseded,
    /// The call was not executed because of the rate of calls or an overload.
    Throttled,
    /// There was no response. The call may be executed, also seconds later.
    Unknown,
}
