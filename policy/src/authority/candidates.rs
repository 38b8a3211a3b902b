use ragwortgrade_schema::Name;

use crate::rendezvous;

/// Number of daemons of a data centre that try to acquire its lease.
///
/// It is fixed, so that platform calls do not grow with the number of daemons.
pub const CANDIDATE_COUNT: usize = 2;

/// Returns whether `daemon` may try to acquire the lease of `data_centre`, given the daemons
/// believed live there.
#[must_use]
pub fn is_candidate<'a>(
    data_centre: &Name,
    daemon: &Name,
    live: impl IntoIterator<Item = &'a Name>,
) -> bool {
    let key = format!("control/{data_centre}");
    rendezvous::is_among_highest(daemon, &key, live, CANDIDATE_COUNT)
}
