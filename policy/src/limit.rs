//! Rate limits of workspaces.

use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::Workspace;

use crate::Instant;

/// Time for which an unused allowance accumulates. A burst may spend it at once.
const BURST_SECONDS: f64 = 2.0;
/// Smallest burst in requests, so that a daemon with a small share still admits single requests.
const BURST_REQUESTS_MIN: f64 = 1.0;
/// Fraction of a workspace's limit that is split evenly among daemons; the rest follows demand. It
/// lets a daemon without recent demand admit the first requests that reach it. Until the demand at
/// the other daemons is set, the whole limit is split evenly.
const EVEN_FRACTION: f64 = 0.1;
/// Averaging window of a daemon's own demand.
const DEMAND_WINDOW_SECONDS: f64 = 10.0;

/// Token buckets of the workspaces. They hold this daemon's share of the limits.
#[derive(Debug)]
pub struct Limiter {
    daemons: u32,
    accounts: HashMap<Name, Account>,
}

/// Token buckets and demand of one workspace.
#[derive(Debug)]
struct Account {
    requests: Bucket,
    tokens: Bucket,
    demand: RequestRate,
    /// Requests per second at all other daemons; `None` until they are known.
    others_demand: Option<f64>,
}

/// A token bucket. Its level may fall below zero, since a prompt of any length is admitted while
/// the level is positive and output tokens are charged afterwards.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    refilled: Instant,
}

/// Requests per second, averaged with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct RequestRate {
    per_second: f64,
    updated: Instant,
}

impl Limiter {
    /// Creates a limiter for one of `daemons` live daemons.
    #[must_use]
    pub fn open(daemons: u32) -> Self {
        Self {
            daemons: daemons.max(1),
            accounts: HashMap::new(),
        }
    }

    /// Sets the number of live daemons that share the limits, including this one.
    pub fn set_daemons(&mut self, daemons: u32) {
        self.daemons = daemons.max(1);
    }

    /// Returns this daemon's recent requests per second for a workspace.
    #[must_use]
    pub fn demand(&self, workspace: &Name, now: Instant) -> f64 {
        let account = self.accounts.get(workspace);
        account.map_or(0.0, |account| account.demand.at(now))
    }

    /// Sets the recent requests per second of all other daemons together. Has no effect for a
    /// workspace of which this daemon has received no request.
    pub fn set_others_demand(&mut self, workspace: &Name, requests_per_second: f64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.others_demand = Some(requests_per_second.max(0.0));
        }
    }

    /// Charges a request with `tokens` of prompt to its workspace's limits.
    ///
    /// # Errors
    ///
    /// Returns the time after which a retry may be admitted when a limit is exhausted, at most one
    /// minute.
    pub fn admit(
        &mut self,
        workspace: &Name,
        limits: &Workspace,
        tokens: u32,
        now: Instant,
    ) -> Result<(), Duration> {
        let share = self.share(workspace, now);
        let account = self.account(workspace, limits, share, now);
        account.demand.count(now);
        let request_rate = limits.requests_per_second * share;
        let token_rate = limits.tokens_per_second * share;
        account
            .requests
            .refill(request_rate, BURST_REQUESTS_MIN, now);
        account.tokens.refill(token_rate, 1.0, now);
        let wait = account.requests.wait(request_rate, 1.0);
        let wait = wait.max(account.tokens.wait(token_rate, f64::MIN_POSITIVE));
        if !wait.is_zero() {
            return Err(wait);
        }
        account.requests.level -= 1.0;
        account.tokens.level -= f64::from(tokens);
        Ok(())
    }

    /// Charges the output tokens of an admitted request.
    pub fn charge(&mut self, workspace: &Name, tokens: u32) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.tokens.level -= f64::from(tokens);
        }
    }

    /// Removes workspaces that are no longer declared.
    pub fn retain(&mut self, is_declared: impl Fn(&Name) -> bool) {
        self.accounts.retain(|workspace, _| is_declared(workspace));
    }

    /// Returns the fraction of a workspace's limits that this daemon may use.
    fn share(&self, workspace: &Name, now: Instant) -> f64 {
        let even = 1.0 / f64::from(self.daemons);
        let Some(account) = self.accounts.get(workspace) else {
            return even;
        };
        let own = account.demand.at(now);
        match account.others_demand {
            Some(others) if own + others > 0.0 => {
                EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * own / (own + others)
            }
            _ => even,
        }
    }

    fn account(
        &mut self,
        workspace: &Name,
        limits: &Workspace,
        share: f64,
        now: Instant,
    ) -> &mut Account {
        let full = |rate: f64, level_min: f64| Bucket {
            level: (rate * share * BURST_SECONDS).max(level_min),
            refilled: now,
        };
        self.accounts
            .entry(workspace.clone())
            .or_insert_with(|| Account {
                requests: full(limits.requests_per_second, BURST_REQUESTS_MIN),
                tokens: full(limits.tokens_per_second, 1.0),
                demand: RequestRate::default(),
                others_demand: None,
            })
    }
}

impl Bucket {
    fn refill(&mut self, rate: f64, level_min: f64, now: Instant) {
        let gained = rate * now.since(self.refilled).as_secs_f64();
        let full = (rate * BURST_SECONDS).max(level_min);
        self.level = (self.level + gained).min(full);
        self.refilled = now;
    }

    /// Returns the time until the level reaches `needed`, within the bounds of a retry time.
    fn wait(&self, rate: f64, needed: f64) -> Duration {
        if self.level >= needed {
            return Duration::ZERO;
        }
        let seconds = (needed - self.level) / rate;
        Duration::try_from_secs_f64(seconds)
            .unwrap_or(Duration::MAX)
            .clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }
}

/// Bounds of the time after which a refused request may be retried.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(1);
const RETRY_AFTER_MAX: Duration = Duration::from_mins(1);

impl RequestRate {
    fn at(self, now: Instant) -> f64 {
        self.per_second * (-now.since(self.updated).as_secs_f64() / DEMAND_WINDOW_SECONDS).exp()
    }

    fn count(&mut self, now: Instant) {
        self.per_second = self.at(now) + 1.0 / DEMAND_WINDOW_SECONDS;
        self.updated = now;
    }
}
