use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

use crate::Instant;

/// Time after which a request counts half as a recent one. A tenant with few requests sends one in
/// several seconds to a daemon.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Time after the refusal of a tenant within its share for which the shares have an effect.
const OVERLOAD_TIME: Duration = Duration::from_secs(2);
/// Interval at which the share of a service is computed again.
const LEVEL_INTERVAL: Duration = Duration::from_millis(100);
/// Ratio to the share, and admissions beyond it, from which a tenant uses too much. Tenants whose
/// requests arrive at random differ by about that.
const EXCESS_RATIO: f64 = 1.1;
const EXCESS_MIN: f64 = 2.0;
/// Fraction of the overall served fraction below which no tenant is pushed: twice the guaranteed
/// quarter.
const SERVED_FRACTION_MIN: f64 = 0.5;
/// Recent requests below which a tenant is forgotten: 20 s after its only one.
const RECENT_MIN: f64 = 0.06;

/// Requests of each service by tenant, of which each is owed a fair share while some are refused.
///
/// Load: services with more requests than capacity, with up to 1,000 tenants, of which one may send
/// most requests. The fair share is the max-min fair one (D. Bertsekas and R. Gallager, "Data
/// Networks", 1992, section 6.5.2) of the recent admissions over the tenants that send requests: a
/// tenant uses too much only while another one asks for more than it gets. What a tenant gets does
/// not fall below half of the served fraction of all because of this rule, however much it sends.
#[derive(Debug, Default)]
pub struct FairShares {
    services: HashMap<Name, ServiceShares>,
}

#[derive(Debug, Default)]
struct ServiceShares {
    /// Requests by tenant; `None` are those of public routes.
    tenants: HashMap<Option<Name>, Usage>,
    /// Admissions that each tenant is owed if it asks for so many; 0 before it is first computed.
    level: f64,
    /// Fraction of the recent requests that were admitted.
    served_fraction: f64,
    computed_at: Option<Instant>,
    /// When a request of a tenant within its share was last refused.
    refused_at: Option<Instant>,
}

/// Recent requests of a tenant, each of which counts half after [`HALF_LIFE`].
#[derive(Debug, Default)]
struct Usage {
    offered: f64,
    admitted: f64,
    updated_at: Instant,
    /// Admissions that a tenant above its share has saved up, as in error diffusion.
    credit: f64,
}

impl FairShares {
    /// Records whether a request was admitted; one that was refused for another reason than a lack
    /// of capacity is not recorded.
    pub fn record(
        &mut self,
        service: &Name,
        tenant: Option<&Name>,
        is_admitted: bool,
        now: Instant,
    ) {
        let service = self.services.entry(service.clone()).or_default();
        let usage = service.tenants.entry(tenant.cloned()).or_default();
        usage.decay(now);
        usage.offered += 1.0;
        usage.admitted += f64::from(u8::from(is_admitted));
        if !is_admitted && !service.is_over(tenant) {
            service.refused_at = Some(now);
        }
        service.update_level(now);
    }

    /// Returns whether a request may be admitted. Of a tenant that uses more than its share while
    /// others are refused, only as many are as the share.
    pub fn admit(&mut self, service: &Name, tenant: Option<&Name>, now: Instant) -> bool {
        let Some(service) = self.services.get_mut(service) else {
            return true;
        };
        let is_overloaded = service
            .refused_at
            .is_some_and(|refused_at| now.since(refused_at) <= OVERLOAD_TIME);
        if !is_overloaded || !service.is_over(tenant) {
            return true;
        }
        let level = service.level;
        let Some(usage) = service.tenants.get_mut(&tenant.cloned()) else {
            return true;
        };
        usage.credit += level / usage.offered;
        let is_admitted = usage.credit >= 1.0;
        usage.credit -= f64::from(u8::from(is_admitted));
        is_admitted
    }
}

impl ServiceShares {
    /// Returns whether a tenant uses more than its share.
    fn is_over(&self, tenant: Option<&Name>) -> bool {
        let Some(usage) = self.tenants.get(&tenant.cloned()) else {
            return false;
        };
        let served_fraction = usage.admitted / usage.offered;
        self.level > 0.0
            && usage.admitted > self.level * EXCESS_RATIO + EXCESS_MIN
            && served_fraction > self.served_fraction * SERVED_FRACTION_MIN
    }

    fn update_level(&mut self, now: Instant) {
        let computed_at = self.computed_at;
        if computed_at.is_some_and(|computed_at| now.since(computed_at) < LEVEL_INTERVAL) {
            return;
        }
        self.computed_at = Some(now);
        for usage in self.tenants.values_mut() {
            usage.decay(now);
        }
        self.tenants.retain(|_, usage| usage.offered >= RECENT_MIN);
        let mut demands: Vec<f64> = self.tenants.values().map(|it| it.offered).collect();
        let admitted: f64 = self.tenants.values().map(|it| it.admitted).sum();
        self.served_fraction = admitted / demands.iter().sum::<f64>();
        self.level = level(&mut demands, admitted);
    }
}

impl Usage {
    fn decay(&mut self, now: Instant) {
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let remaining = 0.5_f64.powf(half_lives);
        self.offered *= remaining;
        self.admitted *= remaining;
        self.updated_at = self.updated_at.max(now);
    }
}

/// Returns the amount up to which each demand is met if the capacity is shared max-min fairly.
fn level(demands: &mut [f64], capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut remaining = capacity;
    for (met, demand) in demands.iter().enumerate() {
        let share = remaining / (demands.len() - met) as f64;
        if *demand >= share {
            return share;
        }
        remaining -= demand;
    }
    demands.last().copied().unwrap_or_default()
}
