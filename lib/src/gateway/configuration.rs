use std::cell::{Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{Catalog, KeyChanges, KeyNews, Limits, Tenants};
use ragwortgrade_schema::Name;

use super::catalog_reads::CatalogReads;
use crate::observe::Metrics;

/// The operators' configuration in force, and later changes of keys that other daemons have read.
#[derive(Debug)]
pub(super) struct Configuration {
    catalog: RefCell<Option<Rc<Catalog>>>,
    key_news: RefCell<KeyNews>,
    pub(super) reads: CatalogReads,
}

impl Configuration {
    /// Returns the state before the first configuration; a change may be unknown for `bound`.
    pub(super) fn new(bound: Duration) -> Self {
        Self {
            catalog: RefCell::default(),
            key_news: RefCell::default(),
            reads: CatalogReads::new(bound),
        }
    }

    pub(super) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Returns the version in force.
    pub(super) fn version(&self) -> Option<u64> {
        let catalog = self.catalog.borrow();
        catalog.as_ref().map(|catalog| catalog.version())
    }

    /// Returns the configured limits on callers' requests; defaults before the first configuration.
    pub(super) fn limits(&self) -> Limits {
        let catalog = self.catalog.borrow();
        catalog
            .as_ref()
            .map_or_else(Limits::default, |catalog| *catalog.limits())
    }

    pub(super) fn key_news(&self) -> Ref<'_, KeyNews> {
        self.key_news.borrow()
    }

    /// Applies a catalog that was read at this store revision, unless it is older than the one in
    /// force. Returns whether it is applied.
    pub(super) fn apply(
        &self,
        catalog: Catalog,
        revision: u64,
        metrics: &Metrics,
        now: Instant,
    ) -> bool {
        let mut current = self.catalog.borrow_mut();
        let current_version = current.as_ref().map(|catalog| catalog.version());
        if current_version.is_some_and(|version| version >= catalog.version()) {
            log::debug!(
                version = catalog.version(), held:? = current_version;
                "configuration is not newer than the current one; ignored"
            );
            return false;
        }
        log::info!(
            version = catalog.version(), before:? = current_version, routes = catalog.routes_len(),
            tenants:? = catalog.tenants().map(Tenants::len), revision = revision;
            "configuration applied"
        );
        metrics.gauge("configuration.version", catalog.version());
        if let Some(previous) = current.as_ref() {
            let mut key_news = self.key_news.borrow_mut();
            let untold = key_news.record_applied(previous, &catalog, now);
            if untold > 0 {
                log::warn!(
                    version = catalog.version(), untold = untold;
                    "too many changes of keys; some are not told to other daemons"
                );
                metrics.count("keys.untold", untold as u64);
            }
        }
        *current = Some(Rc::new(catalog));
        true
    }

    /// Takes the changes of keys that this daemon has read since the last call.
    pub(super) fn take_key_changes(&self) -> Vec<KeyChanges> {
        self.key_news.borrow_mut().take_unsent()
    }

    /// Returns the changes of keys that daemons that lack them are told.
    pub(super) fn held_key_changes(&self, now: Instant) -> Vec<KeyChanges> {
        self.key_news.borrow().held(now).cloned().collect()
    }

    /// Adds changes of keys that another daemon has read.
    pub(super) fn merge_key_changes(
        &self,
        changes: KeyChanges,
        reported_by: &Name,
        metrics: &Metrics,
        now: Instant,
    ) {
        let held = self.version();
        let (version, count) = (changes.version, changes.changes.len());
        let mut key_news = self.key_news.borrow_mut();
        let is_news = key_news.merge(changes, now);
        let newest_version = key_news.newest_version();
        metrics.gauge("configuration.newest_version", newest_version);
        if is_news && held.is_some_and(|held| held < version) {
            log::info!(
                version = version, held:? = held, changes = count, reported_by:% = reported_by;
                "changes of keys applied that another daemon has read"
            );
            metrics.count("keys.told", count as u64);
        }
    }
}
