use std::collections::BTreeMap;
use std::fmt::Write as _;

use ragwortgrade_schema::configuration::Configuration;
use similar::TextDiff;

use crate::render::render_sections;

/// Unchanged lines around each change in a diff.
const CONTEXT_LINES: usize = 3;

/// Differences between the declarations of two configurations.
///
/// The header (revision, apply identity and author) is not compared.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Headings of sections that only the new configuration has.
    pub added: Vec<String>,
    /// Headings of sections whose text differs.
    pub changed: Vec<String>,
    /// Headings of sections that only the old configuration has.
    pub removed: Vec<String>,
    /// Unified diffs of the sections above, concatenated.
    pub text: String,
}

impl Difference {
    /// Compares two configurations; if `old` is `None`, every section counts as added.
    #[must_use]
    pub fn between(old: Option<&Configuration>, new: &Configuration) -> Self {
        let old = old.map(declaration_sections).unwrap_or_default();
        let new = declaration_sections(new);
        let mut difference = Self::default();
        for (heading, text) in &new {
            match old.get(heading) {
                None => difference.added.push(heading.clone()),
                Some(before) if before != text => difference.changed.push(heading.clone()),
                Some(_) => continue,
            }
            difference.append_diff(old.get(heading).map_or("", String::as_str), text);
        }
        for (heading, text) in &old {
            if !new.contains_key(heading) {
                difference.removed.push(heading.clone());
                difference.append_diff(text, "");
            }
        }
        difference
    }

    /// Returns whether both configurations have the same declarations.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    fn append_diff(&mut self, old: &str, new: &str) {
        let lines = TextDiff::from_lines(old, new);
        let hunks = lines
            .unified_diff()
            .context_radius(CONTEXT_LINES)
            .to_string();
        // Writing to a string cannot fail.
        let _ = write!(self.text, "{hunks}");
    }
}

/// Returns the rendered sections other than the header by their headings.
fn declaration_sections(configuration: &Configuration) -> BTreeMap<String, String> {
    render_sections(configuration).into_iter().skip(1).collect()
}
