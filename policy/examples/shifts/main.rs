//! Simulates a fleet in virtual time and compares routing and planning policies on workloads whose
//! mix of prompt lengths and output lengths changes within minutes.

use std::io::Write as _;
use std::sync::Arc;

mod arguments;
mod bound;
mod call;
mod deployment;
mod engine;
mod error;
mod event_queue;
mod faults;
mod generator;
mod job;
mod parameters;
mod prefix_cache;
mod report;
mod score;
mod simulation;
mod strategy;
mod trace;
mod worker;

use arguments::{Arguments, Selection};
use error::Error;
use generator::Generator;
use parameters::Parameters;
use report::Report;
use simulation::Setup;
use trace::Trace;

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("shifts: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Error> {
    let arguments = Arguments::parse()?;
    let mut output = std::io::stdout().lock();
    if arguments.help {
        writeln!(output, "{}", Arguments::HELP)?;
        return Ok(());
    }
    let parameters = match &arguments.engine {
        Some(path) => Parameters::read(path)?,
        None => Parameters::default(),
    };
    let trace = match &arguments.trace {
        Some(path) => Trace::read(path)?,
        None => Generator::new(&arguments.deployment, &parameters, arguments.seed).generate(),
    };
    if let Some(path) = &arguments.write_trace {
        trace.write(path)?;
    }
    let setup = Setup {
        parameters: arguments.faults.apply(parameters),
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
