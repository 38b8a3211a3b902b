use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::{self, LocalBoxFuture};
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::epidemic::Statement;

use super::shared::Shared;
use super::store_watcher::list_and_watch;
use super::watch_handler::{Read, WATCH_TIMEOUT, WatchHandler};
use super::{Item, Update};

/// Watches the operators' configuration until the task is aborted.
pub(super) async fn watch_catalog(shared: Rc<Shared>) {
    let key = shared.options.documents.catalog_key();
    let handler = CatalogHandler {
        shared: &shared,
        is_readable: Cell::new(true),
    };
    list_and_watch(&shared, key, &handler).await;
}

/// Applies versions of the operators' configuration.
struct CatalogHandler<'a> {
    shared: &'a Shared,
    /// Whether the last version could be parsed. Other daemons may be able to parse it.
    is_readable: Cell<bool>,
}

impl CatalogHandler<'_> {
    /// Tells other daemons that no version was newer at `read_at` than that of this daemon.
    fn publish(&self, read_at: Instant) {
        let shared = self.shared;
        let Some(version) = shared.configuration.version() else {
            return;
        };
        let statement = Statement::Catalog { version, read_at };
        let now = shared.now();
        shared.broadcast.borrow_mut().publish(statement, now);
        shared.notify_news();
    }

    fn apply_item(&self, item: &Item) {
        let documents = &self.shared.options.documents;
        if *item.key != *documents.catalog_key() {
            return;
        }
        let held = self.shared.catalog();
        let parsed = item
            .value
            .as_ref()
            .ok_or_else(|| "value cannot be decoded".to_owned())
            .and_then(|value| documents.parse_catalog(value, held.as_deref()));
        let catalog = match parsed {
            Ok(catalog) => catalog,
            Err(error) => {
                self.is_readable.set(false);
                log::error!(
                    revision = item.revision, error:% = error;
                    "configuration cannot be parsed; ignored"
                );
                return;
            }
        };
        self.is_readable.set(true);
        let shared = self.shared;
        let configuration = &shared.configuration;
        if configuration.apply(catalog, item.revision, &shared.metrics, shared.now()) {
            if let Some(catalog) = shared.catalog() {
                shared.engines.borrow_mut().apply_routes(catalog.routes());
            }
            shared.notify_loaded();
            shared.notify_news();
        }
    }
}

impl WatchHandler for CatalogHandler<'_> {
    fn on_list(&self, items: Vec<Item>, read: Read) {
        for item in &items {
            self.apply_item(item);
        }
        self.shared
            .configuration
            .reads
            .record_read(self.shared, read.at);
    }

    fn on_updates(&self, updates: Vec<Update>, _after: u64, read: Read) {
        for update in updates {
            match update {
                Update::Written(item) => self.apply_item(&item),
                Update::Removed { key, .. } => {
                    log::error!(key:% = key; "configuration was removed; keeping the current one");
                }
            }
        }
        let reads = &self.shared.configuration.reads;
        reads.record_read(self.shared, read.at);
        if read.wait < WATCH_TIMEOUT && self.is_readable.get() {
            self.publish(read.at);
        }
    }

    fn pause(&self, _read_end: Instant) -> Duration {
        Duration::ZERO
    }

    fn on_interruption(&self) {
        let now = self.shared.now();
        self.shared.configuration.reads.store_restored(now);
    }

    fn watch_timeout(&self) -> Duration {
        self.shared.configuration.reads.watch_timeout(self.shared)
    }

    fn wait_until_replaced(&self, wait: Duration) -> LocalBoxFuture<'_, ()> {
        if wait < WATCH_TIMEOUT {
            return future::pending().boxed_local();
        }
        let reads = &self.shared.configuration.reads;
        reads.wait_until_due(self.shared).boxed_local()
    }
}
