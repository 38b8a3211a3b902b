//! The `ragwortgrade` program: reads the settings, starts a daemon or a gateway and drains it on a
//! signal.

mod gateway;

use std::path::PathBuf;
use std::process::ExitCode;

use ragwortgrade_lib::{Daemon, observe, settings};
use ragwortgrade_schema::settings::Settings;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

const EXIT_FAILURE: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_SETTINGS: u8 = 3;

const HELP: &str = "\
Serves language models and plain services on a fixed fleet; one process per entry VM.

Usage: ragwortgrade --settings FILE [--check-settings]
       ragwortgrade gateway [--settings FILE] [--check-settings]

Commands:
      gateway            Serves on the users' platform; without `--settings` the settings are
                         read from the file that the platform's environment names

Options:
      --settings FILE    Reads the settings from FILE
      --check-settings   Checks the settings, prints every fault and ends
  -h, --help             Prints this text
  -V, --version          Prints the version

Signals: SIGTERM and SIGINT drain the daemon; it ends when its requests are done. A gateway reads
its settings again on SIGHUP and when the file changes.

Exit codes: 0 done or drained, 1 could not start, 2 wrong command line, 3 faulty settings.
";

struct Options {
    settings: PathBuf,
    check_only: bool,
}

enum Command {
    Run(Options),
    Gateway(Options),
    Print(String),
}

fn main() -> ExitCode {
    match parse_command_line() {
        Ok(Command::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Command::Run(options)) => run(&options),
        Ok(Command::Gateway(options)) => gateway::run(&options),
        Err(error) => {
            eprintln!("ragwortgrade: {error}; see `ragwortgrade --help`");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn parse_command_line() -> Result<Command, lexopt::Error> {
    use lexopt::prelude::{Long, Short, Value};

    let mut settings = None;
    let mut check_only = false;
    let mut is_gateway = false;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Long("check-settings") => check_only = true,
            Long("help") | Short('h') => return Ok(Command::Print(HELP.to_owned())),
            Long("version") | Short('V') => {
                let version = env!("CARGO_PKG_VERSION");
                return Ok(Command::Print(format!("ragwortgrade {version}\n")));
            }
            Value(command) if command == "gateway" && !is_gateway => is_gateway = true,
            other => return Err(other.unexpected()),
        }
    }
    if is_gateway {
        let settings = settings.map_or_else(gateway::settings_path, Ok)?;
        return Ok(Command::Gateway(Options {
            settings,
            check_only,
        }));
    }
    let settings = settings.ok_or("missing option `--settings FILE`")?;
    Ok(Command::Run(Options {
        settings,
        check_only,
    }))
}

fn run(options: &Options) -> ExitCode {
    let settings = match settings::load(&options.settings) {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.check_only {
        println!("{}: no faults", options.settings.display());
        return ExitCode::SUCCESS;
    }
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ragwortgrade: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Runs the daemon until a signal requests a drain.
fn serve(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    observe::start_logging(&settings.observe)?;
    serve_until(settings, || {
        signals.forever().next();
    })
}

/// Starts the daemon, waits until `wait_for_signal` returns and drains the daemon.
fn serve_until(
    settings: Settings,
    wait_for_signal: impl FnOnce(),
) -> Result<(), Box<dyn std::error::Error>> {
    // A drain requested by an operator takes the same path as a signal.
    let daemon = Daemon::spawn(settings, || {
        if let Err(error) = signal_hook::low_level::raise(SIGTERM) {
            log::error!(error:% = error; "SIGTERM for a drain could not be raised");
        }
    })?;
    wait_for_signal();
    if daemon.drain() {
        return Ok(());
    }
    Err("requests were still in flight at the end of the drain timeout".into())
}
