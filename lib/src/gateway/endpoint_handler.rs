use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::epidemic::Statement;
use ragwortgrade_policy::gateway::{
    Change, Endpoint, RegistrationBatch, RegistrationChange, RegistrationContent, RegistrationFeed,
};
use ragwortgrade_schema::Name;

use super::shared::Shared;
use super::store_watcher::{Read, WATCH_TIMEOUT, WatchHandler};
use super::{Item, Update};

/// Maximum wait of a watch of a daemon that reads for others, which want to know soon that nothing
/// has changed.
const SHARED_WATCH_TIMEOUT: Duration = Duration::from_millis(1);
/// Minimum time between two reads of a daemon, as a fraction of the read interval.
const READ_PAUSE_FRACTION: f64 = 0.4;
/// Maximum size of the changed registrations in one batch for other daemons. Those that miss a
/// larger one read it themselves.
const BATCH_BYTES_MAX: usize = 6 * 1024;

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
        self.shared.notify_loaded();
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
