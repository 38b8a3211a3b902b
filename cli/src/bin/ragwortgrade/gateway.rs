//! The command `ragwortgrade gateway`.

use std::path::PathBuf;
use std::process::ExitCode;

use ragwortgrade_lib::gateway::{Gateway, Settings};
use ragwortgrade_lib::observe;
use ragwortgrade_platform::SETTINGS_VARIABLE;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::{EXIT_FAILURE, EXIT_SETTINGS, Options};

/// Returns the path of the settings file that the platform's environment names.
pub(super) fn settings_path() -> Result<PathBuf, lexopt::Error> {
    std::env::var_os(SETTINGS_VARIABLE)
        .map(PathBuf::from)
        .ok_or_else(|| {
            format!("missing option `--settings FILE` or variable {SETTINGS_VARIABLE}").into()
        })
}

pub(super) fn run(options: &Options) -> ExitCode {
    let settings = match Settings::load(&options.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.is_check {
        println!("{}: no faults", options.settings.display());
        return ExitCode::SUCCESS;
    }
    match serve(options, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ragwortgrade: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Runs the gateway until a signal asks for its planned stop.
fn serve(options: &Options, settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let log = observe::start_stdout_logging(settings.log_level)?;
    let gateway = Gateway::spawn(move || ragwortgrade_platform::options(settings))?;
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        reload(options);
    }
    if !gateway.drain() {
        log::warn!("requests were still open when the time to stop ended");
    }
    log.flush();
    Ok(())
}

fn reload(options: &Options) {
    match Settings::load(&options.settings) {
        Ok(settings) => {
            log::set_max_level(settings.log_level);
            log::info!("settings were read again");
        }
        Err(faults) => log::error!(faults:% = faults; "new settings are faulty; the old ones stay"),
    }
}
