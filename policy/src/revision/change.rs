use std::sync::Arc;

use super::Document;

/// Headings of the sections that differ between a revision and the accepted one before it.
#[derive(Clone, Debug)]
pub(super) struct Change {
    /// Revision before the change.
    pub(super) from: u64,
    /// Headings of changed, added and removed sections.
    pub(super) headings: Vec<Arc<str>>,
}

impl Change {
    pub(super) fn between(old: &Document, new: &Document) -> Self {
        let changed = new.sections().iter();
        let changed = changed.filter(|(heading, text)| old.sections().get(*heading) != Some(*text));
        let removed = old.sections().keys();
        let removed = removed.filter(|heading| !new.sections().contains_key(*heading));
        let headings = changed.map(|(heading, _)| heading).chain(removed);
        Self {
            from: old.revision(),
            headings: headings.cloned().collect(),
        }
    }
}
