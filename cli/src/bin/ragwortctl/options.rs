use std::path::PathBuf;
use std::time::Duration;

use lexopt::prelude::{Long, Short, Value, ValueExt as _};

const TIMEOUT_DEFAULT: Duration = Duration::from_mins(1);
/// Must exceed the daemons' default drain timeout of 10 minutes.
const TIMEOUT_DRAIN: Duration = Duration::from_mins(11);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    Help,
    Version,
    Check,
    Render,
    Plan,
    Apply,
    Status,
    Watch,
    Drain,
}

/// Parsed command line.
#[derive(Debug)]
pub(crate) struct Options {
    pub(crate) command: Command,
    pub(crate) files: Vec<PathBuf>,
    pub(crate) platform: Option<String>,
    pub(crate) admins: Vec<String>,
    pub(crate) key_file: Option<PathBuf>,
    pub(crate) base: Option<u64>,
    pub(crate) after: u64,
    pub(crate) is_once: bool,
    pub(crate) is_json: bool,
    pub(crate) timeout: Duration,
}

impl Options {
    pub(crate) fn parse() -> Result<Self, lexopt::Error> {
        let mut command = None;
        let mut timeout = None;
        let mut options = Self::new(Command::Help);
        let mut parser = lexopt::Parser::from_env();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("platform") => options.platform = Some(parser.value()?.string()?),
                Long("admin") => options.admins.push(parser.value()?.string()?),
                Long("key-file") => options.key_file = Some(parser.value()?.into()),
                Long("base") => options.base = Some(parser.value()?.parse()?),
                Long("after") => options.after = parser.value()?.parse()?,
                Long("timeout") => timeout = Some(Duration::from_secs(parser.value()?.parse()?)),
                Long("once") => options.is_once = true,
                Long("json") => options.is_json = true,
                Long("help") | Short('h') => return Ok(Self::new(Command::Help)),
                Long("version") | Short('V') => return Ok(Self::new(Command::Version)),
                Value(word) if command.is_none() => command = Some(read_command(&word.string()?)?),
                Value(file) => options.files.push(file.into()),
                other => return Err(other.unexpected()),
            }
        }
        options.command = command.ok_or("missing command")?;
        options.timeout = timeout.unwrap_or(match options.command {
            Command::Drain => TIMEOUT_DRAIN,
            _ => TIMEOUT_DEFAULT,
        });
        options.check_files()?;
        Ok(options)
    }

    fn new(command: Command) -> Self {
        Self {
            command,
            files: Vec::new(),
            platform: None,
            admins: Vec::new(),
            key_file: None,
            base: None,
            after: 0,
            is_once: false,
            is_json: false,
            timeout: TIMEOUT_DEFAULT,
        }
    }

    fn check_files(&self) -> Result<(), lexopt::Error> {
        let count = self.files.len();
        match self.command {
            Command::Check if count == 0 => Err("missing FILE".into()),
            Command::Render | Command::Plan | Command::Apply if count != 1 => {
                Err("expected one FILE".into())
            }
            Command::Status | Command::Watch | Command::Drain if count != 0 => {
                Err("this command takes no FILE".into())
            }
            _ => Ok(()),
        }
    }
}

fn read_command(word: &str) -> Result<Command, lexopt::Error> {
    match word {
        "check" => Ok(Command::Check),
        "render" => Ok(Command::Render),
        "plan" => Ok(Command::Plan),
        "apply" => Ok(Command::Apply),
        "status" => Ok(Command::Status),
        "watch" => Ok(Command::Watch),
        "drain" => Ok(Command::Drain),
        _ => Err(format!("unknown command `{word}`").into()),
    }
}
