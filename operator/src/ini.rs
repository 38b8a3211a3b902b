//! INI text with the line of every heading and key.
//!
//! `rust-ini` stops at the first syntax error and forgets the lines, but settings and
//! configurations report every fault with its line. So the text is split into lines here and each
//! line goes through `rust-ini` by itself; a value cannot span lines.

mod fault;
mod property;
mod section;

use std::collections::HashMap;

use ini::{Ini, ParseOption};

pub use fault::Fault;
pub use property::Property;
pub use section::Section;

const SYNTAX: ParseOption = ParseOption {
    enabled_quote: false,
    enabled_escape: false,
    enabled_indented_mutiline_value: false,
    enabled_preserve_key_leading_whitespace: false,
};

/// Reads INI text; returns the sections that could be read and every fault of the syntax.
#[must_use]
pub fn read(text: &str) -> (Vec<Section>, Vec<Fault>) {
    let mut reader = Reader::default();
    for (index, line) in text.lines().enumerate() {
        reader.take_line(index + 1, line.trim());
    }
    (reader.sections, reader.faults)
}

#[derive(Default)]
struct Reader {
    sections: Vec<Section>,
    lines_of_headings: HashMap<String, usize>,
    faults: Vec<Fault>,
}

impl Reader {
    fn take_line(&mut self, line: usize, text: &str) {
        if text.is_empty() {
            return;
        }
        match Ini::load_from_str_opt(text, SYNTAX) {
            Ok(parsed) => self.take_parsed(line, &parsed),
            Err(error) => self.fault(
                line,
                format!(
                    "expected a `[section]`, a `key = value` pair or a comment: {}",
                    error.msg
                ),
            ),
        }
    }

    fn take_parsed(&mut self, line: usize, parsed: &Ini) {
        for (heading, properties) in parsed {
            if let Some(heading) = heading {
                self.open_section(line, heading);
            }
            for (key, value) in properties {
                self.add_property(line, key, value);
            }
        }
    }

    fn open_section(&mut self, line: usize, heading: &str) {
        if let Some(first) = self.lines_of_headings.get(heading) {
            let message = format!("section `[{heading}]` is already declared in line {first}");
            self.fault(line, message);
        }
        self.lines_of_headings
            .entry(heading.to_owned())
            .or_insert(line);
        self.sections.push(Section {
            heading: heading.to_owned(),
            line,
            properties: Vec::new(),
        });
    }

    fn add_property(&mut self, line: usize, key: &str, value: &str) {
        let Some(section) = self.sections.last_mut() else {
            self.fault(line, format!("key `{key}` stands before any section"));
            return;
        };
        if let Some(first) = section.get(key) {
            let message = format!("key `{key}` is already set in line {}", first.line);
            self.fault(line, message);
            return;
        }
        section.properties.push(Property {
            key: key.to_owned(),
            value: value.to_owned(),
            line,
        });
    }

    fn fault(&mut self, line: usize, message: String) {
        self.faults.push(Fault { line, message });
    }
}
