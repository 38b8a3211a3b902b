use std::path::PathBuf;

use thiserror::Error;

/// Why the experiment cannot run.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// The command line is wrong.
    #[error("{0}")]
    Arguments(#[from] lexopt::Error),
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The trace is not valid CSV or a field has the wrong form.
    #[error("{}: {source}", path.display())]
    Csv {
        /// The trace.
        path: PathBuf,
        /// What the parser said, with the line.
        source: csv::Error,
    },
    /// A field of the trace is out of bounds.
    #[error("{}: line {line}: {message}", path.display())]
    Row {
        /// The trace.
        path: PathBuf,
        /// Line of the row.
        line: u64,
        /// The field and its bound.
        message: String,
    },
    /// The trace has no rows.
    #[error("{}: the trace has no rows", path.display())]
    Empty {
        /// The trace.
        path: PathBuf,
    },
    /// The engine file is not valid INI.
    #[error("{}: {source}", path.display())]
    Ini {
        /// The file.
        path: PathBuf,
        /// What the parser said, with the line.
        source: ini::ParseError,
    },
    /// The engine file has an unknown key or a value out of bounds.
    #[error("{}: {message}", path.display())]
    Engine {
        /// The file.
        path: PathBuf,
        /// The key and what is wrong with it.
        message: String,
    },
    /// The output cannot be written.
    #[error("output: {0}")]
    Output(#[from] std::io::Error),
}
