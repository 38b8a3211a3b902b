/// One `key = value` pair.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Property {
    /// The key.
    pub key: String,
    /// The value without surrounding white space.
    pub value: String,
    /// Line, counted from 1.
    pub line: usize,
}
