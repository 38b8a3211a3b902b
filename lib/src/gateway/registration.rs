use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::StoreError;
use super::peers::{PREFIX, Registration};
use super::shared::Shared;

/// Time after which the registration of a daemon that is gone is removed.
const REGISTRATION_TTL: Duration = Duration::from_secs(10);
/// Pause between renewals. A renewal costs a tenth of a call and shows whether the store answers;
/// the operators allow about 3 s until a daemon follows them again after an outage.
const RENEWAL_PAUSE: Duration = Duration::from_secs(1);
/// Longest time of a renewal; a slow store takes 200 ms.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause between renewals and their longest time while the store does not answer: its return must
/// be noticed early, since what lapsed has 2 s from then on.
const PROBE_PAUSE: Duration = Duration::from_millis(200);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Registers this daemon until the task is ended, and notices when the store is away.
pub(super) async fn register(shared: Rc<Shared>, address: SocketAddr) {
    let key = format!("{PREFIX}{}", shared.options.name);
    let registration = Registration {
        address,
        data_centre: shared.options.data_centre.clone(),
    };
    let value = serde_json::to_vec(&registration).unwrap_or_default();
    let mut outage = Outage {
        shared: &shared,
        is_lost: false,
    };
    while !shared.is_stopping() {
        if let Err(error) = keep_registered(&shared, &key, &value, &mut outage).await {
            log::info!(error:% = error; "registration ended; registering again");
            if !matches!(error, StoreError::LeaseEnded) {
                outage.begin(&error);
            }
        }
        tokio::time::sleep(outage.pause()).await;
    }
}

async fn keep_registered(
    shared: &Shared,
    key: &str,
    value: &[u8],
    outage: &mut Outage<'_>,
) -> Result<(), StoreError> {
    let store = &shared.options.store;
    let lease = store.grant(REGISTRATION_TTL).await?;
    outage.end();
    store.put(key, value, lease).await?;
    shared.registration.set(Some(lease));
    loop {
        tokio::time::sleep(outage.pause()).await;
        match store.renew(lease, outage.timeout()).await {
            Ok(()) => outage.end(),
            Err(StoreError::LeaseEnded) => {
                outage.end();
                return Err(StoreError::LeaseEnded);
            }
            Err(error) => outage.begin(&error),
        }
    }
}

/// Whether the store answers this daemon, as the calls for its registration show.
#[derive(Debug)]
struct Outage<'a> {
    shared: &'a Shared,
    is_lost: bool,
}

impl Outage<'_> {
    fn begin(&mut self, error: &StoreError) {
        if !self.is_lost {
            log::warn!(error:% = error; "store does not answer a call of the registration");
            self.shared.registry.borrow_mut().source_lost();
        }
        self.is_lost = true;
    }

    fn end(&mut self) {
        if !self.is_lost {
            return;
        }
        self.is_lost = false;
        log::info!("store answers the registration again");
        let now = self.shared.now();
        self.shared.registry.borrow_mut().source_back(now);
        self.shared.end_outage();
    }

    /// Returns the time until the next renewal.
    const fn pause(&self) -> Duration {
        if self.is_lost {
            PROBE_PAUSE
        } else {
            RENEWAL_PAUSE
        }
    }

    /// Returns the longest time of the next renewal.
    const fn timeout(&self) -> Duration {
        if self.is_lost {
            PROBE_TIMEOUT
        } else {
            RENEWAL_TIMEOUT
        }
    }
}
