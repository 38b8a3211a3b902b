use std::io::{self, Write as _};

use serde_json::{Value, json};

use crate::failure::Failure;

/// Prints results to standard output and progress to standard error, as text or JSON.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    pub(crate) is_json: bool,
}

impl Output {
    /// Prints a result as JSON if `--json` was given, otherwise as text.
    pub(crate) fn print_result(self, text: &str, json: &Value) {
        if self.is_json {
            print(&format!("{json}\n"));
        } else {
            print(text);
        }
    }

    /// Reports progress on standard error, so that standard output contains only the result.
    pub(crate) fn report_progress(self, text: &str) {
        if self.is_json {
            eprintln!("{}", json!({ "progress": text }));
        } else {
            eprintln!("{text}");
        }
    }

    /// Prints a failure: as JSON to standard output if `--json` was given, otherwise as text to
    /// standard error.
    pub(crate) fn print_failure(self, failure: &Failure) {
        let message = failure.message.trim_end();
        if self.is_json {
            let error = json!({
                "code": failure.code,
                "message": message,
                "details": failure.details,
            });
            print(&format!("{}\n", json!({ "error": error })));
        } else {
            eprintln!("ragwortctl: {message}");
        }
    }
}

/// Prints text to standard output; errors such as a closed pipe are ignored.
pub(crate) fn print(text: &str) {
    let mut out = io::stdout().lock();
    drop(out.write_all(text.as_bytes()).and_then(|()| out.flush()));
}
