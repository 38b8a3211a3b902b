use std::fmt;

/// A syntax problem in an INI text, or a duplicate section or key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub struct Problem {
    /// Line, counted from 1; 0 if the problem belongs to no line.
    pub line: usize,
    /// What is wrong and, where it helps, what is accepted.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            f.write_str(&self.message)
        } else {
            write!(f, "line {}: {}", self.line, self.message)
        }
    }
}
