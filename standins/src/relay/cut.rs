/// The directions of a relay that are cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cut {
    /// Both directions are open.
    #[default]
    None,
    /// What the connecting side sends is held.
    ToTarget,
    /// What the target sends is held.
    FromTarget,
    /// Both directions are held.
    Both,
}
