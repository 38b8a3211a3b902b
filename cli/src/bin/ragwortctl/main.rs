//! The `ragwortctl` program, with which operators validate, review and apply the configuration and
//! inspect and drain daemons.

mod admin_client;
mod apply;
mod declarations;
mod drain;
mod failure;
mod help;
mod options;
mod output;
mod platform_store;
mod status;
mod timed_retry;
mod watch;

use std::process::ExitCode;

use failure::Failure;
use options::{Command, Options};
use output::Output;

fn main() -> ExitCode {
    let options = match Options::parse() {
        Ok(options) => options,
        Err(error) => {
            eprintln!("ragwortctl: {error}; see `ragwortctl --help`");
            return ExitCode::from(failure::EXIT_USAGE);
        }
    };
    let output = Output {
        is_json: options.is_json,
    };
    match run(&options, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            output.print_failure(&failure);
            ExitCode::from(failure.exit_code)
        }
    }
}

fn run(options: &Options, output: Output) -> Result<(), Failure> {
    match options.command {
        Command::Help => output::print(help::HELP),
        Command::Version => {
            output::print(concat!("ragwortctl ", env!("CARGO_PKG_VERSION"), "\n"));
        }
        Command::Check => declarations::check(options, output)?,
        Command::Render => declarations::render(options, output)?,
        Command::Plan => apply::plan(options, output)?,
        Command::Apply => apply::apply(options, output)?,
        Command::Status => status::status(options, output)?,
        Command::Watch => watch::watch(options, output)?,
        Command::Drain => drain::drain(options, output)?,
    }
    Ok(())
}
