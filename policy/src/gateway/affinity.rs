//! Choices that all daemons make identically without communication.

use ragwortgrade_schema::Name;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Endpoint, Stage};

/// Largest number of engines with which every prefix has one affinity engine of each stage for the
/// whole fleet. In a larger fleet, only prefixes with a long part do, and only among the prefill
/// engines. All other prefixes have one in each data centre, where enough requests share them.
pub(super) const SMALL_FLEET_MAX: usize = 24;
/// Fraction of the decode engines that is reserved for long outputs.
const RESERVED_FRACTION: f64 = 0.4;

/// Decode engines that are reserved for long outputs. They run few local prefills, which would slow
/// the outputs down. Every daemon selects the same engines.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReservedDecoders {
    /// Largest hash of a reserved engine's ID; `None` if no engine is reserved.
    hash_max: Option<u64>,
}

impl ReservedDecoders {
    /// Selects among the decode engines of these candidates.
    pub(super) fn new(candidates: &[&Endpoint]) -> Self {
        let decoders = candidates
            .iter()
            .filter(|engine| engine.stage == Some(Stage::Decode));
        let mut hashes: Vec<u64> = decoders.map(|it| xxh3_64(it.id.as_bytes())).collect();
        let count = (hashes.len() as f64 * RESERVED_FRACTION).round() as usize;
        let hash_max = count
            .checked_sub(1)
            .map(|last| *hashes.select_nth_unstable(last).1);
        Self { hash_max }
    }

    /// Returns whether a decode engine is reserved.
    pub(super) fn contains(&self, id: &Name) -> bool {
        self.hash_max
            .is_some_and(|hash_max| xxh3_64(id.as_bytes()) <= hash_max)
    }
}

/// Returns the engine that all daemons prefer for a prefix. It is in `data_centre` if one is given
/// and has engines, and otherwise anywhere in the fleet.
pub(super) fn affinity_engine<'a>(
    engines: &[&'a Endpoint],
    affinity_key: u64,
    data_centre: Option<&Name>,
) -> Option<&'a Endpoint> {
    let weight = |engine: &Endpoint| xxh3_64_with_seed(engine.id.as_bytes(), affinity_key);
    let heaviest = |data_centre: Option<&Name>| {
        engines
            .iter()
            .filter(|engine| data_centre.is_none_or(|it| engine.data_centre == *it))
            .max_by_key(|engine| weight(engine))
            .copied()
    };
    heaviest(data_centre).or_else(|| heaviest(None))
}
