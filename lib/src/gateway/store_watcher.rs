use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::epidemic::Statement;
use ragwortgrade_policy::gateway::{
    Change, Endpoint, RegistrationBatch, RegistrationChange, RegistrationContent, RegistrationFeed,
};
use ragwortgrade_schema::Name;

use super::shared::Shared;
use super::{Item, StoreError, Update, Updates};

/// Maximum wait of one watch, which costs one call however long it waits.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// The same for a daemon that reads for others, which want to know soon that nothing has changed.
const SHARED_WATCH_TIMEOUT: Duration = Duration::from_millis(1);
/// Minimum time between two reads of a daemon, as a fraction of the read interval.
const READ_PAUSE_FRACTION: f64 = 0.4;
/// Maximum size of the changed registrations in one batch for other daemons. Those that miss a
/// larger one read it themselves.
const BATCH_BYTES_MAX: usize = 6 * 1024;
/// Base and maximum of the exponential backoff after failed calls; the first delay is twice the
/// base.
const RETRY_DELAY_BASE: Duration = Duration::from_millis(100);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(800);
/// Delay after a failed call during a store outage, of which the end is detected by the calls that
/// keep this daemon registered.
const OUTAGE_RETRY_DELAY: Duration = Duration::from_secs(4);
/// Interval at which registrations are checked against the times that they have.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Callbacks for the items below a watched prefix.
pub(super) trait WatchHandler {
    /// Handles a complete list of the items, which has all changes up to the revision.
    fn on_list(&self, items: Vec<Item>, read: Read);
    /// Handles the changes after a revision.
    fn on_updates(&self, updates: Vec<Update>, after: u64, read: Read);
    /// Returns how long to wait until the next read if the last one ended at `read_end`.
    fn pause(&self, read_end: Instant) -> Duration;
    /// Returns the revision after which to read if the last read ended with `revision`.
    fn resume_after(&self, revision: u64) -> u64 {
        revision
    }
    /// Returns how long a read may wait for changes.
    fn watch_timeout(&self) -> Duration {
        WATCH_TIMEOUT
    }
    /// Handles the first of a series of failed calls.
    fn on_disconnect(&self);
    /// Handles the first successful call after failed ones; not called if the end of a store outage
    /// was recorded in between.
    fn on_reconnect(&self);
}

/// How far a read of the store goes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Read {
    /// Revision up to which it has all changes.
    pub(super) revision: u64,
    /// When the store had no later changes.
    pub(super) at: Instant,
}

/// Watches the operators' configuration until the task is aborted.
pub(super) async fn watch_catalog(shared: Rc<Shared>) {
    let key = shared.options.documents.catalog_key();
    let handler = CatalogHandler {
        shared: Rc::clone(&shared),
    };
    list_and_watch(&shared, key, &handler).await;
}

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

/// Lists the items below `prefix`, then watches them until the task is aborted, with the pauses of
/// the handler between calls. After an error, a store outage or a restore of the store from an older
/// copy the items are listed again.
pub(super) async fn list_and_watch(shared: &Shared, prefix: &str, handler: &dyn WatchHandler) {
    let mut revision = None;
    let mut failures: u32 = 0;
    let mut interruptions = shared.store_interruptions();
    loop {
        let call = async {
            match revision {
                None => list(shared, prefix, handler).await,
                Some(revision) => watch(shared, prefix, revision, handler).await,
            }
        };
        let result = tokio::select! {
            biased;
            // Calls sent during an outage never get a response, and those sent before a restore may
            // miss changes, so the pending one is dropped.
            () = shared.wait_for_interruption(interruptions) => {
                interruptions = shared.store_interruptions();
                failures = 0;
                revision = None;
                continue;
            }
            result = call => result,
        };
        match result {
            Ok(new_revision) => {
                if failures > 0 {
                    log::info!(prefix = prefix, failures = failures; "store is reachable again");
                    handler.on_reconnect();
                }
                failures = 0;
                tokio::select! {
                    () = wait_for_next_read(shared, handler) => {}
                    () = shared.wait_for_interruption(interruptions) => {}
                }
                revision = Some(handler.resume_after(new_revision));
            }
            Err(StoreError::Restored) => {
                revision = None;
                // Bounds the rate of calls to a store whose replicas name different eras.
                tokio::time::sleep(RETRY_DELAY_BASE).await;
            }
            Err(StoreError::Compacted) => {
                log::info!(
                    prefix = prefix, revision:? = revision;
                    "watch history was compacted; listing again"
                );
                revision = None;
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(prefix = prefix, error:% = error; "store call failed; retrying");
                    handler.on_disconnect();
                }
                failures += 1;
                revision = None;
                let delay = if shared.is_store_lost.get() {
                    OUTAGE_RETRY_DELAY
                } else {
                    let delay = RETRY_DELAY_BASE.saturating_mul(1 << failures.min(4));
                    delay.min(RETRY_DELAY_MAX)
                };
                tokio::select! {
                    () = tokio::time::sleep(delay) => {}
                    () = shared.wait_for_interruption(interruptions) => {}
                }
            }
        }
    }
}

