/// Directions of a relay that are cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cut {
    /// Neither direction is cut.
    #[default]
    None,
    /// Data from the client to the target is held back.
    ToTarget,
    /// Data from the target to the client is held back.
    FromTarget,
    /// Data is held back in both directions.
    Both,
}
