//! What the endpoints' logs say.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use ragwortgrade_standins::{Effect, OrderJudgement, OrderRecord};
use serde::Deserialize;

/// Counts the effects by the body of the calls.
pub(crate) fn effects(directory: &Path) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for path in logs(directory, "effects") {
        for effect in read::<Effect>(&path) {
            *counts.entry(effect.body).or_default() += 1;
        }
    }
    counts
}

/// Judges the order logs of all engines.
pub(crate) fn orders(directory: &Path) -> OrderJudgement {
    let mut judged = OrderJudgement::default();
    for path in logs(directory, "orders") {
        judged += OrderJudgement::of(&read::<OrderRecord>(&path));
    }
    judged
}

/// Reads one log; a line that a crash cut short is left out.
fn read<T: for<'a> Deserialize<'a>>(path: &Path) -> Vec<T> {
    let text = fs::read_to_string(path).unwrap_or_default();
    text.lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect()
}

fn logs(directory: &Path, extension: &str) -> Vec<PathBuf> {
    let Ok(entries) = fs::read_dir(directory) else {
        return Vec::new();
    };
    entries
        .filter_map(Result::ok)
        .map(|entry| entry.path())
        .filter(|path| path.extension().is_some_and(|found| found == extension))
        .collect()
}
