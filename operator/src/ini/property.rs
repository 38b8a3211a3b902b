/// One `key = value` pair.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Property {
    /// Text before the equals sign, without surrounding white space.
    pub key: String,
    /// Text after the equals sign, without surrounding white space.
    pub value: String,
    /// Line, counted from 1.
    pub line: usize,
}
