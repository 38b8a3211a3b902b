use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_policy::gateway::{Change, Endpoint};
use ragwortgrade_schema::Name;

use super::shared::Shared;
use super::{Item, Store, StoreError, Update, Updates};

/// Longest wait of one watch; a watch that waits costs one call.
const WATCH_TIME: Duration = Duration::from_secs(20);
/// First and longest pause after a failed call.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(100);
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(800);
/// How often lapsed registrations are looked at.
const EXPIRY_PAUSE: Duration = Duration::from_millis(100);

/// What a follower does with the items below its prefix.
pub(super) trait Sink {
    fn listed(&self, items: Vec<Item>);
    fn changed(&self, update: Update);
    fn lost(&self);
    fn back(&self);
}

/// Follows the operators' declarations until the task is ended.
pub(super) async fn follow_catalog(shared: Rc<Shared>) {
    let key = shared.options.declarations.catalog_key();
    let store = Rc::clone(&shared.options.store);
    let sink = CatalogSink {
        shared: Rc::clone(&shared),
    };
    follow(&shared, &*store, key, Duration::ZERO, &sink).await;
}

/// Follows the endpoints' registrations until the task is ended.
pub(super) async fn follow_endpoints(shared: Rc<Shared>) {
    let prefix = shared.options.declarations.endpoints_prefix();
    let store = Rc::clone(&shared.options.store);
    let pause = shared.options.registration_pause;
    let sink = EndpointSink {
        shared: Rc::clone(&shared),
    };
    follow(&shared, &*store, prefix, pause, &sink).await;
}

/// Drops endpoints whose registration lapsed in an outage and did not return.
pub(super) async fn expire_endpoints(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(EXPIRY_PAUSE).await;
        let now = shared.now();
        let gone = shared.registry.borrow_mut().expire(now);
        for id in gone {
            log::info!(endpoint:% = id; "registration lapsed and did not return");
        }
    }
}

pub(super) async fn follow(
    shared: &Shared,
    store: &dyn Store,
    prefix: &str,
    pause: Duration,
    sink: &dyn Sink,
) {
    let mut revision = None;
    let mut failures: u32 = 0;
    let mut outages = shared.outages();
    loop {
        let read = async {
            match revision {
                None => list(store, prefix, sink).await,
                Some(known) => watch(store, prefix, known, sink).await,
            }
        };
        let result = tokio::select! {
            result = read => result,
            // A call that was sent while the store was silent is never answered.
            () = shared.outage_after(outages) => {
                outages = shared.outages();
                failures = 0;
                revision = None;
                continue;
            }
        };
        match result {
            Ok(newest) => {
                if failures > 0 {
                    log::info!(prefix = prefix, failures = failures; "store answers again");
                    sink.back();
                }
                failures = 0;
                revision = Some(newest);
                tokio::time::sleep(pause).await;
            }
            Err(StoreError::HistoryGone) => {
                log::info!(prefix = prefix, revision:? = revision; "history is gone; listing again");
                revision = None;
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(prefix = prefix, error:% = error; "store does not answer");
                    sink.lost();
                }
                failures += 1;
                revision = None;
                let pause = RETRY_PAUSE_MIN.saturating_mul(1 << failures.min(4));
                tokio::time::sleep(pause.min(RETRY_PAUSE_MAX)).await;
            }
        }
    }
}

/// Reads everything below the prefix; returns the revision from which to watch.
async fn list(store: &dyn Store, prefix: &str, sink: &dyn Sink) -> Result<u64, StoreError> {
    let mut items = Vec::new();
    let mut first_revision = None;
    let mut after: Option<Name> = None;
    loop {
        let page = store.list(prefix, after.as_deref()).await?;
        // Pages are no snapshot: what changed after the first one is seen by the watch.
        first_revision.get_or_insert(page.revision);
        after = page.items.last().map(|item| item.key.clone());
        items.extend(page.items);
        if !page.is_partial || after.is_none() {
            break;
        }
    }
    sink.listed(items);
    Ok(first_revision.unwrap_or_default())
}

async fn watch(
    store: &dyn Store,
    prefix: &str,
    revision: u64,
    sink: &dyn Sink,
) -> Result<u64, StoreError> {
    let Updates { updates, revision } = store.watch(prefix, revision, WATCH_TIME).await?;
    for update in updates {
        sink.changed(update);
    }
    Ok(revision)
}

struct CatalogSink {
    shared: Rc<Shared>,
}

