use ragwortgrade_schema::Name;
use xxhash_rust::xxh3::xxh3_64;

/// Daemons of a data centre that campaign for its lease.
///
/// With more, the calls of the platform would grow with the number of daemons.
pub const CANDIDATES: usize = 2;

/// Tells whether `daemon` is among the candidates of `data_centre`, given the daemons believed
/// live there.
///
/// The candidates are those with the highest rendezvous weights, so the loss of one moves the
/// candidacy to one other daemon only.
#[must_use]
pub fn is_candidate<'a>(
    data_centre: &Name,
    daemon: &Name,
    live: impl IntoIterator<Item = &'a Name>,
) -> bool {
    let own = weight(data_centre, daemon);
    let higher = live
        .into_iter()
        .filter(|other| *other != daemon)
        .filter(|other| (weight(data_centre, other), *other) > (own, daemon));
    higher.take(CANDIDATES).count() < CANDIDATES
}

fn weight(data_centre: &Name, daemon: &Name) -> u64 {
    xxh3_64(format!("control/{data_centre}/{daemon}").as_bytes())
}
