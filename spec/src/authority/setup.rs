use std::time::Duration;

use ragwortgrade_policy::authority::LeaseTiming;
use ragwortgrade_schema::configuration::Fencing;

use crate::Size;

/// A safety mechanism that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// The engine rejects orders with an old fencing token.
    FenceCheck,
    /// Engines that ignore tokens are ordered only once the former holders are gone.
    FormerHolderGone,
    /// The new holder waits until orders of the former one can no longer be delivered.
    DeliveryWait,
    /// The record lists all former holders, not only the last one.
    AllFormerHolders,
    /// A daemon has at most one order in flight per engine.
    OneOrderInFlight,
    /// An unknown outcome is resolved before the next order.
    ReadBack,
    /// Lease time is counted from when a renewal was sent.
    CountFromSending,
    /// The lease also ends by the system clock.
    SystemClock,
    /// The holder treats its lease as ended some time before it expires.
    Margin,
    /// Fencing tokens of different daemons differ.
    DistinctTokens,
    /// A new fencing token is above the highest that engines report.
    QueryFences,
    /// A lost answer to the write of the lock record is resolved by reading it.
    LockReadBack,
    /// A renewal takes effect only if the lock record still exists.
    LockVerified,
    /// A new holder waits until a lease whose records are lost has ended.
    TakeoverWait,
}

impl Mechanism {
    /// All mechanisms, each with the scenario that needs it.
    pub const ALL: [(Self, Scenario); 14] = [
        (Self::FenceCheck, Scenario::Calls),
        (Self::FormerHolderGone, Scenario::SuccessiveHolders),
        (Self::DeliveryWait, Scenario::SuccessiveHolders),
        (Self::AllFormerHolders, Scenario::SuccessiveHolders),
        (Self::OneOrderInFlight, Scenario::Orders),
        (Self::ReadBack, Scenario::Orders),
        (Self::CountFromSending, Scenario::SuccessiveHolders),
        (Self::SystemClock, Scenario::Clocks),
        (Self::Margin, Scenario::Clocks),
        (Self::DistinctTokens, Scenario::Rollback),
        (Self::QueryFences, Scenario::Rollback),
        (Self::LockReadBack, Scenario::Calls),
        (Self::LockVerified, Scenario::Rollback),
        (Self::TakeoverWait, Scenario::TakeoverWait),
    ];
}

/// How often each fault, or a release of the lease, can occur in one run of the model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Platform calls that fail or whose answers are lost.
    pub calls: u8,
    /// Crashes of daemons.
    pub crashes: u8,
    /// Duplicates of orders that the network makes.
    pub copies: u8,
    /// Crashes of the engine.
    pub engine_crashes: u8,
    /// Restores of the platform from older data.
    pub rollbacks: u8,
    /// Seconds in which daemon 0 is suspended.
    pub suspensions: u8,
    /// Seconds in which neither clock of daemon 0 advances.
    pub missed: u8,
    /// Planned releases of the lease.
    pub releases: u8,
}

/// Scenario that a model explores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Orders of one daemon, with network duplicates and crashes of the engine.
    Orders,
    /// An engine that checks tokens, with platform calls that fail or whose answers are lost.
    Calls,
    /// An engine that checks tokens, with a platform that is restored from older data.
    Rollback,
    /// Clocks that do not advance for some seconds.
    Clocks,
    /// An engine that ignores tokens, with crashes of daemons and planned releases.
    Takeover,
    /// An engine that ignores tokens, with three successive holders, the first of which is paused
    /// between its lease check and the sending of an order.
    SuccessiveHolders,
    /// An engine that ignores tokens, with a platform that is restored from older data while no
    /// daemon is paused.
    TakeoverWait,
    /// As [`Self::TakeoverWait`], but with pauses of daemons, without the wait and with a shorter
    /// horizon. A violation is reachable; `docs/guarantees.md` states when it can occur.
    Uncovered,
}

impl Scenario {
    /// The scenarios in which no violation may be reachable.
    pub const COVERED: [Self; 7] = [
        Self::Orders,
        Self::Calls,
        Self::Rollback,
        Self::Clocks,
        Self::Takeover,
        Self::SuccessiveHolders,
        Self::TakeoverWait,
    ];
}

