use std::collections::BTreeMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

use super::capacity::Capacity;
use super::forecast::Forecast;
use super::pool::Pool;
use super::target::{Target, covered_losses};
use super::{Need, Order, Outcome, Reason, ServiceView, Status, WorkerState};
use crate::Instant;

/// Time for which the number of workers must not change before the first order. Heartbeats of
/// workers are 1.2 s apart.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// The same while there are no workers, which may register late.
const EMPTY_TIME: Duration = Duration::from_secs(15);
/// Fraction of the workers that may still warm up when the present capacity is taken as needed.
const STARTING_FRACTION: f64 = 0.05;
/// Fraction by which the number of workers for the same need may change without new orders.
const CHANGE_FRACTION: f64 = 0.1;
/// Fraction by which a number of workers may differ from the wanted one without an order, one worker
/// at least: each order is priced, and estimates of different holders differ by rounding.
const ORDER_FRACTION: f64 = 0.05;
/// Time between two orders that remove workers, so that the effect of one is seen before the next:
/// surplus workers drain within 4 s, and caches of the others warm up meanwhile.
const STEP_INTERVAL: Duration = Duration::from_secs(3);
/// Fraction of the serving workers that one such order removes at most.
const STEP_FRACTION: f64 = 0.13;

/// Workers of one service and the orders for them.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    /// Pools by data centre and whether they are of spot workers.
    pools: BTreeMap<(Name, bool), Pool>,
    forecast: Option<Forecast>,
    target: Target,
    /// Number of present workers and since when it has been the same.
    stable: Option<(u32, Instant)>,
    /// Need and number of workers from which the target is derived.
    need: Need,
    workers: u32,
    /// Whether that number last grew.
    has_grown: bool,
    /// When knowledge became current again.
    resumed_at: Option<Instant>,
    removed_at: Option<Instant>,
}

impl Fleet {
    /// Records that registrations or the holder's knowledge are not current.
    pub(super) fn interrupt(&mut self) {
        self.stable = None;
        self.resumed_at = None;
        if let Some(forecast) = &mut self.forecast {
            forecast.interrupt();
        }
    }

