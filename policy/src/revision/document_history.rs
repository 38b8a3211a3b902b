use std::cmp::Ordering;
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use ragwortgrade_schema::peer::ConfigurationAnswer;

use super::change::Change;
use super::document::{Sections, split_sections};
use super::{Document, Error, Reconciliation};

/// Number of changes kept to answer peers with the changed sections only.
///
/// Peers lag by seconds and there are about 1,000 changes a day, so this covers more than an hour;
/// older peers get the whole document.
const HISTORY_MAX: usize = 64;

/// The newest document that a daemon accepted, with its recent changes.
#[derive(Debug, Default)]
pub struct DocumentHistory {
    current: Option<Arc<Document>>,
    history: VecDeque<Change>,
    /// Checksum of another document with the current revision that a peer has.
    conflicting_checksum: Option<u64>,
}

/// Result of comparing a peer's answer with the current document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerUpdate {
    /// The peer has nothing newer.
    Nothing,
    /// A newer document; accept it when its declarations are valid.
    Newer(Box<Document>),
    /// The peer has another document of the same revision; [`DocumentHistory::reconcile`] resolves
    /// the conflict.
    Conflicting,
}

impl DocumentHistory {
    /// Returns the document in force at this daemon.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<Document>> {
        self.current.as_ref()
    }

    /// Returns the revision of the current document, 0 for none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.current
            .as_ref()
            .map_or(0, |current| current.revision())
    }

    /// Compares the platform's document with the current one and decides what to do about it.
    ///
    /// When the platform has another document under the current revision, the accepted one is
    /// written back under the next revision, so that daemons that accepted the other one see a
    /// higher revision and follow. A conflicting document of a peer is taken into account only
    /// once, since the peer may have changed its document since.
    #[must_use]
    pub fn reconcile(&mut self, platform: Option<&Document>) -> Reconciliation {
        let conflicting_checksum = self.conflicting_checksum.take();
        let Some(current) = &self.current else {
            return platform.map_or(Reconciliation::Same, |_| Reconciliation::Newer);
        };
        let Some(platform) = platform else {
            return Reconciliation::WriteBack(Document::clone(current));
        };
        match platform.revision().cmp(&current.revision()) {
            Ordering::Greater => Reconciliation::Newer,
            Ordering::Less => Reconciliation::WriteBack(Document::clone(current)),
            Ordering::Equal => reconcile_equal(current, platform, conflicting_checksum),
        }
    }

    /// Forgets the conflict with a peer; called when the platform could not be read to resolve it.
    pub fn clear_conflict(&mut self) {
        self.conflicting_checksum = None;
    }

    /// Puts a document in force if it is newer than the current one; returns whether it was.
    pub fn accept(&mut self, document: Document) -> bool {
        if document.revision() <= self.revision() {
            return false;
        }
        if let Some(current) = &self.current {
            if self.history.len() == HISTORY_MAX {
                self.history.pop_front();
            }
            self.history.push_back(Change::between(current, &document));
        }
        self.current = Some(Arc::new(document));
        self.conflicting_checksum = None;
        true
    }

    /// Answers a peer that has revision `since`: with the sections changed since then if they are
    /// known, else with the whole document.
    #[must_use]
    pub fn answer(&self, since: u64) -> ConfigurationAnswer {
        let Some(current) = &self.current else {
            return empty_answer(0, None);
        };
        if since >= current.revision() {
            return empty_answer(current.revision(), Some(current.checksum()));
        }
        match self.changed_since(since) {
            Some(headings) => changed_sections(current, &headings),
            None => whole_document(current),
        }
    }

    /// Reconstructs the document that a peer's answer describes.
    ///
    /// # Errors
    ///
    /// Fails when the answer does not lead to the document that the peer has; the caller then
    /// requests the whole document.
    pub fn evaluate(&mut self, answer: &ConfigurationAnswer) -> Result<PeerUpdate, Error> {
        if answer.revision <= self.revision() {
            return Ok(self.compare(answer));
        }
        let document = if answer.whole {
            Document::parse(&answer.changed.concat())?
        } else {
            self.patch(answer)?
        };
        let is_complete =
            document.revision() == answer.revision && answer.checksum == Some(document.checksum());
        if is_complete {
            Ok(PeerUpdate::Newer(Box::new(document)))
        } else {
            let revision = answer.revision;
            Err(Error::Checksum { revision })
        }
    }

    /// Compares a peer's answer with the current document when the peer's revision is not higher;
    /// records a conflict.
    fn compare(&mut self, answer: &ConfigurationAnswer) -> PeerUpdate {
        let Some(current) = &self.current else {
            return PeerUpdate::Nothing;
        };
        let is_different = answer
            .checksum
            .is_some_and(|checksum| checksum != current.checksum());
        if answer.revision == current.revision() && is_different {
            self.conflicting_checksum = answer.checksum;
            return PeerUpdate::Conflicting;
        }
        PeerUpdate::Nothing
    }

    /// Applies the changed and removed sections of an answer to the current document.
    fn patch(&self, answer: &ConfigurationAnswer) -> Result<Document, Error> {
        let current = self.current.as_ref();
        let mut sections = current.map_or_else(Sections::new, |current| current.sections().clone());
        for heading in &answer.removed {
            sections.remove(heading.as_str());
        }
        for text in &answer.changed {
            sections.extend(split_sections(text)?);
        }
        Document::from_sections(sections)
    }

    /// Returns the headings of the sections changed since a revision; `None` when the history does
    /// not reach back to it.
    fn changed_since(&self, since: u64) -> Option<BTreeSet<&Arc<str>>> {
        let first = self
            .history
            .iter()
            .position(|change| change.from == since)?;
        let changes = self.history.iter().skip(first);
        Some(changes.flat_map(|change| &change.headings).collect())
    }
}

fn empty_answer(revision: u64, checksum: Option<u64>) -> ConfigurationAnswer {
    ConfigurationAnswer {
        revision,
        whole: false,
        changed: Vec::new(),
        removed: Vec::new(),
        checksum,
    }
}

fn whole_document(current: &Document) -> ConfigurationAnswer {
    ConfigurationAnswer {
        whole: true,
        changed: vec![current.text()],
        ..empty_answer(current.revision(), Some(current.checksum()))
    }
}

fn changed_sections(current: &Document, headings: &BTreeSet<&Arc<str>>) -> ConfigurationAnswer {
    let mut answer = empty_answer(current.revision(), Some(current.checksum()));
    for heading in headings {
        match current.sections().get(*heading) {
            Some(text) => answer.changed.push(text.to_string()),
            None => answer.removed.push(heading.to_string()),
        }
    }
    answer
}

/// Reconciles a platform document of the current revision.
///
/// When a peer accepted another document of this revision, the platform decides if it has one of
/// the two, else the higher checksum, so that both sides choose the same one.
fn reconcile_equal(
    current: &Document,
    platform: &Document,
    conflicting_checksum: Option<u64>,
) -> Reconciliation {
    let next = current.revision() + 1;
    let is_current = platform.checksum() == current.checksum();
    match conflicting_checksum {
        None if is_current => Reconciliation::Same,
        Some(conflicting_checksum) if platform.checksum() == conflicting_checksum => {
            Reconciliation::WriteBack(platform.with_revision(next))
        }
        Some(conflicting_checksum) if !is_current && conflicting_checksum > current.checksum() => {
            Reconciliation::Same
        }
        _ => Reconciliation::WriteBack(current.with_revision(next)),
    }
}
