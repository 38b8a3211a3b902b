use std::collections::HashMap;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::retry::Budget;
use ragwortgrade_schema::Name;

/// This daemon's retry budgets, one for each service.
#[derive(Debug)]
pub(super) struct Budgets {
    retry_part: f64,
    retries_min: u32,
    services: HashMap<Name, Budget>,
}

impl Budgets {
    pub(super) fn open(retry_part: f64, retries_min: u32) -> Self {
        Self {
            retry_part,
            retries_min,
            services: HashMap::new(),
        }
    }

    /// Counts a caller's request.
    pub(super) fn request(&mut self, service: &Name, now: Instant) {
        self.of(service).request(now);
    }

    /// Takes a retry out of the budget; tells whether there was one.
    pub(super) fn retry(&mut self, service: &Name, now: Instant) -> bool {
        self.of(service).retry(now).is_ok()
    }

    fn of(&mut self, service: &Name) -> &mut Budget {
        let (part, min) = (self.retry_part, self.retries_min);
        self.services
            .entry(service.clone())
            .or_insert_with(|| Budget::open(part, min))
    }
}