    pub(super) fn record(&mut self, order: &Order, outcome: Outcome, now: Instant) {
        let key = (order.data_centre.clone(), order.is_spot);
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.record_outcome(order.count, outcome, now);
        }
    }

    /// Returns the orders that are due now.
    pub(super) fn decide(&mut self, view: &ServiceView<'_>, now: Instant) -> Vec<Order> {
        self.observe(view, now);
        let stable_since = view.stable_since.unwrap_or(now);
        let resumed_at = *self.resumed_at.get_or_insert(stable_since);
        let present = self.present();
        self.stable.get_or_insert((present, stable_since));
        let capacity = Capacity::new(view.workers);
        if self.forecast.is_none() {
            self.start(view, &capacity, now);
        }
        let Some(forecast) = &mut self.forecast else {
            return Vec::new();
        };
        if now.since(resumed_at) < STABLE_TIME {
            return Vec::new();
        }
        match view.demand {
            Some(demand) => forecast.observe(demand.need, demand.refused_share, now),
            None => forecast.interrupt(),
        }
        let is_partial = view.demand.is_none() && forecast.has_demand();
        let need = forecast.need();
        self.update_workers(need, capacity.workers_for(&need));
        let dry = self.dry(view, now);
        self.target = Target::new(self.workers, view.terms, &dry);
        let mut orders = self.additions(view, &dry, is_partial, now);
        if orders.is_empty() && dry.is_empty() && !is_partial {
            orders.extend(self.removal(view, &capacity, now));
        }
        for order in &orders {
            let key = (order.data_centre.clone(), order.is_spot);
            self.pool(key).record_order(order.count, order.reason, now);
        }
        orders
    }

    /// Sets the number of workers that serve the need. Small changes of the stages' shares and of
    /// the speeds have no effect.
    fn update_workers(&mut self, need: Need, workers: u32) {
        let difference = f64::from(workers.abs_diff(self.workers));
        if need != self.need || difference > f64::from(self.workers) * CHANGE_FRACTION {
            self.has_grown = self.need != Need::default() && workers > self.workers;
            self.need = need;
            self.workers = workers;
        }
    }

    pub(super) fn status(&self, now: Instant) -> Status {
        let spot = self.pools.iter().filter(|((_, is_spot), _)| *is_spot);
        let dry = spot.clone().filter(|(_, pool)| pool.is_dry(now)).count();
        Status {
            wanted: self.target.total(),
            present: self.present(),
            spot: spot.map(|(_, pool)| pool.present()).sum(),
            dry_data_centres: dry as u32,
            need: self.need,
        }
    }

    fn observe(&mut self, view: &ServiceView<'_>, now: Instant) {
        for data_centre in view.terms.prices.keys() {
            for is_spot in [false, true] {
                let workers = view.workers.iter();
                let workers =
                    workers.filter(|it| it.data_centre == *data_centre && it.is_spot == is_spot);
                let present = workers.clone().filter(|it| it.is_present()).count() as u32;
                let mut workers = workers;
                let are_reclaimed = workers.any(|it| it.state == WorkerState::Reclaimed);
                let pool = self.pool((data_centre.clone(), is_spot));
                pool.observe(present, are_reclaimed, is_spot, now);
            }
        }
    }

    /// Begins once the present workers have been the same for a while.
    fn start(&mut self, view: &ServiceView<'_>, capacity: &Capacity<'_>, now: Instant) {
        let present = self.present();
        match self.stable {
            Some((count, since)) if count == present => {
                let stable_time = if present > 0 { STABLE_TIME } else { EMPTY_TIME };
                let starting = f64::from(present.saturating_sub(capacity.serving()));
                let are_serving = starting <= f64::from(present) * STARTING_FRACTION;
                if now.since(since) >= stable_time && are_serving {
                    let data_centres = view.terms.prices.len();
                    let losses = capacity.losses_left(data_centres);
                    self.forecast = Some(Forecast::new(capacity.after_losses(losses, |_, _| 1.0)));
                }
            }
            _ => self.stable = Some((present, now)),
        }
    }

    /// Returns the data centres without available spot workers and the number that they hold.
    fn dry(&self, view: &ServiceView<'_>, now: Instant) -> BTreeMap<Name, u32> {
        let names = view.terms.prices.keys();
        let dry = names.filter_map(|name| {
            let pool = self.pools.get(&(name.clone(), true))?;
            pool.is_dry(now).then(|| (name.clone(), pool.present()))
        });
        dry.collect()
    }

    /// Returns the orders for more workers, and the repetitions.
    fn additions(
        &mut self,
        view: &ServiceView<'_>,
        dry: &BTreeMap<Name, u32>,
        is_partial: bool,
        now: Instant,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        let has_lost = self.pools.values().any(|pool| pool.has_lost(now));
        for data_centre in view.terms.data_centres() {
            let count = self.target.count(&data_centre);
            for (is_spot, wanted) in [(true, count.spot), (false, count.ordinary)] {
                let other = self.pool((data_centre.clone(), !is_spot)).highest();
                let room = view.terms.workers_max.saturating_sub(other);
                let pool = self.pool((data_centre.clone(), is_spot));
                if pool.is_dry(now) || pool.is_busy(now) {
                    continue;
                }
                let standing = pool.standing();
                let wanted = wanted.min(room);
                let boot_time = view.terms.boot_time;
                let may_add = !is_partial || has_lost;
                let (ordered, reason) =
                    if may_add && wanted > standing && !is_close(wanted, standing) {
                        let reason = match (is_spot, dry.is_empty()) {
                            (false, false) => Reason::NoSpot,
                            (true, _) if has_lost => Reason::Reclaimed,
                            (true, _) if !self.has_grown => Reason::SpotReserve,
                            _ => Reason::Demand,
                        };
                        (wanted, reason)
                    } else if let Some(reason) = pool.repetition(boot_time, now) {
                        (standing, reason)
                    } else {
                        continue;
                    };
                orders.push(Order {
                    service: view.service.clone(),
                    data_centre: data_centre.clone(),
                    count: ordered,
                    count_before: standing,
                    is_spot,
                    reason,
                });
            }
        }
        orders
    }

    /// Returns the next order that removes workers, the most expensive first, if the rest serves
    /// the demand also without the spot workers of any one data centre.
    fn removal(
        &mut self,
        view: &ServiceView<'_>,
        capacity: &Capacity<'_>,
        now: Instant,
    ) -> Option<Order> {
        if self
            .removed_at
            .is_some_and(|at| now.since(at) < STEP_INTERVAL)
        {
            return None;
        }
        let need = self.forecast.as_ref()?.need();
        let step_max = (f64::from(capacity.serving()) * STEP_FRACTION).ceil() as u32;
        let losses = covered_losses(view.terms.prices.len()).min(1);
        for is_spot in [false, true] {
            for data_centre in view.terms.data_centres().into_iter().rev() {
                let count = self.target.count(&data_centre);
                let wanted = if is_spot { count.spot } else { count.ordinary };
                let key = (data_centre.clone(), is_spot);
                let pool = self.pool(key.clone());
                let standing = pool.standing();
                let boot_time = view.terms.boot_time;
                if pool.is_busy(now)
                    || pool.is_settling(boot_time, now)
                    || standing <= wanted
                    || is_close(standing, wanted)
                {
                    continue;
                }
                let mut step = (standing - wanted).min(step_max);
                while step > 0 {
                    let left = |it: &Name, spot: bool| {
                        let pool = &self.pools[&(it.clone(), spot)];
                        let is_changed = *it == data_centre && spot == is_spot;
                        let lowest =
                            pool.lowest()
                                .saturating_sub(if is_changed { step } else { 0 });
                        f64::from(lowest) / f64::from(pool.present().max(1))
                    };
                    if capacity.after_losses(losses, left).covers(&need) {
                        break;
                    }
                    step /= 2;
                }
                if step == 0 {
                    continue;
                }
                self.removed_at = Some(now);
                let has_spot = !is_spot && count.spot > 0;
                return Some(Order {
                    service: view.service.clone(),
                    data_centre,
                    count: standing - step,
                    count_before: standing,
                    is_spot,
                    reason: if has_spot {
                        Reason::Replaced
                    } else {
                        Reason::Surplus
                    },
                });
            }
        }
        None
    }

    fn present(&self) -> u32 {
        self.pools.values().map(Pool::present).sum()
    }

    fn pool(&mut self, key: (Name, bool)) -> &mut Pool {
        self.pools.entry(key).or_default()
    }
}

/// Returns whether two numbers of workers differ so little that no order is given.
fn is_close(one: u32, other: u32) -> bool {
    let tolerated = (f64::from(one.max(other)) * ORDER_FRACTION).max(1.0);
    one > 0 && other > 0 && f64::from(one.abs_diff(other)) <= tolerated
}
