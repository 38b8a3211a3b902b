//! Settings of the daemon, read from an INI file and checked whole before anything starts.
//!
//! The shape, the ranges and the defaults come from the JSON Schema of the settings; this module
//! adds what a schema cannot say: forms of addresses and keys and relations between settings.

mod address;
mod fault;
mod faults;
mod keys;
mod names;
mod shape;

use std::fs;
use std::path::Path;

use ragwortgrade_operator::ini::{self, Section};
use ragwortgrade_schema::settings::{Daemon, Settings};

use shape::Shape;

pub use fault::Fault;
pub use faults::Faults;

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns every fault of the file with its line; nothing is taken over from a faulty file.
pub fn load(path: &Path) -> Result<Settings, Faults> {
    match fs::read_to_string(path) {
        Ok(text) => parse(&text, path),
        Err(error) => Err(Faults::new(
            path,
            vec![Fault::without_line(format!("cannot be read: {error}"))],
        )),
    }
}

/// Checks the text of a settings file; `path` is only named in the faults.
///
/// # Errors
///
/// Returns every fault of the text with its line.
pub fn parse(text: &str, path: &Path) -> Result<Settings, Faults> {
    let (sections, syntax) = ini::read(text);
    let mut faults: Vec<Fault> = syntax.into_iter().map(Fault::from).collect();
    let document = Shape::open().read(&sections, &mut faults);
    check_forms(&sections, &mut faults);
    if faults.is_empty() {
        match serde_json::from_value(document) {
            Ok(settings) => return Ok(settings),
            Err(error) => faults.push(Fault::without_line(error.to_string())),
        }
    }
    Err(Faults::new(path, faults))
}

/// Returns the address under which other daemons reach this one.
pub(crate) fn public_address(daemon: &Daemon) -> &str {
    let public = daemon.peers_public_address.as_deref();
    public.unwrap_or(&daemon.peers_address)
}

fn check_forms(sections: &[Section], faults: &mut Vec<Fault>) {
    address::check(sections, faults);
    keys::check(sections, faults);
    names::check(sections, faults);
}
