//! Model of a platform that runs workers of one service on order, and of the holder that orders.

use std::collections::BTreeMap;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::scaling::{
    MeasuredDemand, Need, Order, Outcome, ServiceView, Terms, Worker, WorkerState,
};
use ragwortgrade_policy::gateway::{Scaling, Stage};
use ragwortgrade_schema::Name;

/// Fraction of prefill workers, which the platform keeps.
const PREFILL_SHARE: f64 = 0.22;
/// Times from an order until the workers serve; they differ by data centre.
const BOOT_S: [u64; 4] = [4, 6, 8, 5];
const DRAIN_S: u64 = 4;
const NOTICE_S: u64 = 3;
const DRY_S: u64 = 9;

struct SiteWorker {
    worker: Worker,
    serves_at: u64,
    gone_at: u64,
}

pub struct Site {
    pub scaling: Scaling,
    pub terms: Terms,
    pub now_s: u64,
    pub orders: Vec<(u64, Order)>,
    /// Price of all workers so far.
    pub cost: f64,
    pub refused_share: f64,
    /// Whether all registrations and enough reports on demand are known.
    pub is_current: bool,
    pub is_demand_known: bool,
    /// Outcome of the orders instead of the platform's, which executes them all the same.
    pub lost_responses: bool,
    pub hidden: usize,
    /// Number of orders for which no workers were available.
    pub unavailable: usize,
    workers: Vec<SiteWorker>,
    dry_until: BTreeMap<Name, u64>,
    service: Name,
}

impl Site {
    /// Starts with ordinary workers in each of four data centres.
    pub fn new(ordinary: u32) -> Self {
        let prices = [("akl", 0.85), ("chc", 1.0), ("hlz", 1.1), ("wlg", 1.2)];
        let terms = Terms {
            workers_min: 1,
            workers_max: 70,
            boot_time: Duration::from_secs(4),
            spot_price: Some(0.18),
            prices: prices.map(|(name, price)| (name.into(), price)).into(),
        };
        let mut site = Self {
            scaling: Scaling::default(),
            terms,
            now_s: 0,
            orders: Vec::new(),
            cost: 0.0,
            refused_share: 0.0,
            is_current: true,
            is_demand_known: true,
            lost_responses: false,
            hidden: 0,
            unavailable: 0,
            workers: Vec::new(),
            dry_until: BTreeMap::new(),
            service: "models".into(),
        };
        for data_centre in site.terms.prices.clone().keys() {
            site.set_count(data_centre, ordinary, false, 0);
        }
        site
    }

    /// Advances by a second in which the demand needs these workers.
    pub fn step(&mut self, need: Need) {
        self.now_s += 1;
        let now_s = self.now_s;
        self.workers.retain(|it| now_s < it.gone_at);
        for it in &self.workers {
            let kind = if it.worker.is_spot { 0.18 } else { 1.0 };
            self.cost += self.terms.prices[&it.worker.data_centre] * kind;
        }
        let registered = self.workers.iter().filter(|it| it.serves_at <= now_s);
        let registered: Vec<Worker> = registered.map(|it| it.worker.clone()).collect();
        let view = ServiceView {
            service: &self.service,
            terms: &self.terms,
            workers: &registered[self.hidden.min(registered.len())..],
            stable_since: None,
            demand: self.is_demand_known.then_some(MeasuredDemand {
                need,
                refused_share: self.refused_share,
            }),
        };
        let now = Instant::from_millis(now_s * 1_000);
        for order in self.scaling.decide(&[view], self.is_current, now) {
            let outcome = self.execute(&order);
            let outcome = if self.lost_responses {
                Outcome::Unknown
            } else {
                outcome
            };
            self.scaling.record(&order, outcome, now);
            self.orders.push((now_s, order));
        }
    }

    /// Advances by this many seconds with a demand by second and checks that it is always served.
    pub fn run(&mut self, seconds: u64, demand: impl Fn(u64) -> Need) {
        for _ in 0..seconds {
            let need = demand(self.now_s + 1);
            self.step(need);
            self.check_serves(need);
        }
    }

