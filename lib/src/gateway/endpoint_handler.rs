use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::LocalBoxFuture;
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{
    Change, Endpoint, RegistrationBatch, RegistrationChange, RegistrationContent,
};
use ragwortgrade_schema::Name;

use super::shared::Shared;
use super::store_watcher::list_and_watch;
use super::watch_handler::{Read, WatchHandler};
use super::{Item, Update};

/// Interval at which registrations are checked against the times that they have.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Watches the endpoints' registrations until the task is aborted.
pub(super) async fn watch_endpoints(shared: Rc<Shared>) {
    let prefix = shared.options.documents.endpoints_prefix();
    let handler = EndpointHandler { shared: &shared };
    list_and_watch(&shared, prefix, &handler).await;
}

/// Removes endpoints whose registration expired during a store outage and was not renewed after it,
/// and takes those into use again that a restored store still lists.
pub(super) async fn check_registrations(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = shared.now();
        let expired = shared.registry.borrow_mut().expire(now);
        for id in expired {
            log::info!(
                endpoint:% = id;
                "registration expired during a store outage and was not renewed"
            );
        }
        let confirmed = shared.registry.borrow_mut().confirm(now);
        for id in confirmed {
            log::info!(endpoint:% = id; "endpoint is still registered in the restored store; used");
        }
        let expired_reports = shared.registry.borrow_mut().expire_reports(now);
        for id in expired_reports {
            log::info!(endpoint:% = id; "report that the endpoint leaves has expired; used");
        }
    }
}

/// Changes the known endpoints when registrations change.
pub(super) struct EndpointHandler<'a> {
    pub(super) shared: &'a Shared,
}

impl EndpointHandler<'_> {
    /// Applies changes that another daemon has read, as far as they are new.
    pub(super) fn apply_batch(&self, batch: RegistrationBatch, reported_by: &Name) {
        let (after, revision) = (batch.after, batch.revision);
        if batch.is_vouched && batch.era == self.shared.store_era_named() {
            let read_at = batch.read_at.min(self.shared.now());
            self.shared.registry.borrow_mut().source_vouched(read_at);
        }
        let new = self.shared.endpoint_reads.record_batch(self.shared, batch);
        if !new.is_empty() {
            log::info!(
                reported_by:% = reported_by, changes = new.len(), after = after,
                revision = revision;
                "registrations read by another daemon"
            );
            self.apply_changes(new);
        }
    }

    fn apply_changes(&self, changes: Vec<RegistrationChange>) {
        for change in changes {
            let RegistrationChange {
                key,
                revision,
                content,
            } = change;
            let value = match content {
                RegistrationContent::Removed => {
                    if let Some(id) = self.endpoint_id(&key) {
                        self.apply(Change::Removed(id.into()));
                    }
                    continue;
                }
                RegistrationContent::Written(value) => Some(value.into()),
                RegistrationContent::Unreadable => None,
            };
            let item = Item {
                key,
                value,
                revision,
            };
            match self.parse(&item) {
                Some(Ok(endpoint)) => self.apply(Change::Put(endpoint)),
                Some(Err(id)) => self.apply(Change::Unreadable(id)),
                None => {}
            }
        }
        self.evict_unregistered();
    }

    fn endpoint_id<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.shared.options.documents.endpoints_prefix())
    }

    /// Parses a registration; returns the endpoint's ID as the error. Returns `None` if the key is
    /// not that of a registration.
    fn parse(&self, item: &Item) -> Option<Result<Endpoint, Name>> {
        let id = self.endpoint_id(&item.key)?;
        let parsed = item
            .value
            .as_ref()
            .ok_or_else(|| "value cannot be decoded".to_owned())
            .and_then(|value| self.shared.options.documents.parse_endpoint(id, value));
        Some(parsed.map_err(|error| {
            log::warn!(
                endpoint = id, revision = item.revision, error:% = error;
                "registration cannot be parsed"
            );
            Name::from(id)
        }))
    }

    fn apply(&self, change: Change) {
        let now = self.shared.now();
        let mut registry = self.shared.registry.borrow_mut();
        let (id, previous_started_ms) = match &change {
            Change::Put(endpoint) => {
                let current = registry.get(&endpoint.id);
                (
                    endpoint.id.clone(),
                    current.map(|current| current.started_ms),
                )
            }
            Change::Removed(id) | Change::Unreadable(id) => (id.clone(), None),
        };
        let change_text = format!("{change:?}");
        if !registry.apply(change, now) {
            if registry.is_lapsed(&id) {
                log::info!(
                    endpoint:% = id, change = change_text;
                    "registration ended while the store may be unavailable; still used"
                );
            }
            return;
        }
        let is_usable = registry.is_usable(&id);
        log::info!(
            endpoint:% = id, change = change_text, is_usable = is_usable;
            "registration changed"
        );
        let is_restarted = previous_started_ms.is_some()
            && registry.get(&id).map(|endpoint| endpoint.started_ms) != previous_started_ms;
        drop(registry);
        if is_restarted {
            self.forget_process(&id);
        }
    }

    /// Removes what is known of the process that an endpoint was before its restart.
    fn forget_process(&self, id: &Name) {
        self.shared.engines.borrow_mut().engine_restarted(id);
        self.shared.rate_limits.borrow_mut().endpoint_restarted(id);
    }

    fn evict_unregistered(&self) {
        let registry = self.shared.registry.borrow();
        let is_registered = |id: &Name| registry.get(id).is_some();
        self.shared.engines.borrow_mut().retain(is_registered);
        self.shared.plain_pool.borrow_mut().retain(is_registered);
    }
}

