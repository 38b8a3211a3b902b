use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_policy::Instant;

use super::shared::Shared;
use super::store_watcher::list_and_watch;
use super::watch_handler::{Read, WatchHandler};
use super::{Item, Update};

/// Watches the operators' configuration until the task is aborted.
pub(super) async fn watch_catalog(shared: Rc<Shared>) {
    let key = shared.options.documents.catalog_key();
    let handler = CatalogHandler {
        shared: Rc::clone(&shared),
    };
    list_and_watch(&shared, key, &handler).await;
}

/// Applies versions of the operators' configuration.
pub(super) struct CatalogHandler {
    pub(super) shared: Rc<Shared>,
}

impl CatalogHandler {
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
                log::error!(
                    revision = item.revision, error:% = error;
                    "configuration cannot be parsed; ignored"
                );
                return;
            }
        };
        let shared = &self.shared;
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
}
