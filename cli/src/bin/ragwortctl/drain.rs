use std::time::Duration;

use ragwortgrade_schema::admin::DrainRequest;
use serde_json::json;

use crate::admin_client::{AdminClient, NOT_LISTENING};
use crate::failure::{EXIT_INCOMPLETE, EXIT_NO_ANSWER, Failure};
use crate::options::Options;
use crate::output::Output;
use crate::timed_retry::TimedRetry;

const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Drains a daemon and waits until its process has exited.
pub(crate) fn drain(options: &Options, output: Output) -> Result<(), Failure> {
    let daemon = AdminClient::open_one(options)?;
    let target = daemon.status()?.daemon;
    let request = DrainRequest {
        daemon: target.id.clone(),
        incarnation: target.incarnation,
    };
    daemon.drain(&request)?;
    wait_for_exit(&daemon, &request, &TimedRetry::new(options.timeout, output))?;
    let text = format!("{} is drained\n", target.id);
    output.print_result(
        &text,
        &json!({ "drained": target.id, "incarnation": target.incarnation }),
    );
    Ok(())
}

fn wait_for_exit(
    daemon: &AdminClient,
    request: &DrainRequest,
    retry: &TimedRetry,
) -> Result<(), Failure> {
    loop {
        let reason = match daemon.status() {
            Ok(status) if status.daemon.incarnation != request.incarnation => return Ok(()),
            Ok(status) => format!(
                "{} drains, {} open requests",
                request.daemon, status.open_requests
            ),
            Err(failure) if failure.code == NOT_LISTENING => return Ok(()),
            // The cause may be the network, so the process may still be running.
            Err(failure) if failure.exit_code == EXIT_NO_ANSWER => failure.message,
            Err(failure) => return Err(failure),
        };
        if !retry.pause(POLL_INTERVAL, &reason) {
            return Err(Failure::new(EXIT_INCOMPLETE, "not_drained", reason));
        }
    }
}
