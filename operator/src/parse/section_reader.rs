use std::str::FromStr;

use ragwortgrade_schema::Name;

use crate::Problem;
use crate::ini::{Property, Section};

/// Reads the keys of one section and reports missing keys, invalid values and unknown keys.
///
/// An invalid value is replaced by a default, so that parsing continues and finds all problems.
pub(super) struct SectionReader<'a> {
    section: &'a Section,
    /// The declaration as problems name it, such as ``service `stock` ``.
    title: String,
    /// Keys that were read, whether or not the section has them.
    read_keys: Vec<&'static str>,
    problems: &'a mut Vec<Problem>,
}

impl<'a> SectionReader<'a> {
    pub(super) fn new(
        section: &'a Section,
        kind: &str,
        name: Option<&str>,
        problems: &'a mut Vec<Problem>,
    ) -> Self {
        let title = name.map_or(kind.to_owned(), |name| format!("{kind} `{name}`"));
        Self {
            section,
            title,
            read_keys: Vec::new(),
            problems,
        }
    }

    pub(super) fn line(&self) -> usize {
        self.section.line
    }

    /// Returns the value of a key that may be absent.
    pub(super) fn optional(&mut self, key: &'static str) -> Option<String> {
        self.read(key).map(|property| property.value.clone())
    }

    /// Returns the value of a key, or an empty text after reporting that it is missing.
    pub(super) fn required(&mut self, key: &'static str) -> String {
        if let Some(property) = self.read(key) {
            property.value.clone()
        } else {
            self.report_missing(key, "a value");
            String::new()
        }
    }

    /// Reads a required, comma-separated list of names.
    pub(super) fn names(&mut self, key: &'static str) -> Vec<Name> {
        let names = self.required(key);
        let names = names.split(',').map(str::trim);
        names
            .filter(|name| !name.is_empty())
            .map(Name::from)
            .collect()
    }

    /// Reads a required number; it is zero when missing or invalid.
    pub(super) fn number<N: FromStr + Default>(&mut self, key: &'static str) -> N {
        if self.section.get(key).is_none() {
            self.report_missing(key, "a number");
        }
        self.number_or(key, N::default())
    }

    pub(super) fn number_or<N: FromStr>(&mut self, key: &'static str, default: N) -> N {
        self.optional_number(key).unwrap_or(default)
    }

    pub(super) fn optional_number<N: FromStr>(&mut self, key: &'static str) -> Option<N> {
        let accepted = format!("a number of type {}", std::any::type_name::<N>());
        self.optional_choice(key, &accepted)
    }

    /// Reads a required value; `default` replaces a missing or invalid one, and `accepted`
    /// describes the valid values in a problem.
    pub(super) fn choice<C: FromStr>(
        &mut self,
        key: &'static str,
        default: C,
        accepted: &str,
    ) -> C {
        if self.section.get(key).is_none() {
            self.report_missing(key, accepted);
        }
        self.optional_choice(key, accepted).unwrap_or(default)
    }

    pub(super) fn optional_choice<C: FromStr>(
        &mut self,
        key: &'static str,
        accepted: &str,
    ) -> Option<C> {
        let property = self.read(key)?;
        let value = property.value.parse().ok();
        if value.is_none() {
            let found = format!("`{key}` is `{}`", property.value);
            self.problems
                .push(Problem::new(property.line, &self.title, found, accepted));
        }
        value
    }

    /// Reports the keys of the section that were never read as unknown.
    pub(super) fn finish(self) {
        for property in &self.section.properties {
            if !self.read_keys.contains(&property.key.as_str()) {
                self.problems.push(Problem::new(
                    property.line,
                    &self.title,
                    format!("unknown key `{}`", property.key),
                    &format!("`{}`", self.read_keys.join("`, `")),
                ));
            }
        }
    }

    fn read(&mut self, key: &'static str) -> Option<&'a Property> {
        if !self.read_keys.contains(&key) {
            self.read_keys.push(key);
        }
        self.section.get(key)
    }

    fn report_missing(&mut self, key: &str, accepted: &str) {
        let found = format!("`{key}` is missing");
        self.problems.push(Problem::new(
            self.section.line,
            &self.title,
            found,
            accepted,
        ));
    }
}
