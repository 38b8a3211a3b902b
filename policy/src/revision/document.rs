use std::collections::BTreeMap;
use std::sync::Arc;

use ragwortgrade_schema::peer::ConfigurationAnswer;
use xxhash_rust::xxh3::xxh3_64;

use super::Error;

/// Heading of the section that names the revision.
pub const HEADER: &str = "configuration";

pub(super) type Sections = BTreeMap<Arc<str>, Arc<str>>;

/// A configuration as text in sections, with its revision.
///
/// Comments and blank lines are removed and sections sorted, so that two daemons with the same
/// declarations have the same text, however it reached them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    revision: u64,
    apply_id: Arc<str>,
    sections: Sections,
    checksum: u64,
}

impl Document {
    /// Parses the text of a document.
    ///
    /// # Errors
    ///
    /// Fails when the text has no usable header, has lines outside sections, or repeats a section.
    pub fn parse(text: &str) -> Result<Self, Error> {
        Self::from_sections(split_sections(text)?)
    }

    /// Builds a document from sections, one of which is the header.
    pub(super) fn from_sections(sections: Sections) -> Result<Self, Error> {
        let header = sections.get(HEADER).ok_or(Error::NoHeader)?;
        let revision = value(header, "revision").and_then(|text| text.parse().ok());
        let apply_id = value(header, "apply_id").filter(|text| !text.is_empty());
        let (Some(revision @ 1..), Some(apply_id)) = (revision, apply_id) else {
            return Err(Error::NoHeader);
        };
        let mut document = Self {
            revision,
            apply_id: apply_id.into(),
            sections,
            checksum: 0,
        };
        document.checksum = xxh3_64(document.text().as_bytes());
        Ok(document)
    }

    /// Returns the revision; a higher one is newer.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the identity of the apply that wrote the declarations.
    #[must_use]
    pub fn apply_id(&self) -> &str {
        &self.apply_id
    }

    /// Returns a hash of the whole text.
    #[must_use]
    pub fn checksum(&self) -> u64 {
        self.checksum
    }

    /// Returns the text: the header, then the other sections in the order of their headings.
    #[must_use]
    pub fn text(&self) -> String {
        let header = self.sections.get(HEADER).map_or("", |text| text);
        let others = self
            .sections
            .iter()
            .filter(|(heading, _)| &***heading != HEADER);
        let others = others.map(|(_, text)| &**text);
        let texts: Vec<&str> = std::iter::once(header).chain(others).collect();
        texts.join("\n")
    }

    /// Returns the same declarations and apply identity with another revision.
    #[must_use]
    pub fn with_revision(&self, revision: u64) -> Self {
        let mut sections = self.sections.clone();
        if let Some(header) = self.sections.get(HEADER) {
            let lines = header.lines().map(|line| match key(line) {
                Some("revision") => format!("revision = {revision}\n"),
                _ => format!("{line}\n"),
            });
            sections.insert(HEADER.into(), lines.collect::<String>().into());
        }
        let mut document = Self {
            revision,
            apply_id: Arc::clone(&self.apply_id),
            sections,
            checksum: 0,
        };
        document.checksum = xxh3_64(document.text().as_bytes());
        document
    }

    /// Returns whether a peer's answer, requested with this document's revision, shows that another
    /// document was accepted instead of it or after it.
    ///
    /// A reader queries a few peers before it accepts the platform's document: after the platform
    /// was restored from older data, an operator can write a revision that others have accepted
    /// with other content.
    #[must_use]
    pub fn is_superseded_by(&self, answer: &ConfigurationAnswer) -> bool {
        let is_same = answer.checksum == Some(self.checksum);
        answer.revision > self.revision || (answer.revision == self.revision && !is_same)
    }

    pub(super) fn sections(&self) -> &Sections {
        &self.sections
    }
}

/// Splits text into sections, without comments and blank lines.
pub(super) fn split_sections(text: &str) -> Result<Sections, Error> {
    let mut texts: BTreeMap<Arc<str>, String> = BTreeMap::new();
    let mut current: Option<Arc<str>> = None;
    for (index, line) in text.lines().map(str::trim).enumerate() {
        if line.is_empty() || line.starts_with([';', '#']) {
            continue;
        }
        if let Some(heading) = parse_heading(line) {
            let heading: Arc<str> = heading.into();
            let opening = format!("[{heading}]\n");
            if texts.insert(Arc::clone(&heading), opening).is_some() {
                let heading = heading.to_string();
                return Err(Error::Duplicate { heading });
            }
            current = Some(heading);
            continue;
        }
        let section = current.as_ref().and_then(|heading| texts.get_mut(heading));
        let section = section.ok_or(Error::OutsideSection { line: index + 1 })?;
        section.push_str(line);
        section.push('\n');
    }
    let sections = texts
        .into_iter()
        .map(|(heading, text)| (heading, text.into()));
    Ok(sections.collect())
}

fn parse_heading(line: &str) -> Option<&str> {
    Some(line.strip_prefix('[')?.strip_suffix(']')?.trim())
}

fn key(line: &str) -> Option<&str> {
    line.split_once('=').map(|(key, _)| key.trim())
}

fn value<'a>(section: &'a str, wanted: &str) -> Option<&'a str> {
    let mut lines = section.lines().filter_map(|line| line.split_once('='));
    let found = lines.find(|(key, _)| key.trim() == wanted);
    found.map(|(_, value)| value.trim())
}