    pub fn check_serves(&self, need: Need) {
        let capacity = self.capacity();
        assert!(
            capacity.prefill >= need.prefill && capacity.decode >= need.decode,
            "at {} s {capacity:?} for {need:?}; orders {:#?}",
            self.now_s,
            self.orders
        );
    }

    /// Returns the capacity that serves.
    pub fn capacity(&self) -> Need {
        let is_serving = |it: &&SiteWorker| {
            it.worker.state == WorkerState::Serving && it.serves_at <= self.now_s
        };
        let serving = self.workers.iter().filter(is_serving);
        let is_prefill = |it: &&SiteWorker| it.worker.stage == Some(Stage::Prefill);
        let prefill = serving.clone().filter(is_prefill).count() as f64;
        Need {
            prefill,
            decode: serving.count() as f64 - prefill,
        }
    }

    /// Takes all spot workers of a data centre.
    pub fn reclaim(&mut self, data_centre: &str) {
        for it in &mut self.workers {
            if it.worker.is_spot && it.worker.data_centre.as_str() == data_centre {
                it.worker.state = WorkerState::Reclaimed;
                it.gone_at = self.now_s + NOTICE_S;
            }
        }
        let until = self.now_s + DRY_S;
        self.dry_until.insert(data_centre.into(), until);
    }

    pub fn count(&self, data_centre: &str, is_spot: bool) -> u32 {
        let workers = self.workers.iter().filter(|it| {
            it.worker.data_centre.as_str() == data_centre
                && it.worker.is_spot == is_spot
                && it.worker.is_present()
        });
        workers.count() as u32
    }

    pub fn total(&self) -> usize {
        self.workers
            .iter()
            .filter(|it| it.worker.is_present())
            .count()
    }

    fn execute(&mut self, order: &Order) -> Outcome {
        let other = self.count(&order.data_centre, !order.is_spot);
        assert!(
            order.count + other <= 70,
            "more than the maximum: {order:?}"
        );
        let before = self.count(&order.data_centre, order.is_spot);
        let dry = self.dry_until.get(&order.data_centre);
        if order.is_spot && order.count > before && dry.is_some_and(|until| self.now_s < *until) {
            self.unavailable += 1;
            return Outcome::Unavailable;
        }
        let boot_s = BOOT_S[order.data_centre.len() % 2 + self.orders.len() % 2];
        self.set_count(&order.data_centre, order.count, order.is_spot, boot_s);
        Outcome::Accepted
    }

    fn set_count(&mut self, data_centre: &Name, count: u32, is_spot: bool, boot_s: u64) {
        let before = self.count(data_centre, is_spot);
        for _ in before..count {
            let pool = self.workers.iter().filter(|it| it.worker.is_present());
            let all = pool.clone().count() as f64 + 1.0;
            let prefill = pool.filter(|it| it.worker.stage == Some(Stage::Prefill));
            let is_prefill = (prefill.count() as f64) < PREFILL_SHARE * all;
            self.workers.push(SiteWorker {
                worker: Worker {
                    data_centre: data_centre.clone(),
                    stage: Some(if is_prefill {
                        Stage::Prefill
                    } else {
                        Stage::Decode
                    }),
                    is_spot,
                    state: WorkerState::Serving,
                    speed: 1.0,
                },
                serves_at: self.now_s + boot_s,
                gone_at: u64::MAX,
            });
        }
        for _ in count..before {
            let present = self.workers.iter().filter(|it| it.worker.is_present());
            let all = present.clone().count() as f64;
            let prefill = present.filter(|it| it.worker.stage == Some(Stage::Prefill));
            let takes_prefill = prefill.count() as f64 > PREFILL_SHARE * all;
            let pool = self
                .workers
                .iter_mut()
                .filter(|it| it.worker.is_present() && it.worker.is_spot == is_spot)
                .filter(|it| it.worker.data_centre == *data_centre);
            let is_wanted =
                |it: &&mut SiteWorker| (it.worker.stage == Some(Stage::Prefill)) == takes_prefill;
            let (mut wanted, mut others): (Vec<_>, Vec<_>) = pool.partition(is_wanted);
            let Some(removed) = wanted.pop().or_else(|| others.pop()) else {
                return;
            };
            removed.worker.state = WorkerState::Draining;
            removed.gone_at = self.now_s + DRAIN_S;
        }
    }
}
