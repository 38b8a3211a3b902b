//! Rendezvous hashing: daemons with the same member list choose the same members for a key, and a
//! change of membership moves only the keys of that member (Thaler and Ravishankar, "Using
//! name-based mappings to increase hit rates", 1998).

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the `count` members with the highest weight for `key`, highest first.
pub fn highest<'a, M: AsRef<str>>(
    key: &str,
    members: impl IntoIterator<Item = &'a M>,
    count: usize,
) -> Vec<&'a M> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let mut weighted: Vec<_> = members
        .into_iter()
        .map(|member| (xxh3_64_with_seed(member.as_ref().as_bytes(), seed), member))
        .collect();
    weighted.sort_by(|left, right| {
        right
            .0
            .cmp(&left.0)
            .then_with(|| left.1.as_ref().cmp(right.1.as_ref()))
    });
    weighted
        .into_iter()
        .take(count)
        .map(|(_, member)| member)
        .collect()
}

/// Returns whether `member` is among the `count` members with the highest weight for `key`.
pub fn is_among_highest<'a, M: AsRef<str> + 'a>(
    member: &str,
    key: &str,
    members: impl IntoIterator<Item = &'a M>,
    count: usize,
) -> bool {
    highest(key, members, count)
        .iter()
        .any(|chosen| chosen.as_ref() == member)
}
