use super::Statement;

/// Statements to be sent to random other daemons.
#[derive(Clone, Debug, PartialEq)]
pub struct Push {
    /// What is told.
    pub statements: Vec<Statement>,
    /// Number of daemons that are told.
    pub recipients: usize,
}
