use std::fmt::Write as _;

use ragwortgrade_schema::admin::Status;
use serde_json::{Value, json};

use crate::admin_client::AdminClient;
use crate::failure::Failure;
use crate::options::Options;
use crate::output::Output;

/// Prints the state of every given daemon; fails at the end if any of them did not answer.
pub(crate) fn status(options: &Options, output: Output) -> Result<(), Failure> {
    let mut text = String::new();
    let mut daemons: Vec<Value> = Vec::new();
    let mut first_failure = None;
    for daemon in AdminClient::open_all(options)? {
        match daemon.status() {
            Ok(status) => {
                text.push_str(&describe(daemon.address(), &status));
                daemons.push(json!({ "address": daemon.address(), "status": status }));
            }
            Err(failure) => {
                output.report_progress(&failure.message);
                daemons.push(json!({ "address": daemon.address(), "error": failure.message }));
                first_failure.get_or_insert(failure);
            }
        }
    }
    output.print_result(&text, &json!({ "daemons": daemons }));
    first_failure.map_or(Ok(()), Err)
}

fn describe(address: &str, status: &Status) -> String {
    let daemon = &status.daemon;
    let in_force = &status.configuration;
    let leaving = status.endpoints.iter().filter(|it| it.leaving).count();
    let state = if daemon.draining {
        "draining"
    } else {
        "serving"
    };
    let mut text = format!(
        "{} at {address}: {state}, incarnation {}, data centre {}, region {}\n",
        daemon.id, daemon.incarnation, daemon.data_centre, daemon.region
    );
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "  configuration: revision {} by {}, apply identity {}",
        in_force.revision, in_force.author, in_force.apply_id
    );
    if let Some(reader) = &in_force.reader {
        let _ = writeln!(text, "  reader of the platform: {reader}");
    }
    if in_force.platform_reachable == Some(false) {
        let _ = writeln!(text, "  platform: not reachable");
    }
    if let Some(rejected) = &in_force.rejected {
        let _ = writeln!(
            text,
            "  rejected: revision {}, apply identity {}: {}",
            rejected.revision, rejected.apply_id, rejected.reason
        );
    }
    let _ = writeln!(
        text,
        "  {} open requests, {} daemons, {} endpoints ({leaving} leaving)",
        status.open_requests,
        status.members.len(),
        status.endpoints.len()
    );
    text
}