/// Parameters of a model, with its faults and the mechanism that is disabled.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Whether the engine checks fencing tokens.
    pub fencing: Fencing,
    /// Number of seconds that are explored.
    pub horizon: u64,
    /// Maximum number of seconds for which an order can be in flight.
    pub delivery_max: u64,
    /// Number of orders on which each daemon may decide.
    pub orders: [u8; 2],
    /// Limits on the faults that may occur.
    pub budget: Budget,
    /// Daemon 0 is paused from the start, between its lease check and the sending of an order.
    pub is_paused: bool,
    /// No daemon is paused: time advances only when no daemon has anything left to do, except
    /// renewals.
    pub is_prompt: bool,
    /// Seconds that a new holder waits for the end of a lease whose records are lost.
    pub takeover_wait: u64,
    /// Mechanism that is disabled.
    pub without: Option<Mechanism>,
}

impl Setup {
    /// Returns the setup of `scenario` with all mechanisms.
    #[must_use]
    pub fn of(scenario: Scenario, size: Size) -> Self {
        let large = size == Size::Large;
        let more = u8::from(large);
        let longer = u64::from(large);
        let budget = Budget::default();
        let (fencing, horizon, orders, budget) = match scenario {
            Scenario::Orders => {
                let budget = Budget {
                    copies: 2,
                    engine_crashes: 1 + more,
                    ..budget
                };
                (Fencing::Checked, 2 + longer, [2 + more, 0], budget)
            }
            Scenario::Calls => {
                let budget = Budget {
                    calls: 1 + more,
                    ..budget
                };
                (Fencing::Checked, 4 + longer, [1, 1], budget)
            }
            Scenario::Rollback => {
                let budget = Budget {
                    rollbacks: 1,
                    ..budget
                };
                (Fencing::Checked, 3 + longer, [1, 1], budget)
            }
            Scenario::Clocks => {
                let budget = Budget {
                    suspensions: 3,
                    missed: 1,
                    ..budget
                };
                (Fencing::Checked, 4 + longer, [1 + more, more], budget)
            }
            Scenario::Takeover => {
                let budget = Budget {
                    crashes: 1,
                    releases: 1,
                    copies: more,
                    ..budget
                };
                (Fencing::Ignored, 4 + longer, [1, 1], budget)
            }
            Scenario::SuccessiveHolders => {
                let budget = Budget {
                    crashes: 1 + more,
                    ..budget
                };
                (Fencing::Ignored, 7 + longer, [1, 1], budget)
            }
            Scenario::TakeoverWait => {
                let budget = Budget {
                    rollbacks: 1,
                    ..budget
                };
                (Fencing::Ignored, 6 + longer, [1, 1], budget)
            }
            Scenario::Uncovered => {
                let budget = Budget {
                    rollbacks: 1,
                    ..budget
                };
                (Fencing::Ignored, 5, [1, 1], budget)
            }
        };
        Self {
            fencing,
            horizon,
            delivery_max: 1,
            orders,
            budget,
            is_paused: scenario == Scenario::SuccessiveHolders,
            is_prompt: scenario == Scenario::TakeoverWait,
            takeover_wait: if scenario == Scenario::TakeoverWait {
                2
            } else {
                0
            },
            without: None,
        }
    }

    /// Returns the setup with `mechanism` disabled.
    #[must_use]
    pub fn without(self, mechanism: Mechanism) -> Self {
        Self {
            without: Some(mechanism),
            ..self
        }
    }

    /// Returns whether `mechanism` is enabled.
    #[must_use]
    pub fn has(&self, mechanism: Mechanism) -> bool {
        self.without != Some(mechanism)
    }

    /// Returns the durations of the model, as short as the mechanisms allow.
    #[must_use]
    pub fn timing(&self) -> LeaseTiming {
        let expiry_margin = u64::from(self.has(Mechanism::Margin));
        LeaseTiming {
            ttl: Duration::from_secs(3),
            expiry_margin: Duration::from_secs(expiry_margin),
            renew_interval: Duration::from_secs(1),
            retry_interval: Duration::from_secs(3),
            delivery_max: Duration::from_secs(self.delivery_max),
            takeover_wait: Duration::from_secs(if self.has(Mechanism::TakeoverWait) {
                self.takeover_wait
            } else {
                0
            }),
            mark_propagation: Duration::ZERO,
            poll_interval: Duration::from_secs(1),
            drain_timeout: Duration::from_hours(1),
        }
    }
}
