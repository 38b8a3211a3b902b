//! Analysis of the effect logs of plain services and of the order logs of engines.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use ragwortgrade_standins::{Effect, OrderAudit, OrderRecord};
use serde::Deserialize;

/// Counts the effects of each call, by its body.
pub(crate) fn count_effects(directory: &Path) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for path in log_files(directory, "effects") {
        for effect in read_records::<Effect>(&path) {
            *counts.entry(effect.body).or_default() += 1;
        }
    }
    counts
}

/// Audits the order logs of all engines.
pub(crate) fn audit_orders(directory: &Path) -> OrderAudit {
    let mut audit = OrderAudit::default();
    for path in log_files(directory, "orders") {
        audit += OrderAudit::of(&read_records::<OrderRecord>(&path));
    }
    audit
}

/// Parses the records of a log and skips lines that a crash truncated.
fn read_records<T: for<'a> Deserialize<'a>>(path: &Path) -> Vec<T> {
    let text = fs::read_to_string(path).unwrap_or_default();
    text.lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect()
}

fn log_files(directory: &Path, extension: &str) -> Vec<PathBuf> {
    let Ok(entries) = fs::read_dir(directory) else {
        return Vec::new();
    };
    entries
        .filter_map(Result::ok)
        .map(|entry| entry.path())
        .filter(|path| path.extension().is_some_and(|found| found == extension))
        .collect()
}
