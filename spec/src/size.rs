/// How much of a scenario is explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// A few seconds in a debug build.
    Small,
    /// Minutes in a release build.
    Large,
}
