//! Compares policies on shifting workloads in virtual time.

use std::io::Write as _;
use std::sync::Arc;

mod arguments;
mod bound;
mod calendar;
mod call;
mod deployment;
mod engine;
mod failure;
mod faults;
mod generator;
mod job;
mod prefix_cache;
mod report;
mod score;
mod simulation;
mod speeds;
mod strategy;
mod trace;
mod worker;

use arguments::{Arguments, Selection};
use failure::Failure;
use generator::Generator;
use report::Report;
use simulation::Setup;
use speeds::Speeds;
use trace::Trace;

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("shifts: {failure}");
            std::process::ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Failure> {
    let arguments = Arguments::parse()?;
    let mut output = std::io::stdout().lock();
    if arguments.help {
        writeln!(output, "{}", Arguments::HELP)?;
        return Ok(());
    }
    let speeds = match &arguments.engine {
        Some(path) => Speeds::read(path)?,
        None => Speeds::default(),
    };
    let trace = match &arguments.trace {
        Some(path) => Trace::read(path)?,
        None => Generator::new(&arguments.deployment, &speeds, arguments.seed).generate(),
    };
    if let Some(path) = &arguments.write_trace {
        trace.write(path)?;
    }
    let setup = Setup {
        speeds: arguments.faults.adjust(speeds),
        deployment: arguments.deployment,
        faults: arguments.faults,
        trace: Arc::new(trace),
        seed: arguments.seed,
    };
    let reports = match arguments.selection {
        Selection::OnlyRagwortgrade => vec![Report::ragwortgrade(&setup)],
        selection => Report::all(&setup, selection == Selection::Ablation),
    };
    for report in reports {
        if arguments.json {
            writeln!(output, "{}", report.json())?;
        } else {
            writeln!(output, "{}", report.text())?;
        }
    }
    Ok(())
}
