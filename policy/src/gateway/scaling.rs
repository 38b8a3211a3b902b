//! Decisions on how many workers of a service run in each data centre, and of which kind.
//!
//! Spot workers are cheaper than ordinary ones, but the platform may reclaim all of a data centre at
//! once with notice shorter than the boot of replacements. The load that this addresses: waves and
//! bursts of up to 1.7 times the average that last 3 to 14 s, with boots of 4 s. Capacity for the
//! recent peaks therefore stays, and enough spot workers are spread over the data centres that the
//! others serve the demand when some of them lose theirs.

mod capacity;
mod fleet;
mod forecast;
mod need;
mod order;
mod pool;
mod service_view;
mod status;
mod target;
mod terms;
mod worker;

use std::collections::BTreeMap;

pub use need::Need;
pub use order::{Order, Outcome, Reason};
use ragwortgrade_schema::Name;
pub use service_view::{MeasuredDemand, ServiceView};
pub use status::Status;
pub use terms::Terms;
pub use worker::{Worker, WorkerState};

use self::fleet::Fleet;
use crate::Instant;

/// Orders of workers that the holder of the duty decides on.
///
/// A new holder starts with an empty value: it keeps the present capacity until it has seen the
/// demand for long enough.
#[derive(Debug, Default)]
pub struct Scaling {
    fleets: BTreeMap<Name, Fleet>,
}

impl Scaling {
    /// Returns the orders that are due. Called about once a second.
    ///
    /// `are_registrations_current` is false while the store is unavailable, was restored a short
    /// time ago, or the registrations may be incomplete; there are no orders then.
    pub fn decide(
        &mut self,
        services: &[ServiceView<'_>],
        are_registrations_current: bool,
        now: Instant,
    ) -> Vec<Order> {
        let is_known = |name: &Name| services.iter().any(|view| view.service == name);
        self.fleets.retain(|name, _| is_known(name));
        let mut orders = Vec::new();
        for view in services {
            let fleet = self.fleets.entry(view.service.clone()).or_default();
            if are_registrations_current {
                orders.extend(fleet.decide(view, now));
            } else {
                fleet.interrupt();
            }
        }
        orders
    }

    /// Records how an order ended.
    pub fn record(&mut self, order: &Order, outcome: Outcome, now: Instant) {
        if let Some(fleet) = self.fleets.get_mut(&order.service) {
            fleet.record(order, outcome, now);
        }
    }

    /// Returns the numbers of workers of each service.
    pub fn status(&self, now: Instant) -> impl Iterator<Item = (&Name, Status)> {
        self.fleets
            .iter()
            .map(move |(name, fleet)| (name, fleet.status(now)))
    }
}