impl WatchHandler for EndpointHandler<'_> {
    fn on_list(&self, items: Vec<Item>, read: Read) {
        let endpoints: Vec<Endpoint> = items
            .iter()
            .filter_map(|item| self.parse(item)?.ok())
            .collect();
        log::info!(items = items.len(), endpoints = endpoints.len(); "registrations listed");
        let now = self.shared.now();
        if !self.shared.endpoint_reads.record_listing(self.shared, read) {
            return;
        }
        let mut registry = self.shared.registry.borrow_mut();
        let known: Vec<Endpoint> = endpoints
            .iter()
            .filter_map(|endpoint| registry.get(&endpoint.id).cloned())
            .collect();
        let changes = registry.replace(endpoints, now);
        let lapsed: Vec<&str> = registry.lapsed().map(Name::as_str).collect();
        if !lapsed.is_empty() {
            log::info!(
                endpoints = lapsed.join(",");
                "registrations ended while the store may be unavailable; still used"
            );
        }
        for before in &known {
            let current = registry.get(&before.id);
            if current.is_some_and(|current| current.started_ms != before.started_ms) {
                self.forget_process(&before.id);
            }
        }
        drop(registry);
        if self.shared.is_registry_loaded.replace(true) {
            for change in changes {
                log::info!(change:? = change; "registration changed in a listing");
            }
        }
        self.evict_unregistered();
        self.shared.notify_loaded();
    }

    fn on_updates(&self, updates: Vec<Update>, after: u64, read: Read) {
        let reads = &self.shared.endpoint_reads;
        self.apply_changes(reads.record_updates(self.shared, updates, after, read));
    }

    fn pause(&self, read_end: Instant) -> Duration {
        self.shared.endpoint_reads.pause(self.shared, read_end)
    }

    fn wait_for_shorter_pause(&self) -> LocalBoxFuture<'_, ()> {
        let reads = &self.shared.endpoint_reads;
        reads.wait_until_missed().boxed_local()
    }

    fn resume_after(&self, revision: u64) -> u64 {
        self.shared.endpoint_reads.revision().unwrap_or(revision)
    }

    fn watch_timeout(&self) -> Duration {
        self.shared.endpoint_reads.watch_timeout(self.shared)
    }
}
