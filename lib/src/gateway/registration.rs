use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::epidemic::Statement;
use ragwortgrade_policy::gateway::{Recovery, RegistrationFeed};

use super::peers::{REGISTRATION_PREFIX, Registration};
use super::shared::Shared;
use super::{LeaseId, StoreError};

/// Time after which the registration of a daemon that no longer renews it is removed.
const REGISTRATION_TTL: Duration = Duration::from_secs(10);
/// Timeout of a renewal; a slow store takes 200 ms.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a renewal during a store outage, of which the end must be detected early.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay until this daemon registers with a store that was restored from an older copy.
const RESTORE_DELAY: Duration = Duration::from_millis(200);

/// Keeps this daemon registered until it drains, and detects store outages.
///
/// A daemon that drains keeps a lease without a registration: its renewals tell an outage from a
/// watch that the store has cut.
pub(super) async fn register(shared: Rc<Shared>, address: SocketAddr) {
    let key = key(&shared);
    let registration = Registration {
        address,
        data_centre: shared.options.data_centre.clone(),
    };
    let value = serde_json::to_vec(&registration).unwrap_or_default();
    let monitor = OutageMonitor { shared: &shared };
    loop {
        let sent_at = shared.now();
        let error = keep_registered(&shared, &key, &value, &monitor).await;
        log::info!(error:% = error; "registration failed or ended");
        match error {
            StoreError::Restored => tokio::time::sleep(RESTORE_DELAY).await,
            StoreError::LeaseNotFound => monitor.wait_for_next_call().await,
            _ => {
                monitor.record_failure(&error, sent_at);
                monitor.wait_for_next_call().await;
            }
        }
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

/// Registers this daemon and renews the lease until a new one is required; returns why it is.
async fn keep_registered(
    shared: &Shared,
    key: &str,
    value: &[u8],
    monitor: &OutageMonitor<'_>,
) -> StoreError {
    let restores = shared.store_restores();
    let lease = match register_once(shared, key, value, monitor).await {
        Ok(lease) => lease,
        Err(error) => return error,
    };
    loop {
        monitor.wait_for_next_call().await;
        // The restored store may have granted the lease to another daemon.
        if shared.store_restores() != restores {
            return StoreError::Restored;
        }
        let sent_at = shared.now();
        let renewal = shared.options.store.renew(lease, monitor.timeout());
        match shared.call_store(renewal).await {
            Ok(()) => monitor.record_success(sent_at),
            Err(error @ (StoreError::LeaseNotFound | StoreError::Restored)) => {
                monitor.record_success(sent_at);
                return error;
            }
            Err(error) => monitor.record_failure(&error, sent_at),
        }
    }
}

/// Registers this daemon, unless it drains, under a new lease; returns the lease.
async fn register_once(
    shared: &Shared,
    key: &str,
    value: &[u8],
    monitor: &OutageMonitor<'_>,
) -> Result<LeaseId, StoreError> {
    let store = &shared.options.store;
    let sent_at = shared.now();
    let lease = shared.call_store(store.grant(REGISTRATION_TTL)).await?;
    monitor.record_success(sent_at);
    if !shared.is_draining() {
        shared.call_store(store.put(key, value, lease)).await?;
        shared.is_registered.set(true);
    }
    Ok(lease)
}

/// Detects store outages by the calls that keep this daemon registered.
#[derive(Debug)]
struct OutageMonitor<'a> {
    shared: &'a Shared,
}

impl OutageMonitor<'_> {
    fn record_failure(&self, error: &StoreError, sent_at: Instant) {
        let is_first = self
            .shared
            .store_outage
            .borrow_mut()
            .record_failure(sent_at);
        if is_first {
            log::warn!(error:% = error; "store outage detected by a registration call");
            self.shared.registry.borrow_mut().source_lost();
        }
    }

    /// Records that the store answered a call sent at this time.
    fn record_success(&self, sent_at: Instant) {
        let shared = self.shared;
        let recovery = shared.store_outage.borrow_mut().record_success(sent_at);
        match recovery {
            Recovery::Unneeded => return,
            Recovery::NoOutage => {
                log::info!("store answers; the failed call is no sign of an outage");
                shared.registry.borrow_mut().source_answered();
                return;
            }
            Recovery::ShortOutage => shared.registry.borrow_mut().source_answered(),
            Recovery::Outage => shared.registry.borrow_mut().source_restored(shared.now()),
        }
        log::info!(recovery:? = recovery; "store outage ended");
        shared.record_outage_end();
        let statement = Statement::StoreAnswered { at: sent_at };
        let now = shared.now();
        shared.broadcast.borrow_mut().publish(statement, now);
        shared.notify_news();
    }

    /// Waits until the next renewal or registration.
    async fn wait_for_next_call(&self) {
        let shared = self.shared;
        let options = &shared.options;
        let rank = {
            let peers = shared.peers.borrow();
            let names = peers.directory.names_in(&options.data_centre);
            RegistrationFeed::rank(&options.name, names)
        };
        let interval = shared.store_outage.borrow().interval(rank);
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = shared.wait_for_store_call() => {}
        }
    }

    /// Returns the timeout of the next renewal.
    fn timeout(&self) -> Duration {
        if self.shared.store_outage.borrow().is_active() {
            PROBE_TIMEOUT
        } else {
            RENEWAL_TIMEOUT
        }
    }
}
