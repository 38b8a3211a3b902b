use super::Statement;

/// Short form of the set of statements that a daemon holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// Number of statements.
    pub count: u32,
    /// Sum of their IDs, modulo 2^64.
    pub sum: u64,
}

impl Digest {
    /// Returns the digest of these statements.
    #[must_use]
    pub fn new(held: &[Statement]) -> Self {
        let sum = held.iter().map(Statement::id);
        Self {
            count: held.len() as u32,
            sum: sum.fold(0, u64::wrapping_add),
        }
    }
}
