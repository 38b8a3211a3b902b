//! Settings of the daemon, read from an INI file and validated completely before anything starts.
//!
//! Keys, types, ranges and defaults come from the JSON Schema of the settings. This module adds
//! checks that a schema cannot express: formats of addresses and keys, and relations between
//! settings.

mod address;
mod keys;
mod names;
mod problem;
mod problems;
mod schema;

use std::fs;
use std::path::Path;

use ragwortgrade_operator::ini::{self, Section};
use ragwortgrade_schema::settings::{Daemon, Settings};

use schema::Schema;

pub use problem::Problem;
pub use problems::Problems;

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns every problem of the file with its line; no setting of an invalid file is used.
pub fn load(path: &Path) -> Result<Settings, Problems> {
    match fs::read_to_string(path) {
        Ok(text) => parse(&text, path),
        Err(error) => Err(Problems::new(
            path,
            vec![Problem::without_line(format!("cannot be read: {error}"))],
        )),
    }
}

/// Validates the text of a settings file; `path` is only used in messages.
///
/// # Errors
///
/// Returns every problem of the text with its line.
pub fn parse(text: &str, path: &Path) -> Result<Settings, Problems> {
    let (sections, syntax) = ini::read(text);
    let mut problems: Vec<Problem> = syntax.into_iter().map(Problem::from).collect();
    let document = Schema::open().read(&sections, &mut problems);
    check_formats(&sections, &mut problems);
    if problems.is_empty() {
        match serde_json::from_value(document) {
            Ok(settings) => return Ok(settings),
            Err(error) => problems.push(Problem::without_line(error.to_string())),
        }
    }
    Err(Problems::new(path, problems))
}

/// Returns the address at which other daemons reach this one.
pub(crate) fn public_address(daemon: &Daemon) -> &str {
    let public = daemon.peers_public_address.as_deref();
    public.unwrap_or(&daemon.peers_address)
}

fn check_formats(sections: &[Section], problems: &mut Vec<Problem>) {
    address::check(sections, problems);
    keys::check(sections, problems);
    names::check(sections, problems);
}
