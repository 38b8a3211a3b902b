use ragwortgrade_operator::ini;

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Line, counted from 1; 0 when the fault belongs to no line, as for a missing section.
    pub line: usize,
    /// What is wrong and what is accepted; never contains a key's secret.
    pub message: String,
}

impl Fault {
    pub(crate) fn at(line: usize, message: String) -> Self {
        Self { line, message }
    }

    pub(crate) fn without_line(message: String) -> Self {
        Self { line: 0, message }
    }
}

impl From<ini::Fault> for Fault {
    fn from(fault: ini::Fault) -> Self {
        Self::at(fault.line, fault.message)
    }
}