impl CatalogSink {
    fn take(&self, item: &Item) {
        let declarations = &self.shared.options.declarations;
        if *item.key != *declarations.catalog_key() {
            return;
        }
        let parsed = item
            .value
            .as_ref()
            .ok_or_else(|| "value is not in the store's encoding".to_owned())
            .and_then(|value| declarations.catalog(value));
        let catalog = match parsed {
            Ok(catalog) => catalog,
            Err(error) => {
                log::error!(revision = item.revision, error:% = error; "configuration is unusable");
                return;
            }
        };
        let mut held = self.shared.catalog.borrow_mut();
        let held_version = held.as_ref().map(|catalog| catalog.version());
        if held_version.is_some_and(|version| version >= catalog.version()) {
            log::debug!(version = catalog.version(), held:? = held_version; "configuration is held");
            return;
        }
        log::info!(
            version = catalog.version(), before:? = held_version, routes = catalog.routes_len(),
            revision = item.revision;
            "configuration in force"
        );
        self.shared
            .metrics
            .gauge("configuration.version", catalog.version());
        *held = Some(Rc::new(catalog));
    }
}

impl Sink for CatalogSink {
    fn listed(&self, items: Vec<Item>) {
        for item in &items {
            self.take(item);
        }
    }

    fn changed(&self, update: Update) {
        match update {
            Update::Written(item) => self.take(&item),
            Update::Removed(key) => log::error!(key:% = key; "configuration was removed; kept"),
        }
    }

    fn lost(&self) {}

    fn back(&self) {}
}

struct EndpointSink {
    shared: Rc<Shared>,
}

impl EndpointSink {
    fn id<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.shared.options.declarations.endpoints_prefix())
    }

    fn read(&self, item: &Item) -> Option<Result<Endpoint, Name>> {
        let id = self.id(&item.key)?;
        let parsed = item
            .value
            .as_ref()
            .ok_or_else(|| "value is not in the store's encoding".to_owned())
            .and_then(|value| self.shared.options.declarations.endpoint(id, value));
        Some(parsed.map_err(|error| {
            log::warn!(endpoint = id, revision = item.revision, error:% = error; "entry is unusable");
            Name::from(id)
        }))
    }

    fn apply(&self, change: Change) {
        let now = self.shared.now();
        let mut registry = self.shared.registry.borrow_mut();
        let (id, was_born) = match &change {
            Change::Put(endpoint) => {
                let known = registry.get(&endpoint.id);
                (endpoint.id.clone(), known.map(|known| known.born_ms))
            }
            Change::Removed(id) | Change::Unreadable(id) => (id.clone(), None),
        };
        let text = format!("{change:?}");
        if !registry.apply(change, now) {
            return;
        }
        log::info!(endpoint:% = id, change = text; "registration changed");
        let is_restarted =
            was_born.is_some() && registry.get(&id).map(|endpoint| endpoint.born_ms) != was_born;
        drop(registry);
        if is_restarted {
            self.shared.engines.borrow_mut().restarted(&id);
        }
    }

    fn forget_unknown(&self) {
        let registry = self.shared.registry.borrow();
        let is_known = |id: &Name| registry.get(id).is_some();
        self.shared.engines.borrow_mut().retain(is_known);
        self.shared.plains.borrow_mut().retain(is_known);
    }
}

impl Sink for EndpointSink {
    fn listed(&self, items: Vec<Item>) {
        let endpoints: Vec<Endpoint> = items
            .iter()
            .filter_map(|item| self.read(item)?.ok())
            .collect();
        log::info!(items = items.len(), endpoints = endpoints.len(); "registrations listed");
        let now = self.shared.now();
        self.shared.registry.borrow_mut().replace(endpoints, now);
        self.shared.is_registry_read.set(true);
        self.forget_unknown();
    }

    fn changed(&self, update: Update) {
        match update {
            Update::Written(item) => match self.read(&item) {
                Some(Ok(endpoint)) => self.apply(Change::Put(endpoint)),
                Some(Err(id)) => self.apply(Change::Unreadable(id)),
                None => {}
            },
            Update::Removed(key) => {
                if let Some(id) = self.id(&key) {
                    self.apply(Change::Removed(id.into()));
                }
            }
        }
        self.forget_unknown();
    }

    fn lost(&self) {
        self.shared.registry.borrow_mut().source_lost();
    }

    fn back(&self) {
        let now = self.shared.now();
        self.shared.registry.borrow_mut().source_back(now);
    }
}
