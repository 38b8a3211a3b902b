use std::fmt::Write as _;
use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::admin_client::AdminClient;
use crate::failure::{EXIT_NO_ANSWER, Failure};
use crate::options::Options;
use crate::output::{Output, print};
use crate::timed_retry::TimedRetry;

const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Prints a daemon's log lines as they appear; with `--once`, only those available now.
pub(crate) fn watch(options: &Options, output: Output) -> Result<(), Failure> {
    let daemon = AdminClient::open_one(options)?;
    let mut after = options.after;
    let mut retry = TimedRetry::new(options.timeout, output);
    loop {
        match daemon.watch(after) {
            Ok(lines) => {
                after = print_lines(&lines, after, output);
                retry = TimedRetry::new(options.timeout, output);
            }
            Err(failure) if failure.exit_code != EXIT_NO_ANSWER || options.is_once => {
                return Err(failure);
            }
            Err(failure) => {
                if !retry.pause(POLL_INTERVAL, &failure.message) {
                    return Err(failure);
                }
            }
        }
        if options.is_once {
            return Ok(());
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Prints log lines and returns the sequence number of the last one.
fn print_lines(lines: &str, after: u64, output: Output) -> u64 {
    let mut last = after;
    for line in lines.lines() {
        let Ok(fields) = serde_json::from_str::<Value>(line) else {
            continue;
        };
        last = fields["sequence"].as_u64().unwrap_or(last);
        if output.is_json {
            print(&format!("{line}\n"));
        } else {
            print(&format!("{}\n", format_line(&fields)));
        }
    }
    last
}

/// Formats a log line as time, level, message and the remaining fields.
fn format_line(fields: &Value) -> String {
    let text = |key: &str| fields[key].as_str().unwrap_or_default();
    let time = fields["time_ms"].as_u64().unwrap_or_default();
    let mut line = format!("{time} {:5} {}", text("level"), text("message"));
    for (key, value) in fields.as_object().into_iter().flatten() {
        let is_excluded = ["sequence", "time_ms", "level", "message", "target"].contains(&&**key);
        if !is_excluded {
            // Writing to a string cannot fail.
            let _ = write!(line, " {key}={value}");
        }
    }
    line
}
