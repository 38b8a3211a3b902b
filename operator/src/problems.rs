use std::fmt;

use crate::Problem;

/// All problems of a set of declarations; displayed one per line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Problems {
    problems: Vec<Problem>,
}

impl Problems {
    pub(crate) fn new(mut problems: Vec<Problem>) -> Self {
        problems.sort();
        Self { problems }
    }

    /// Returns the problems sorted by line; there is at least one.
    #[must_use]
    pub fn as_slice(&self) -> &[Problem] {
        &self.problems
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}
