//! The command `ragwortgrade gateway`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ragwortgrade_lib::gateway::{Gateway, SettingsFile};
use ragwortgrade_lib::observe;
use ragwortgrade_platform::SETTINGS_VARIABLE;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::{EXIT_FAILURE, EXIT_SETTINGS, Options};

/// Poll interval of the settings file, which may change without a signal; operators expect changes
/// to apply within seconds.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Returns the path of the settings file from the environment variable that the platform sets.
pub(super) fn settings_path() -> Result<PathBuf, lexopt::Error> {
    std::env::var_os(SETTINGS_VARIABLE)
        .map(PathBuf::from)
        .ok_or_else(|| {
            format!("missing option `--settings FILE` or variable {SETTINGS_VARIABLE}").into()
        })
}

pub(super) fn run(options: &Options) -> ExitCode {
    let file = match SettingsFile::open(options.settings.clone()) {
        Ok(file) => file,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.check_only {
        println!("{}: no faults", options.settings.display());
        return ExitCode::SUCCESS;
    }
    match serve(file) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ragwortgrade: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Runs the gateway until a signal requests a drain.
fn serve(file: SettingsFile) -> Result<(), Box<dyn std::error::Error>> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let settings = file.settings().clone();
    let log = observe::start_stdout_logging(settings.log_level)?;
    let gateway = Gateway::spawn_with(
        move || ragwortgrade_platform::options(settings),
        || {
            // The drain takes the same path as one that is requested by a signal.
            if let Err(error) = signal_hook::low_level::raise(SIGTERM) {
                log::error!(error:% = error; "SIGTERM for a drain could not be raised");
            }
        },
    )?;
    let file = Arc::new(Mutex::new(file));
    let polled_file = Arc::clone(&file);
    std::thread::Builder::new()
        .name("settings".to_owned())
        .spawn(move || {
            loop {
                std::thread::sleep(SETTINGS_POLL_INTERVAL);
                reload(&polled_file);
            }
        })?;
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        log::info!("reloading settings on SIGHUP");
        reload(&file);
    }
    if !gateway.drain() {
        log::warn!("requests were still in flight at the end of the drain timeout");
    }
    log.flush();
    Ok(())
}

fn reload(file: &Mutex<SettingsFile>) {
    let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
    match file.refresh() {
        Ok(None) => {}
        Ok(Some(change)) => {
            log::set_max_level(change.settings.log_level);
            log::info!(
                log_level:% = change.settings.log_level, needs_start = change.needs_restart;
                "settings changed"
            );
        }
        Err(problems) => {
            log::error!(faults:% = problems; "new settings are invalid; keeping the current ones");
        }
    }
}
