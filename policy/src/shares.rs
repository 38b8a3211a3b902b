use std::collections::HashMap;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::Configuration;

use crate::Instant;
use crate::rate::Rate;

/// Engine time used by each service compared with its declared share.
///
/// An unused share is lent: while no service lacks its share, each may use all idle capacity. When
/// a service below its share misses a deadline, it reclaims the share: for a few seconds, services
/// above theirs are admitted only if they would be served well before their deadline. Running
/// requests are not interrupted, so a share returns as they end.
#[derive(Debug)]
pub(crate) struct Shares {
    services: HashMap<Name, Usage>,
    total: Rate,
    reclaim: Option<Reclaim>,
}

#[derive(Debug)]
struct Usage {
    /// Declared fraction of the engines, 0 to 1.
    share: f64,
    engine_ms: Rate,
}

/// A service below its share that missed a deadline.
#[derive(Debug)]
struct Reclaim {
    service: Name,
    until: Instant,
}

impl Shares {
    /// Averaging window of the use, in milliseconds.
    const WINDOW_MS: f64 = 10_000.0;
    /// Fraction of the engines for a service without a declared share.
    const DEFAULT_SHARE: f64 = 0.1;
    /// Time for which a reclaim is in force.
    const RECLAIM_DURATION: std::time::Duration = std::time::Duration::from_secs(2);
    /// Lower bound of the fraction of the time to its deadline that a service above its share may
    /// plan to wait.
    /// Values of 0.4 and 0.6 reduce total goodput.
    const DEADLINE_FRACTION_MIN: f64 = 0.8;

    pub(crate) fn new() -> Self {
        Self {
            services: HashMap::new(),
            total: Rate::with_window(Self::WINDOW_MS),
            reclaim: None,
        }
    }

    /// Sets the declared shares from a configuration. A service that it no longer declares keeps
    /// its share.
    pub(crate) fn configure(&mut self, configuration: &Configuration) {
        for (name, service) in &configuration.services {
            let name = Name::from(name.as_str());
            self.usage(&name).share = (service.share / 100.0).clamp(0.0, 1.0);
        }
    }

    /// Adds the engine time of a dispatched request.
    pub(crate) fn record_use(&mut self, service: &Name, engine_ms: f64, now: Instant) {
        self.usage(service).engine_ms.add(engine_ms, now);
        self.total.add(engine_ms, now);
    }

    /// Records that a request of a service was refused or missed its deadline.
    pub(crate) fn record_missed(&mut self, service: &Name, now: Instant) {
        if self.share_utilization(service, now) < 1.0 {
            self.reclaim = Some(Reclaim {
                service: service.clone(),
                until: now + Self::RECLAIM_DURATION,
            });
        }
    }

    /// Returns the fraction of the time to its deadline that a service may plan to wait.
    pub(crate) fn deadline_fraction(&self, service: &Name, now: Instant) -> f64 {
        let reclaim = self.reclaim.as_ref();
        if reclaim.is_none_or(|reclaim| now >= reclaim.until || reclaim.service == *service) {
            return 1.0;
        }
        let utilization = self.share_utilization(service, now);
        (1.0 / utilization.max(1.0)).max(Self::DEADLINE_FRACTION_MIN)
    }

    /// Returns the use of a service relative to its share.
    fn share_utilization(&self, service: &Name, now: Instant) -> f64 {
        let total = self.total.per_ms(now);
        let Some(usage) = self.services.get(service).filter(|_| total > 0.0) else {
            return 0.0;
        };
        usage.engine_ms.per_ms(now) / total / usage.share.max(f64::MIN_POSITIVE)
    }

    fn usage(&mut self, service: &Name) -> &mut Usage {
        let unknown = || Usage {
            share: Self::DEFAULT_SHARE,
            engine_ms: Rate::with_window(Self::WINDOW_MS),
        };
        self.services.entry(service.clone()).or_insert_with(unknown)
    }
}
