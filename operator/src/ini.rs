//! INI parser that records the line of every heading and key.
//!
//! `rust-ini` stops at the first syntax error and does not return line numbers, but problems in
//! settings and configurations are reported all at once, each with its line. So this module splits
//! the text into lines and passes each line to `rust-ini` separately; a value cannot span lines.

mod problem;
mod property;
mod section;

use std::collections::HashMap;

use ini::{Ini, ParseOption};

pub use problem::Problem;
pub use property::Property;
pub use section::Section;

/// Values are taken literally, without quotes, escapes or indented continuation lines.
const SYNTAX: ParseOption = ParseOption {
    enabled_quote: false,
    enabled_escape: false,
    enabled_indented_mutiline_value: false,
    enabled_preserve_key_leading_whitespace: false,
};

/// Parses INI text; returns the sections that could be parsed and all syntax problems.
#[must_use]
pub fn read(text: &str) -> (Vec<Section>, Vec<Problem>) {
    let mut parser = Parser::default();
    for (index, line) in text.lines().enumerate() {
        parser.parse_line(index + 1, line.trim());
    }
    (parser.sections, parser.problems)
}

#[derive(Default)]
struct Parser {
    sections: Vec<Section>,
    /// Line of the first section with each heading.
    heading_lines: HashMap<String, usize>,
    problems: Vec<Problem>,
}

impl Parser {
    fn parse_line(&mut self, line: usize, text: &str) {
        if text.is_empty() {
            return;
        }
        match Ini::load_from_str_opt(text, SYNTAX) {
            Ok(parsed) => self.add_parsed(line, &parsed),
            Err(error) => self.report(
                line,
                format!(
                    "expected a `[section]`, a `key = value` pair or a comment: {}",
                    error.msg
                ),
            ),
        }
    }

    /// Adds the heading or property that `rust-ini` found in one line.
    fn add_parsed(&mut self, line: usize, parsed: &Ini) {
        for (heading, properties) in parsed {
            if let Some(heading) = heading {
                self.add_section(line, heading);
            }
            for (key, value) in properties {
                self.add_property(line, key, value);
            }
        }
    }

    fn add_section(&mut self, line: usize, heading: &str) {
        if let Some(first) = self.heading_lines.get(heading) {
            let message = format!("section `[{heading}]` is already declared in line {first}");
            self.report(line, message);
        }
        self.heading_lines.entry(heading.to_owned()).or_insert(line);
        self.sections.push(Section {
            heading: heading.to_owned(),
            line,
            properties: Vec::new(),
        });
    }

    fn add_property(&mut self, line: usize, key: &str, value: &str) {
        let Some(section) = self.sections.last_mut() else {
            self.report(line, format!("key `{key}` stands before any section"));
            return;
        };
        if let Some(first) = section.get(key) {
            let message = format!("key `{key}` is already set in line {}", first.line);
            self.report(line, message);
            return;
        }
        section.properties.push(Property {
            key: key.to_owned(),
            value: value.to_owned(),
            line,
        });
    }

    fn report(&mut self, line: usize, message: String) {
        self.problems.push(Problem { line, message });
    }
}
