//! Starts a deployment of three data centres on loopback, sends a mixed load through the daemons
//! and checks the answers and effects.
//!
//! `scripts/quickstart [--requests N] [--daemons N] [--engines N] [--seed N] [--keep]` ends with
//! one JSON line; the exit status is 0 only if nothing was lost, doubled or crossed.

mod load_generator;
mod options;
mod report;

use std::env;
use std::error::Error;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use ragwortgrade_standins::deployment::{Deployment, Plan, Programs};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::flag;

use self::load_generator::LoadGenerator;
use self::options::Options;
use self::report::Report;

const DATA_CENTRES: usize = 3;
const DRAIN_TIMEOUT_MS: u64 = 10_000;
/// Interval at which a kept deployment checks for Ctrl-C.
const INTERRUPT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    let mut arguments = env::args_os().skip(1).peekable();
    if arguments.next_if(|first| first == "standin").is_some() {
        return match ragwortgrade_standins::run_standin(arguments) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&error),
        };
    }
    match run(arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => fail(error.as_ref()),
    }
}

fn fail(error: &dyn Error) -> ExitCode {
    eprintln!("quickstart: {error}");
    ExitCode::FAILURE
}

/// Runs the example and returns whether the checks passed.
fn run(arguments: impl Iterator<Item = std::ffi::OsString>) -> Result<bool, Box<dyn Error>> {
    let options = Options::parse(arguments)?;
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        flag::register(signal, Arc::clone(&interrupted))?;
    }
    let programs = Programs::build()?;
    let mut directory = tempfile::Builder::new()
        .prefix("ragwortgrade-quickstart-")
        .tempdir()?;
    let plan = Plan {
        directory: directory.path().to_owned(),
        daemon: programs.daemon.clone(),
        ragwortctl: programs.ragwortctl.clone(),
        standin: programs.standin.clone(),
        data_centres: DATA_CENTRES,
        daemons: options.daemons,
        engines: options.engines,
        has_relays: false,
        engine_flags: Vec::new(),
        drain_timeout_ms: DRAIN_TIMEOUT_MS,
    };
    directory.disable_cleanup(true);
    eprintln!(
        "starting; settings and logs are in {}",
        directory.path().display()
    );
    let deployment = Deployment::spawn(&plan)?;
    let mut report = Report::default();
    LoadGenerator::open(&deployment, &options, &interrupted).run(&mut report)?;
    println!("{}", serde_json::to_string(&report)?);
    if options.keep {
        print_commands(&deployment, &programs);
        while !interrupted.load(Ordering::Relaxed) {
            thread::sleep(INTERRUPT_CHECK_INTERVAL);
        }
    }
    deployment.stop();
    let is_clean = report.is_clean() && (options.keep || !interrupted.load(Ordering::Relaxed));
    directory.disable_cleanup(!is_clean);
    Ok(is_clean)
}

/// Prints example commands for the running deployment.
fn print_commands(deployment: &Deployment, programs: &Programs) {
    eprintln!("\nThe deployment keeps running until Ctrl-C. Try:\n");
    for address in deployment.caller_addresses().into_iter().take(1) {
        eprintln!(
            "curl -sN http://{address}/v1/chat/completions -H 'X-Workspace: weavers' \\\n  -d \
             '{{\"model\":\"base\",\"stream\":true,\"max_tokens\":8,\"messages\":[{{\"role\":\"user\",\
             \"content\":\"Which stitch?\"}}]}}'"
        );
        eprintln!(
            "curl -s http://{address}/services/orders/new -H 'X-Workspace: weavers' \\\n  -H \
             'Idempotency-Key: chair-1' -d 'one chair'"
        );
        eprintln!("curl -s http://{address}/readyz");
    }
    for daemon in deployment
        .data_centres
        .iter()
        .flat_map(|centre| &centre.daemons)
        .take(1)
    {
        let (admin, program) = (daemon.settings.admin, programs.ragwortctl.display());
        let key = deployment.operator_key_file();
        eprintln!(
            "{program} status --admin {admin} --key-file {}",
            key.display()
        );
    }
    for engine in deployment
        .data_centres
        .iter()
        .flat_map(|centre| &centre.engines)
        .take(1)
    {
        eprintln!(
            "curl -s {}  # orders that the engine received",
            engine.url("/debug/orders")
        );
    }
}
