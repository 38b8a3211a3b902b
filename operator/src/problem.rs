use std::fmt;

use crate::ini;

/// A problem in one declaration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Line in the text, counted from 1; 0 if the declaration was built in Rust or if the problem
    /// has no line of its own, such as a sum of shares.
    pub line: usize,
    /// The declaration, such as ``service `stock` ``.
    pub declaration: String,
    /// What is wrong, with the value found if there is one.
    pub found: String,
    /// The values that are accepted.
    pub accepted: String,
}

impl Problem {
    pub(crate) fn new(line: usize, declaration: &str, found: String, accepted: &str) -> Self {
        Self {
            line,
            declaration: declaration.to_owned(),
            found,
            accepted: accepted.to_owned(),
        }
    }
}

impl From<ini::Problem> for Problem {
    fn from(problem: ini::Problem) -> Self {
        Self::new(
            problem.line,
            "text",
            problem.message,
            "each section and key once, one declaration a line",
        )
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        write!(
            f,
            "{}: {}; accepted: {}",
            self.declaration, self.found, self.accepted
        )
    }
}
