use std::io;

use log::LevelFilter;
use ragwortgrade_schema::settings::{Observe, ObserveLogLevel};

use super::{Error, line, log_buffer};

/// Libraries that log every connection at the daemon's log level; they are limited to warnings.
const VERBOSE_TARGETS: [&str; 5] = ["hyper", "tarpc", "ureq", "ureq_proto", "rouille"];

/// Installs the process's logger, which writes JSON lines to a file or to standard error. The
/// newest lines are also buffered for the operators' interface.
///
/// # Errors
///
/// Fails when the file cannot be opened or the process already has a logger.
pub fn start_logging(settings: &Observe) -> Result<(), Error> {
    let dispatch = dispatch(level(settings.log_level));
    let dispatch = match &settings.log_file {
        None => dispatch.chain(io::stderr()),
        Some(path) => dispatch.chain(fern::log_file(path).map_err(|cause| Error::LogFile {
            path: path.clone(),
            cause,
        })?),
    };
    let dispatch = dispatch.chain(fern::Output::call(|record| {
        log_buffer().record(&record.args().to_string());
    }));
    dispatch
        .apply()
        .map_err(|_already_set| Error::LoggerInstalled)
}

/// Returns a logger that renders JSON lines and has no output yet.
pub(super) fn dispatch(level: LevelFilter) -> fern::Dispatch {
    let dispatch = fern::Dispatch::new()
        .level(level)
        .format(|out, _, record| out.finish(format_args!("{}", line::render(record))));
    VERBOSE_TARGETS.iter().fold(dispatch, |dispatch, target| {
        dispatch.level_for(*target, LevelFilter::Warn)
    })
}

fn level(level: ObserveLogLevel) -> LevelFilter {
    match level {
        ObserveLogLevel::Error => LevelFilter::Error,
        ObserveLogLevel::Warn => LevelFilter::Warn,
        ObserveLogLevel::Info => LevelFilter::Info,
        ObserveLogLevel::Debug => LevelFilter::Debug,
        ObserveLogLevel::Trace => LevelFilter::Trace,
    }
}