async fn wait_for_next_read(shared: &Shared, handler: &dyn WatchHandler) {
    let read_end = shared.now();
    loop {
        let pause = handler.pause(read_end);
        if pause.is_zero() {
            return;
        }
        tokio::time::sleep(pause).await;
    }
}

/// Lists all items below the prefix for the handler; returns the revision from which to watch.
async fn list(
    shared: &Shared,
    prefix: &str,
    handler: &dyn WatchHandler,
) -> Result<u64, StoreError> {
    let mut items = Vec::new();
    let started_at = shared.now();
    let mut first_revision = None;
    let mut after: Option<Name> = None;
    loop {
        let call = shared.options.store.list(prefix, after.as_deref());
        let page = shared.call_store(call).await?;
        // The pages are not a snapshot: the watch delivers what changed after the first one.
        first_revision.get_or_insert(page.revision);
        after = page.items.last().map(|item| item.key.clone());
        items.extend(page.items);
        if !page.has_more || after.is_none() {
            break;
        }
    }
    let revision = first_revision.unwrap_or_default();
    let read = Read {
        revision,
        at: started_at,
    };
    handler.on_list(items, read);
    Ok(revision)
}

async fn watch(
    shared: &Shared,
    prefix: &str,
    revision: u64,
    handler: &dyn WatchHandler,
) -> Result<u64, StoreError> {
    let store = &shared.options.store;
    let started_at = shared.now();
    let call = store.watch(prefix, revision, handler.watch_timeout());
    let after = revision;
    let Updates { updates, revision } = shared.call_store(call).await?;
    let read = Read {
        revision,
        at: started_at,
    };
    handler.on_updates(updates, after, read);
    Ok(revision)
}

struct CatalogHandler {
    shared: Rc<Shared>,
}

impl CatalogHandler {
    fn apply_item(&self, item: &Item) {
        let documents = &self.shared.options.documents;
        if *item.key != *documents.catalog_key() {
            return;
        }
        let parsed = item
            .value
            .as_ref()
            .ok_or_else(|| "value cannot be decoded".to_owned())
            .and_then(|value| documents.parse_catalog(value));
        let catalog = match parsed {
            Ok(catalog) => catalog,
            Err(error) => {
                log::error!(
                    revision = item.revision, error:% = error;
                    "configuration cannot be parsed; ignored"
                );
                return;
            }
        };
        let mut current = self.shared.catalog.borrow_mut();
        let current_version = current.as_ref().map(|catalog| catalog.version());
        if current_version.is_some_and(|version| version >= catalog.version()) {
            log::debug!(
                version = catalog.version(), held:? = current_version;
                "configuration is not newer than the current one; ignored"
            );
            return;
        }
        log::info!(
            version = catalog.version(), before:? = current_version, routes = catalog.routes_len(),
            revision = item.revision;
            "configuration applied"
        );
        self.shared
            .metrics
            .gauge("configuration.version", catalog.version());
        *current = Some(Rc::new(catalog));
    }
}

impl WatchHandler for CatalogHandler {
    fn on_list(&self, items: Vec<Item>, _read: Read) {
        for item in &items {
            self.apply_item(item);
        }
    }

    fn on_updates(&self, updates: Vec<Update>, _after: u64, _read: Read) {
        for update in updates {
            match update {
                Update::Written(item) => self.apply_item(&item),
                Update::Removed { key, .. } => {
                    log::error!(key:% = key; "configuration was removed; keeping the current one");
                }
            }
        }
    }

    fn pause(&self, _read_end: Instant) -> Duration {
        Duration::ZERO
    }

    fn on_disconnect(&self) {}

    fn on_reconnect(&self) {}
}

/// Changes the known endpoints when registrations change.
pub(super) struct EndpointHandler<'a> {
    pub(super) shared: &'a Shared,
}

