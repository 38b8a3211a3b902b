/// Transmissions of an update per doubling of the number of members.
///
/// Three rounds per doubling reach all members with a probability close to one even when some
/// exchanges fail (SWIM, section 4.1).
const TRANSMISSIONS_PER_DOUBLING: u32 = 3;

/// Returns the number of times that a daemon sends an update in a group of `members`.
pub(crate) fn transmissions_for(members: usize) -> u32 {
    TRANSMISSIONS_PER_DOUBLING * (usize::BITS - members.leading_zeros()).max(1)
}
