use std::time::Duration;

use ragwortgrade_operator::{
    Applier, ApplyOutcome, Difference, Retry as _, Store as _, StoredDocument, parse, parse_header,
};
use ragwortgrade_schema::admin::InForce;
use serde_json::json;

use crate::admin_client::AdminClient;
use crate::declarations::load_configuration;
use crate::failure::{
    EXIT_CONFLICT, EXIT_INCOMPLETE, EXIT_NO_ANSWER, EXIT_OUTCOME_UNKNOWN, Failure,
};
use crate::options::Options;
use crate::output::Output;
use crate::platform_store::PlatformStore;
use crate::timed_retry::TimedRetry;

const APPLY_ID_BYTES: usize = 16;
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Prints the changes that an apply would make.
pub(crate) fn plan(options: &Options, output: Output) -> Result<(), Failure> {
    let desired = load_configuration(options)?;
    let mut retry = TimedRetry::new(options.timeout, output);
    let stored = read_stored(&open_store(options)?, &mut retry)?;
    let header = stored
        .as_ref()
        .and_then(|stored| parse_header(&stored.text));
    let revision = header.map_or(0, |header| header.revision);
    let stored = stored.and_then(|stored| parse(&stored.text).ok());
    let difference = Difference::between(stored.as_ref(), &desired);
    let summary = format!(
        "{} added, {} changed, {} removed; apply with `--base {revision}`\n",
        difference.added.len(),
        difference.changed.len(),
        difference.removed.len()
    );
    let json = json!({
        "base": revision,
        "added": difference.added,
        "changed": difference.changed,
        "removed": difference.removed,
        "diff": difference.text,
    });
    output.print_result(&format!("{}{summary}", difference.text), &json);
    Ok(())
}

/// Writes the declarations and waits until the given daemons report that they are in force.
pub(crate) fn apply(options: &Options, output: Output) -> Result<(), Failure> {
    let desired = load_configuration(options)?;
    let store = open_store(options)?;
    let daemons = open_daemons(options)?;
    let apply_id = new_apply_id()?;
    let retry = TimedRetry::new(options.timeout, output);
    let mut applier = Applier::new(&store, retry, &apply_id).in_force(highest_revision(&daemons));
    if let Some(base) = options.base {
        applier = applier.on_base(base);
    }
    let outcome = applier.apply(&desired)?;
    let (revision, outcome_name) = match outcome {
        ApplyOutcome::Written { revision } => (revision, "written"),
        ApplyOutcome::Unchanged { revision } => (revision, "unchanged"),
    };
    if matches!(outcome, ApplyOutcome::Written { .. }) {
        output.report_progress(&format!("revision {revision} written as {apply_id}"));
        let retry = TimedRetry::new(options.timeout, output);
        for daemon in &daemons {
            wait_in_force(daemon, revision, &apply_id, &retry)?;
        }
    }
    let json = json!({
        "outcome": outcome_name,
        "revision": revision,
        "apply_id": apply_id,
        "in_force_at": options.admins,
    });
    output.print_result(&format!("revision {revision}: {outcome_name}\n"), &json);
    Ok(())
}

fn open_store(options: &Options) -> Result<PlatformStore, Failure> {
    let url = options.platform.as_deref();
    let url = url.ok_or_else(|| Failure::usage("missing option `--platform URL`"))?;
    Ok(PlatformStore::open(url))
}

fn open_daemons(options: &Options) -> Result<Vec<AdminClient>, Failure> {
    if options.admins.is_empty() {
        return Ok(Vec::new());
    }
    AdminClient::open_all(options)
}

fn read_stored(
    store: &PlatformStore,
    retry: &mut TimedRetry,
) -> Result<Option<StoredDocument>, Failure> {
    let mut failures = 0;
    loop {
        match store.read() {
            Ok(stored) => return Ok(stored),
            Err(cause) => {
                failures += 1;
                if !retry.wait(failures, &cause) {
                    return Err(Failure::new(EXIT_NO_ANSWER, "platform_unavailable", cause));
                }
            }
        }
    }
}

/// Returns the highest revision in force at the daemons that answer.
///
/// Daemons that do not answer are skipped, so that a daemon that is down does not prevent an apply.
fn highest_revision(daemons: &[AdminClient]) -> u64 {
    let statuses = daemons.iter().filter_map(|daemon| daemon.status().ok());
    let revisions = statuses.map(|status| status.configuration.revision);
    revisions.max().unwrap_or(0)
}

fn wait_in_force(
    daemon: &AdminClient,
    revision: u64,
    apply_id: &str,
    retry: &TimedRetry,
) -> Result<(), Failure> {
    loop {
        let reason = match daemon.status() {
            Ok(status) if is_in_force(&status.configuration, revision, apply_id)? => return Ok(()),
            Ok(status) => format!(
                "daemon {} is at revision {}",
                status.daemon.id, status.configuration.revision
            ),
            Err(failure) => failure.message,
        };
        if !retry.pause(IN_FORCE_POLL_INTERVAL, &reason) {
            let message = format!("revision {revision} is written, but {reason}");
            return Err(Failure::new(EXIT_INCOMPLETE, "not_in_force", message));
        }
    }
}

/// Returns whether the apply is in force at a daemon; fails if it can no longer come into force.
fn is_in_force(in_force: &InForce, revision: u64, apply_id: &str) -> Result<bool, Failure> {
    if in_force.apply_id == apply_id {
        return Ok(true);
    }
    let rejected = in_force.rejected.as_ref();
    if let Some(rejected) = rejected.filter(|rejected| rejected.apply_id == apply_id) {
        let message = format!("the daemons did not accept it: {}", rejected.reason);
        return Err(Failure::new(EXIT_CONFLICT, "not_accepted", message));
    }
    if in_force.revision == revision {
        let message = format!(
            "revision {revision} by {} is in force instead; the platform came back with older data",
            in_force.author
        );
        return Err(Failure::new(EXIT_CONFLICT, "not_accepted", message));
    }
    if in_force.revision > revision {
        // The later revision either builds on this one, or was written back by a daemon because the
        // platform had older data.
        let message = format!(
            "revision {} by {} followed before revision {revision} was seen in force; \
             `plan` shows what of your change is missing",
            in_force.revision, in_force.author
        );
        return Err(Failure::new(EXIT_OUTCOME_UNKNOWN, "overtaken", message));
    }
    Ok(false)
}

fn new_apply_id() -> Result<String, Failure> {
    let mut bytes = [0; APPLY_ID_BYTES];
    getrandom::fill(&mut bytes)
        .map_err(|error| Failure::new(EXIT_NO_ANSWER, "no_random_numbers", error))?;
    Ok(hex::encode(bytes))
}