impl EndpointHandler<'_> {
    /// Applies changes that another daemon has read, as far as they are new.
    pub(super) fn apply_batch(&self, batch: RegistrationBatch, reported_by: &Name) {
        let now = self.shared.now();
        let new_after = self
            .shared
            .registration_feed
            .borrow_mut()
            .advance(&batch, now);
        let Some(new_after) = new_after else {
            return;
        };
        let changes = batch.changes.into_iter();
        let new: Vec<RegistrationChange> = changes.filter(|it| it.revision > new_after).collect();
        if !new.is_empty() {
            log::info!(
                reported_by:% = reported_by, changes = new.len(), after = new_after,
                revision = batch.revision;
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

    /// Returns whether the daemons of this fleet read registrations for each other.
    fn shares_reads(&self) -> bool {
        RegistrationFeed::is_shared(self.shared.peers.borrow().directory.len())
    }

    /// Hands changes on to the other daemons.
    fn publish(&self, batch: RegistrationBatch) {
        let sizes = batch.changes.iter().map(|change| {
            let value_bytes = match &change.content {
                RegistrationContent::Written(value) => value.len(),
                RegistrationContent::Unreadable | RegistrationContent::Removed => 0,
            };
            change.key.len() + value_bytes
        });
        let bytes: usize = sizes.sum();
        if bytes > BATCH_BYTES_MAX {
            log::info!(
                bytes = bytes, changes = batch.changes.len();
                "changed registrations are too large for a message to other daemons"
            );
            return;
        }
        let now = self.shared.now();
        let mut broadcast = self.shared.broadcast.borrow_mut();
        broadcast.publish(Statement::Registrations(batch), now);
        self.shared.notify_news();
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
        let era = self.shared.store_era_named();
        let mut feed = self.shared.registration_feed.borrow_mut();
        if !feed.listed(era, read.revision, read.at) {
            log::info!(
                revision = read.revision, known:? = feed.revision();
                "listing is older than what other daemons have handed on; ignored"
            );
            return;
        }
        drop(feed);
        let mut registry = self.shared.registry.borrow_mut();
        let known: Vec<Endpoint> = endpoints
            .iter()
            .filter_map(|endpoint| registry.get(&endpoint.id).cloned())
            .collect();
        let changes = registry.replace(endpoints, now);
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
    }

    fn on_updates(&self, updates: Vec<Update>, after: u64, read: Read) {
        let batch = RegistrationBatch {
            era: self.shared.store_era_named(),
            after,
            revision: read.revision,
            read_at: read.at,
            changes: updates.into_iter().map(registration_change).collect(),
        };
        let now = self.shared.now();
        let mut feed = self.shared.registration_feed.borrow_mut();
        let new_after = feed.advance(&batch, now);
        drop(feed);
        let Some(new_after) = new_after else {
            // Another daemon has handed on later changes meanwhile.
            return;
        };
        let new = batch.changes.iter().filter(|it| it.revision > new_after);
        self.apply_changes(new.cloned().collect());
        if self.shares_reads() {
            self.publish(batch);
        }
    }

    fn pause(&self, read_end: Instant) -> Duration {
        let shared = self.shared;
        let now = shared.now();
        let interval = shared.options.registration_read_interval;
        if !self.shares_reads() {
            return (read_end + interval).since(now);
        }
        let peers = shared.peers.borrow();
        let rank = RegistrationFeed::rank(&shared.options.name, peers.directory.names());
        let feed = shared.registration_feed.borrow();
        let next_read = feed.next_read(&shared.options.name, rank, interval);
        let earliest = read_end + interval.mul_f64(READ_PAUSE_FRACTION);
        next_read.max(earliest).since(now)
    }

    fn resume_after(&self, revision: u64) -> u64 {
        let known = self.shared.registration_feed.borrow().revision();
        known.unwrap_or(revision)
    }

    fn watch_timeout(&self) -> Duration {
        if self.shares_reads() {
            SHARED_WATCH_TIMEOUT
        } else {
            WATCH_TIMEOUT
        }
    }

    fn on_disconnect(&self) {
        self.shared.registry.borrow_mut().source_lost();
    }

    fn on_reconnect(&self) {
        let now = self.shared.now();
        self.shared.registry.borrow_mut().source_restored(now);
    }
}

fn registration_change(update: Update) -> RegistrationChange {
    match update {
        Update::Written(item) => RegistrationChange {
            key: item.key,
            revision: item.revision,
            content: match item.value {
                Some(value) => RegistrationContent::Written(value.to_vec()),
                None => RegistrationContent::Unreadable,
            },
        },
        Update::Removed { key, revision } => RegistrationChange {
            key,
            revision,
            content: RegistrationContent::Removed,
        },
    }
}
