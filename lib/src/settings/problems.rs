use std::fmt;
use std::path::{Path, PathBuf};

use super::Problem;

/// All problems of a settings file, displayed one per line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Problems {
    /// The settings file.
    pub path: PathBuf,
    /// Problems in the order of their lines; never empty.
    pub problems: Vec<Problem>,
}

impl Problems {
    pub(crate) fn new(path: &Path, mut problems: Vec<Problem>) -> Self {
        problems.sort();
        Self {
            path: path.to_owned(),
            problems,
        }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = self.path.display();
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            if problem.line == 0 {
                write!(f, "{path}: {}", problem.message)?;
            } else {
                write!(f, "{path}:{}: {}", problem.line, problem.message)?;
            }
        }
        Ok(())
    }
}
