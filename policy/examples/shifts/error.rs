use std::path::PathBuf;

use thiserror::Error;

/// Error that stops the experiment.
#[derive(Debug, Error)]
pub(crate) enum Error {
    /// The command line is invalid.
    #[error("{0}")]
    Arguments(#[from] lexopt::Error),
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The trace is not valid CSV or a field has an invalid format.
    #[error("{}: {source}", path.display())]
    Csv {
        /// Path of the trace.
        path: PathBuf,
        /// Error of the parser, with the line.
        source: csv::Error,
    },
    /// A field of the trace is out of bounds.
    #[error("{}: line {line}: {message}", path.display())]
    Row {
        /// Path of the trace.
        path: PathBuf,
        /// Line of the row.
        line: u64,
        /// Name of the field and its bound.
        message: String,
    },
    /// The trace has no rows.
    #[error("{}: the trace has no rows", path.display())]
    Empty {
        /// Path of the trace.
        path: PathBuf,
    },
    /// The engine file is not valid INI.
    #[error("{}: {source}", path.display())]
    Ini {
        /// Path of the file.
        path: PathBuf,
        /// Error of the parser, with the line.
        source: ini::ParseError,
    },
    /// The engine file has an unknown key or a value out of bounds.
    #[error("{}: {message}", path.display())]
    Engine {
        /// Path of the file.
        path: PathBuf,
        /// Name of the key and the problem with it.
        message: String,
    },
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] std::io::Error),
}
