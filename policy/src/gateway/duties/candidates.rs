use std::collections::BTreeSet;

use ragwortgrade_schema::Name;

use crate::rendezvous;

/// Number of daemons that try to acquire the lease and receive the counts of all.
///
/// It is fixed, so that calls to the store do not grow with the fleet. Of four, in different data
/// centres, one is left that has not held the lease when two stop and one is cut off.
pub const CANDIDATES: usize = 4;

/// Key by which daemons are ranked.
const RANK_KEY: &str = "duties";

/// Returns the candidates among the daemons, which are given with their data centres: the one with the
/// highest rank in each data centre, then the highest of the others.
#[must_use]
pub fn candidates<'a>(daemons: impl IntoIterator<Item = (&'a Name, &'a Name)>) -> Vec<Name> {
    let daemons: Vec<(&Name, &Name)> = daemons.into_iter().collect();
    let names = daemons.iter().map(|(name, _)| *name);
    let ranked = rendezvous::highest(RANK_KEY, names, daemons.len());
    let data_centre = |name: &Name| {
        let found = daemons.iter().find(|(other, _)| *other == name);
        found.map(|(_, data_centre)| *data_centre)
    };
    let mut represented = BTreeSet::new();
    let (first, others): (Vec<&Name>, Vec<&Name>) = ranked
        .into_iter()
        .partition(|name| represented.insert(data_centre(name)));
    let chosen = first.into_iter().chain(others).take(CANDIDATES);
    chosen.cloned().collect()
}
