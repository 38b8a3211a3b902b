//! Soak test: runs a deployment under seeded random failures and checks all answers and effects.
//!
//! `cargo run --release -p ragwortgrade-standins --example soak -- --seed N --seconds S` ends with
//! one JSON line; the exit status is 0 only if every count of violations is 0.

mod callers;
mod endpoint_logs;
mod failures;
mod observations;
mod options;
mod recovery;
mod report;
mod slow_request_log;
mod target;

use std::env;
use std::error::Error;
use std::ffi::OsString;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ragwortgrade_standins::deployment::{Deployment, Plan, Programs};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::flag;

use self::callers::{CRASH_MARKER, Callers};
use self::failures::Injector;
use self::observations::Observations;
use self::options::Options;
use self::report::Report;

const DATA_CENTRES: usize = 3;
const DRAIN_TIMEOUT_MS: u64 = 15_000;
/// Interval at which the injector runs.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

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
    eprintln!("soak: {error}");
    ExitCode::FAILURE
}

/// Runs the soak and returns whether it found no violation.
fn run(arguments: impl Iterator<Item = OsString>) -> Result<bool, Box<dyn Error>> {
    let options = Options::parse(arguments)?;
    let stopping = Arc::new(AtomicBool::new(false));
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        flag::register(signal, Arc::clone(&interrupted))?;
    }
    let programs = Programs::build()?;
    let mut directory = tempfile::Builder::new()
        .prefix("ragwortgrade-soak-")
        .tempdir()?;
    directory.disable_cleanup(true);
    eprintln!(
        "starting; settings and logs are in {}",
        directory.path().display()
    );
    let mut deployment = Deployment::spawn(&plan(&options, &programs, directory.path()))?;
    let observations = Observations::default();
    let callers = Callers::open(&deployment, &options, &observations, &stopping);
    callers.wait_for_first_answers()?;
    let mut injector = Injector::open(&options, &observations, directory.path())?;
    thread::scope(|scope| {
        callers.spawn(scope);
        let until = Instant::now() + options.duration;
        while Instant::now() < until && !interrupted.load(Ordering::Relaxed) {
            injector.tick(&mut deployment);
            thread::sleep(TICK_INTERVAL);
        }
        injector.recover_all(&mut deployment);
        stopping.store(true, Ordering::Relaxed);
        // Open requests may still crash engines, which have to be restarted to answer the others.
        while observations.has_open_requests() && !interrupted.load(Ordering::Relaxed) {
            injector.recover_due(&mut deployment);
            thread::sleep(TICK_INTERVAL);
        }
    });
    injector.recover_all(&mut deployment);
    injector.check_configuration(&deployment);
    let report = Report::build(&options, &observations, &deployment, &injector.summary());
    deployment.stop();
    let is_clean = report.is_clean() && !interrupted.load(Ordering::Relaxed);
    directory.disable_cleanup(!is_clean);
    println!("{}", serde_json::to_string(&report)?);
    Ok(is_clean)
}

fn plan(options: &Options, programs: &Programs, directory: &std::path::Path) -> Plan {
    let engine_flags = [
        "--crash-marker",
        CRASH_MARKER,
        "--step-us",
        "5000",
        "--role-change-ms",
        "1500",
        "--prefill-tokens-per-second",
        "200000",
        "--sequences-max",
        "32",
        "--kv-tokens-max",
        "131072",
    ];
    Plan {
        directory: directory.to_owned(),
        daemon: programs.daemon.clone(),
        ragwortctl: programs.ragwortctl.clone(),
        standin: programs.standin.clone(),
        data_centres: DATA_CENTRES,
        daemons: options.daemons,
        engines: options.engines,
        has_relays: true,
        engine_flags: engine_flags.map(str::to_owned).to_vec(),
        drain_timeout_ms: DRAIN_TIMEOUT_MS,
    }
}
