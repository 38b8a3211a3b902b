use std::io;

use log::LevelFilter;
use ragwortgrade_schema::settings::{Observe, ObserveLogLevel};

use super::{Error, line, recent};

/// Libraries that log every connection at the daemon's own level.
const CHATTY_TARGETS: [&str; 4] = ["tarpc", "ureq", "ureq_proto", "rouille"];

/// Starts logging for the whole process as JSON lines, to a file or to standard error; the newest
/// lines are also kept for operators who watch.
///
/// # Errors
///
/// Fails when the file cannot be opened or the process already has a logger.
pub fn start_logging(settings: &Observe) -> Result<(), Error> {
    let mut dispatch = fern::Dispatch::new()
        .level(level(settings.log_level))
        .format(|out, _, record| out.finish(format_args!("{}", line::render(record))));
    for target in CHATTY_TARGETS {
        dispatch = dispatch.level_for(target, LevelFilter::Warn);
    }
    let dispatch = match &settings.log_file {
        None => dispatch.chain(io::stderr()),
        Some(path) => dispatch.chain(fern::log_file(path).map_err(|cause| Error::LogFile {
            path: path.clone(),
            cause,
        })?),
    };
    let dispatch = dispatch.chain(fern::Output::call(|record| {
        recent().record(&record.args().to_string());
    }));
    dispatch
        .apply()
        .map_err(|_already_set| Error::LoggerInstalled)
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
