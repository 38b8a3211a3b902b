use std::cmp::Ordering;
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use ragwortgrade_schema::peer::ConfigurationAnswer;

use super::change::Change;
use super::document::{Sections, split};
use super::{Document, Error, Verdict};

/// Changes kept to answer peers with what they lack. Peers lag by seconds and there are about 1,000
/// changes a day, so this covers more than an hour; older peers get the whole document.
const HISTORY_MAX: usize = 64;

/// The newest accepted document of one daemon and the way to it.
#[derive(Debug, Default)]
pub struct Ledger {
    held: Option<Arc<Document>>,
    history: VecDeque<Change>,
    /// Checksum of another document of the held revision that a peer holds.
    rival: Option<u64>,
}

/// What a peer's answer amounts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Proposal {
    /// The peer has nothing newer.
    Nothing,
    /// A newer document; accept it when its declarations are valid.
    Newer(Box<Document>),
    /// The peer holds another document of the same revision; [`Ledger::judge`] settles it.
    Contested,
}

impl Ledger {
    /// Returns the document in force at this daemon.
    #[must_use]
    pub fn held(&self) -> Option<&Arc<Document>> {
        self.held.as_ref()
    }

    /// Returns the revision held, 0 for none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.held.as_ref().map_or(0, |held| held.revision())
    }

    /// Judges what the platform holds against what this daemon holds.
    ///
    /// A document that took the place of an accepted one under the same revision is replaced by the
    /// accepted one under the next revision, so that daemons that accepted the other one see a
    /// higher revision and follow. What a peer was found to hold counts for one judgement only, since
    /// the peer may have moved on.
    #[must_use]
    pub fn judge(&mut self, platform: Option<&Document>) -> Verdict {
        let rival = self.rival.take();
        let Some(held) = &self.held else {
            return platform.map_or(Verdict::Same, |_| Verdict::Newer);
        };
        let Some(platform) = platform else {
            return Verdict::WriteBack(Document::clone(held));
        };
        match platform.revision().cmp(&held.revision()) {
            Ordering::Greater => Verdict::Newer,
            Ordering::Less => Verdict::WriteBack(Document::clone(held)),
            Ordering::Equal => judge_equal(held, platform, rival),
        }
    }

    /// Forgets what a peer was found to hold, when the platform could not be read to settle it.
    pub fn forget_rival(&mut self) {
        self.rival = None;
    }

    /// Takes a document into force if it is newer than the one held; tells whether it was.
    pub fn accept(&mut self, document: Document) -> bool {
        if document.revision() <= self.revision() {
            return false;
        }
        if let Some(held) = &self.held {
            if self.history.len() == HISTORY_MAX {
                self.history.pop_front();
            }
            self.history.push_back(Change::between(held, &document));
        }
        self.held = Some(Arc::new(document));
        self.rival = None;
        true
    }

    /// Answers a peer that holds revision `since`: with the sections changed since then if they are
    /// known, else with the whole document.
    #[must_use]
    pub fn answer(&self, since: u64) -> ConfigurationAnswer {
        let Some(held) = &self.held else {
            return empty_answer(0, None);
        };
        if since >= held.revision() {
            return empty_answer(held.revision(), Some(held.checksum()));
        }
        match self.changed_since(since) {
            Some(headings) => changes(held, &headings),
            None => whole(held),
        }
    }

    /// Works out the document that a peer's answer describes.
    ///
    /// # Errors
    ///
    /// Fails when the answer does not lead to the document that the peer holds; the peer is then
    /// asked for the whole document.
    pub fn propose(&mut self, answer: &ConfigurationAnswer) -> Result<Proposal, Error> {
        if answer.revision <= self.revision() {
            return Ok(self.compare(answer));
        }
        let document = if answer.whole {
            Document::parse(&answer.changed.concat())?
        } else {
            self.patch(answer)?
        };
        let is_intact =
            document.revision() == answer.revision && answer.checksum == Some(document.checksum());
        if is_intact {
            Ok(Proposal::Newer(Box::new(document)))
        } else {
            let revision = answer.revision;
            Err(Error::Checksum { revision })
        }
    }

    fn compare(&mut self, answer: &ConfigurationAnswer) -> Proposal {
        let Some(held) = &self.held else {
            return Proposal::Nothing;
        };
        let is_other = answer
            .checksum
            .is_some_and(|checksum| checksum != held.checksum());
        if answer.revision == held.revision() && is_other {
            self.rival = answer.checksum;
            return Proposal::Contested;
        }
        Proposal::Nothing
    }

    fn patch(&self, answer: &ConfigurationAnswer) -> Result<Document, Error> {
        let held = self.held.as_ref();
        let mut sections = held.map_or_else(Sections::new, |held| held.sections().clone());
        for heading in &answer.removed {
            sections.remove(heading.as_str());
        }
        for text in &answer.changed {
            sections.extend(split(text)?);
        }
        Document::from_sections(sections)
    }

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

fn whole(held: &Document) -> ConfigurationAnswer {
    ConfigurationAnswer {
        whole: true,
        changed: vec![held.text()],
        ..empty_answer(held.revision(), Some(held.checksum()))
    }
}

fn changes(held: &Document, headings: &BTreeSet<&Arc<str>>) -> ConfigurationAnswer {
    let mut answer = empty_answer(held.revision(), Some(held.checksum()));
    for heading in headings {
        match held.sections().get(*heading) {
            Some(text) => answer.changed.push(text.to_string()),
            None => answer.removed.push(heading.to_string()),
        }
    }
    answer
}

/// Judges a document of the held revision.
///
/// When a peer accepted another document of this revision, the platform decides if it holds one of
/// the two, else the higher checksum, so that both sides choose the same one.
fn judge_equal(held: &Document, platform: &Document, rival: Option<u64>) -> Verdict {
    let next = held.revision() + 1;
    let is_held = platform.checksum() == held.checksum();
    match rival {
        None if is_held => Verdict::Same,
        Some(rival) if platform.checksum() == rival => Verdict::WriteBack(platform.restamped(next)),
        Some(rival) if !is_held && rival > held.checksum() => Verdict::Same,
        _ => Verdict::WriteBack(held.restamped(next)),
    }
}
