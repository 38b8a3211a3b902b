use std::fmt;
use std::path::{Path, PathBuf};

use super::Fault;

/// Every fault of a settings file, one a line when displayed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Faults {
    /// The settings file.
    pub path: PathBuf,
    /// The faults in the order of their lines; never empty.
    pub faults: Vec<Fault>,
}

impl Faults {
    pub(crate) fn new(path: &Path, mut faults: Vec<Fault>) -> Self {
        faults.sort();
        Self {
            path: path.to_owned(),
            faults,
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = self.path.display();
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            if fault.line == 0 {
                write!(f, "{path}: {}", fault.message)?;
            } else {
                write!(f, "{path}:{}: {}", fault.line, fault.message)?;
            }
        }
        Ok(())
    }
}
