use std::collections::HashMap;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::retry::Budget;
use ragwortgrade_schema::Name;

/// Retry budgets of this daemon, one per service.
#[derive(Debug)]
pub(super) struct RetryBudgets {
    retry_ratio: f64,
    retries_min: u32,
    services: HashMap<Name, Budget>,
}

impl RetryBudgets {
    pub(super) fn new(retry_ratio: f64, retries_min: u32) -> Self {
        Self {
            retry_ratio,
            retries_min,
            services: HashMap::new(),
        }
    }

    /// Records a caller's request, which adds to the budget of its service.
    pub(super) fn record_request(&mut self, service: &Name, now: Instant) {
        self.budget(service).request(now);
    }

    /// Takes one retry from the budget of a service; returns whether one was left.
    pub(super) fn try_consume(&mut self, service: &Name, now: Instant) -> bool {
        self.budget(service).retry(now).is_ok()
    }

    fn budget(&mut self, service: &Name) -> &mut Budget {
        let (ratio, min) = (self.retry_ratio, self.retries_min);
        self.services
            .entry(service.clone())
            .or_insert_with(|| Budget::open(ratio, min))
    }
}
