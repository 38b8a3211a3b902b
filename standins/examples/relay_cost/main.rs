//! Measures the cost of relaying in a daemon: processor time per token and per plain call, and peak
//! memory with many open streams.
//!
//! `cargo run --release --example relay_cost -- [--streams 25,50,100] [--tokens 270]` runs one
//! daemon with engine stand-ins. It prints one JSON line for each number of concurrent streams and
//! one for each of two plain services.

mod options;

use std::env;
use std::error::Error;
use std::thread;
use std::time::Instant;

use ragwortgrade_standins::deployment::{Deployment, Plan, Programs};
use ragwortgrade_standins::{Caller, ChatRequest, End, PlainRequest, Usage};

use self::options::Options;

const WORKSPACE: &str = "weavers";
const ENGINES: usize = 4;
const ROUNDS: usize = 3;
const PLAIN_CALLS: usize = 2_000;
const MICROS_PER_SECOND: f64 = 1e6;

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = env::args_os().skip(1).peekable();
    if arguments.next_if(|first| first == "standin").is_some() {
        return Ok(ragwortgrade_standins::run_standin(arguments)?);
    }
    let options = Options::parse(arguments)?;
    let programs = Programs::build()?;
    let directory = tempfile::tempdir()?;
    let plan = Plan {
        directory: directory.path().to_owned(),
        daemon: programs.daemon,
        ragwortctl: programs.ragwortctl,
        standin: programs.standin,
        data_centres: 1,
        daemons: 1,
        engines: ENGINES,
        has_relays: false,
        // Realistic step times keep the streams open concurrently.
        engine_flags: ["--step-us", "25000"].map(str::to_owned).to_vec(),
        drain_timeout_ms: 1_000,
    };
    let deployment = Deployment::spawn(&plan)?;
    for &streams in &options.streams {
        measure_streams(&deployment, streams, options.tokens)?;
    }
    measure_plain_calls(&deployment)
}

/// Runs `streams` concurrent callers and prints the cost of their streams.
fn measure_streams(
    deployment: &Deployment,
    streams: usize,
    tokens: u32,
) -> Result<(), Box<dyn Error>> {
    let daemon = &deployment.data_centres[0].daemons[0];
    let process = daemon
        .process
        .as_ref()
        .ok_or("the daemon is not running")?
        .id();
    let address = daemon.settings.callers;
    let before = Usage::read(process)?;
    let started = Instant::now();
    let mut peak = before;
    let complete: usize = thread::scope(|scope| -> Result<usize, Box<dyn Error>> {
        let callers: Vec<_> = (0..streams)
            .map(|caller| scope.spawn(move || run_rounds(address, caller, tokens)))
            .collect();
        while callers.iter().any(|caller| !caller.is_finished()) {
            peak = peak.max_memory(Usage::read(process)?);
            thread::sleep(std::time::Duration::from_millis(50));
        }
        Ok(callers
            .into_iter()
            .map(|caller| caller.join().unwrap_or_default())
            .sum())
    })?;
    let after = Usage::read(process)?;
    let cpu = after.cpu_seconds - before.cpu_seconds;
    let line = serde_json::json!({
        "streams": streams,
        "requests": streams * ROUNDS,
        "complete": complete,
        "tokens": complete as u64 * u64::from(tokens),
        "cpu_micros_per_token":
            cpu * MICROS_PER_SECOND / (complete.max(1) as f64 * f64::from(tokens)),
        "peak_resident_kib": peak.resident_kib,
        "seconds": started.elapsed().as_secs_f64(),
    });
    println!("{line}");
    Ok(())
}

/// Sends `ROUNDS` requests in turn and returns the number of complete and correct answers.
fn run_rounds(address: std::net::SocketAddr, caller: usize, tokens: u32) -> usize {
    let client = Caller::open();
    let is_complete = |round: &usize| {
        let request =
            ChatRequest::streamed(WORKSPACE, &format!("pattern {caller} {round}"), tokens);
        let answer = client.chat(address, &request, None);
        if answer.end != End::Complete {
            eprintln!("caller {caller}: {:?}", answer.end);
        }
        answer.end == End::Complete && answer.tokens == request.expected()
    };
    (0..ROUNDS).filter(is_complete).count()
}

/// Calls `stock`, and `orders` with an idempotency key, and prints the cost of their calls.
fn measure_plain_calls(deployment: &Deployment) -> Result<(), Box<dyn Error>> {
    let daemon = &deployment.data_centres[0].daemons[0];
    let process = daemon
        .process
        .as_ref()
        .ok_or("the daemon is not running")?
        .id();
    for (service, has_key) in [("stock", false), ("orders", true)] {
        let before = Usage::read(process)?;
        let client = Caller::open();
        let is_complete = |index: &usize| {
            let request = PlainRequest {
                workspace: WORKSPACE.to_owned(),
                service: service.to_owned(),
                path: "/".to_owned(),
                key: has_key.then(|| format!("key-{index}")),
                body: format!("item {index}"),
            };
            client.call(daemon.settings.callers, &request).end == End::Complete
        };
        // Each claim waits for a group commit, which limits a single caller to a few per second.
        let calls = if has_key {
            PLAIN_CALLS / 20
        } else {
            PLAIN_CALLS
        };
        let complete = (0..calls).filter(is_complete).count();
        let after = Usage::read(process)?;
        let cpu = after.cpu_seconds - before.cpu_seconds;
        let line = serde_json::json!({
            "service": service,
            "complete": complete,
            "cpu_micros_per_call": cpu * MICROS_PER_SECOND / complete.max(1) as f64,
        });
        println!("{line}");
    }
    Ok(())
}
