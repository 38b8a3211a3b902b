/// Limit on the time that a generation may wait for others before it is refused.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum WaitLimit {
    /// A request that is expected to meet its target may wait for any time, so that the limit is
    /// shorter for a longer prompt.
    #[default]
    WhileTargetIsMet,
    /// The limit does not depend on the time of the prompt's own prefill.
    SameForAllSizes {
        /// Fraction of the route's limit, above 0 and at most 1.
        fraction: f64,
    },
}
