use std::fmt::Display;

use ragwortgrade_operator::ApplyError;
use serde_json::Value;

pub(crate) const EXIT_UNREADABLE_FILE: u8 = 1;
pub(crate) const EXIT_USAGE: u8 = 2;
pub(crate) const EXIT_PROBLEMS: u8 = 3;
pub(crate) const EXIT_CONFLICT: u8 = 4;
pub(crate) const EXIT_OUTCOME_UNKNOWN: u8 = 5;
pub(crate) const EXIT_NO_ANSWER: u8 = 6;
pub(crate) const EXIT_REFUSED: u8 = 7;
pub(crate) const EXIT_INCOMPLETE: u8 = 8;

/// Failure of a command, with its exit code.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) exit_code: u8,
    /// Stable identifier for scripts.
    pub(crate) code: &'static str,
    pub(crate) message: String,
    /// Structured details for JSON output, such as the list of problems.
    pub(crate) details: Value,
}

impl Failure {
    pub(crate) fn new(exit_code: u8, code: &'static str, message: impl Display) -> Self {
        Self {
            exit_code,
            code,
            message: message.to_string(),
            details: Value::Null,
        }
    }

    pub(crate) fn usage(message: impl Display) -> Self {
        Self::new(EXIT_USAGE, "usage", message)
    }
}

impl From<ApplyError> for Failure {
    fn from(error: ApplyError) -> Self {
        let (exit_code, code) = match &error {
            ApplyError::Conflict { .. } => (EXIT_CONFLICT, "conflict"),
            ApplyError::Unreadable => (EXIT_CONFLICT, "unreadable_document"),
            ApplyError::PlatformBehind { .. } => (EXIT_NO_ANSWER, "platform_behind"),
            ApplyError::NotWritten { .. } => (EXIT_NO_ANSWER, "platform_unavailable"),
            ApplyError::OutcomeUnknown { .. } => (EXIT_OUTCOME_UNKNOWN, "outcome_unknown"),
        };
        let mut failure = Self::new(exit_code, code, &error);
        if let ApplyError::Conflict { difference, .. } = &error {
            failure.message = format!(
                "{error}; from what is held to this file:\n{}",
                difference.text
            );
            failure.details = serde_json::json!({ "diff": difference.text });
        }
        failure
    }
}
