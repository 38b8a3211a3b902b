use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use http::StatusCode;
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::Route;
use ragwortgrade_schema::Name;

use crate::observe::Metrics;

/// Maximum number of tenants with metrics of their own; the others are counted together.
const TENANTS_MAX: usize = 128;
/// Name in the metrics of the tenants beyond that number.
const OTHER: &str = "other";
/// Minimum interval between log lines about requests without a valid key.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Answers, refusals and requests without a valid key, by tenant.
#[derive(Debug, Default)]
pub(super) struct TenantStatistics {
    /// Names in the metrics.
    names: RefCell<HashMap<Name, String>>,
    unauthorized: RefCell<Unauthorized>,
}

/// Requests without a valid key since the last log line.
#[derive(Debug, Default)]
struct Unauthorized {
    count: u64,
    logged_at: Option<Instant>,
}

impl TenantStatistics {
    /// Counts the answer to a request of a tenant.
    pub(super) fn record_answer(&self, metrics: &Metrics, tenant: &Name, status: StatusCode) {
        let is_refusal = matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        let kind = if is_refusal { "refused" } else { "answered" };
        metrics.count(&format!("tenants.{}.{kind}", self.name(tenant)), 1);
    }

    /// Counts a request without a valid key, and logs the latest one from time to time.
    pub(super) fn record_unauthorized(
        &self,
        metrics: &Metrics,
        reason: &'static str,
        former_tenant: Option<&Name>,
        route: &Route,
        now: Instant,
    ) {
        metrics.count(&format!("tenants.{reason}"), 1);
        if let Some(tenant) = former_tenant {
            metrics.count(&format!("tenants.{}.unauthorized", self.name(tenant)), 1);
        }
        let mut unauthorized = self.unauthorized.borrow_mut();
        unauthorized.count += 1;
        let logged_at = unauthorized.logged_at;
        if logged_at.is_none_or(|logged_at| now.since(logged_at) >= LOG_INTERVAL) {
            log::info!(
                route:% = route.name, reason = reason, tenant = former_tenant.map(Name::as_str),
                requests = unauthorized.count;
                "requests refused: no valid key"
            );
            unauthorized.count = 0;
            unauthorized.logged_at = Some(now);
        }
    }

    /// Returns the name of a tenant in the metrics, in which a dot separates names.
    fn name(&self, tenant: &Name) -> String {
        let mut names = self.names.borrow_mut();
        if let Some(name) = names.get(tenant) {
            return name.clone();
        }
        if names.len() >= TENANTS_MAX {
            return OTHER.to_owned();
        }
        let is_plain = |char: char| char.is_ascii_alphanumeric() || matches!(char, '_' | '-');
        let chars = tenant.chars();
        let name: String = chars
            .map(|it| if is_plain(it) { it } else { '_' })
            .collect();
        names.insert(tenant.clone(), name.clone());
        name
    }
}
