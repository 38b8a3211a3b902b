use ragwortgrade_operator::ini;

/// A problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Line number from 1; 0 for a problem without a line, such as a missing section.
    pub line: usize,
    /// Message for the operator: what is wrong and what is accepted. Never contains a secret.
    pub message: String,
}

impl Problem {
    pub(crate) fn at(line: usize, message: String) -> Self {
        Self { line, message }
    }

    pub(crate) fn without_line(message: String) -> Self {
        Self { line: 0, message }
    }
}

impl From<ini::Problem> for Problem {
    fn from(problem: ini::Problem) -> Self {
        Self::at(problem.line, problem.message)
    }
}
