use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::StoreError;
use super::peers::{REGISTRATION_PREFIX, Registration};
use super::shared::Shared;

/// Time after which the registration of a daemon that no longer renews it is removed.
const REGISTRATION_TTL: Duration = Duration::from_secs(10);
/// Interval between renewals. A renewal costs a tenth of a normal call and also detects store
/// outages; operators allow about 3 s after an outage until a daemon applies changes again.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a renewal; a slow store takes 200 ms.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval and timeout of renewals during a store outage. The end of the outage must be detected
/// early: endpoints whose registration expired meanwhile have 2 s from the detection to register
/// again before they are removed, and operators allow about 3 s after the outage.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Keeps this daemon registered until it drains, and detects store outages.
pub(super) async fn register(shared: Rc<Shared>, address: SocketAddr) {
    let key = key(&shared);
    let registration = Registration {
        address,
        data_centre: shared.options.data_centre.clone(),
    };
    let value = serde_json::to_vec(&registration).unwrap_or_default();
    let mut outage = OutageTracker {
        shared: &shared,
        is_active: false,
    };
    while !shared.is_draining() {
        let Err(error) = keep_registered(&shared, &key, &value, &mut outage).await else {
            return;
        };
        log::info!(error:% = error; "registration failed or ended");
        let delay = match error {
            StoreError::Restored => PROBE_INTERVAL,
            StoreError::LeaseNotFound => outage.interval(),
            _ => {
                outage.record_failure(&error);
                outage.interval()
            }
        };
        tokio::time::sleep(delay).await;
    }
}

/// Removes the registration of this daemon, if there is one.
pub(super) async fn unregister(shared: Rc<Shared>) {
    if !shared.is_registered.get() {
        return;
    }
    let key = key(&shared);
    // The lease is left to expire: after a restore of the store it may be another daemon's.
    if let Err(error) = shared.options.store.remove(&key).await.result {
        log::info!(
            error:% = error;
            "registration could not be removed; it expires with its lease"
        );
    }
}

fn key(shared: &Shared) -> String {
    format!("{REGISTRATION_PREFIX}{}", shared.options.name)
}

/// Registers this daemon and renews the lease of its registration until the daemon drains.
///
/// # Errors
///
/// Fails when a new registration is required.
async fn keep_registered(
    shared: &Shared,
    key: &str,
    value: &[u8],
    outage: &mut OutageTracker<'_>,
) -> Result<(), StoreError> {
    let store = &shared.options.store;
    let restores = shared.store_restores();
    let lease = shared.call_store(store.grant(REGISTRATION_TTL)).await?;
    outage.record_success();
    shared.call_store(store.put(key, value, lease)).await?;
    shared.is_registered.set(true);
    loop {
        tokio::time::sleep(outage.interval()).await;
        if shared.is_draining() {
            return Ok(());
        }
        // The restored store may have granted the lease to another daemon.
        if shared.store_restores() != restores {
            return Err(StoreError::Restored);
        }
        let renewal = store.renew(lease, outage.timeout());
        match shared.call_store(renewal).await {
            Ok(()) => outage.record_success(),
            Err(error @ (StoreError::LeaseNotFound | StoreError::Restored)) => {
                outage.record_success();
                return Err(error);
            }
            Err(error) => outage.record_failure(&error),
        }
    }
}

/// Store outage as detected by the calls that keep this daemon registered.
#[derive(Debug)]
struct OutageTracker<'a> {
    shared: &'a Shared,
    is_active: bool,
}

impl OutageTracker<'_> {
    fn record_failure(&mut self, error: &StoreError) {
        if !self.is_active {
            log::warn!(error:% = error; "store outage detected by a registration call");
            self.shared.registry.borrow_mut().source_lost();
        }
        self.is_active = true;
        self.shared.is_store_lost.set(true);
    }

    fn record_success(&mut self) {
        if !self.is_active {
            return;
        }
        self.is_active = false;
        self.shared.is_store_lost.set(false);
        log::info!("store outage ended");
        self.shared.record_outage_end();
    }

    /// Returns the time until the next renewal or registration.
    const fn interval(&self) -> Duration {
        if self.is_active {
            PROBE_INTERVAL
        } else {
            RENEWAL_INTERVAL
        }
    }

    /// Returns the timeout of the next renewal.
    const fn timeout(&self) -> Duration {
        if self.is_active {
            PROBE_TIMEOUT
        } else {
            RENEWAL_TIMEOUT
        }
    }
}
