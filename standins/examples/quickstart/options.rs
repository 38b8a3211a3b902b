use std::error::Error;
use std::ffi::OsString;

use lexopt::prelude::Long;
use lexopt::{Parser, ValueExt as _};

const DEFAULT_REQUESTS: usize = 1_500;
const DEFAULT_DAEMONS: usize = 3;
const DEFAULT_ENGINES: usize = 4;

/// Command line options.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Number of requests to send.
    pub(crate) requests: usize,
    /// Number of daemons in each data centre.
    pub(crate) daemons: usize,
    /// Number of engines in each data centre.
    pub(crate) engines: usize,
    /// Seed of the random load.
    pub(crate) seed: u64,
    /// Whether to keep the deployment running until Ctrl-C.
    pub(crate) keep: bool,
}

impl Options {
    /// Parses the arguments.
    pub(crate) fn parse(arguments: impl Iterator<Item = OsString>) -> Result<Self, Box<dyn Error>> {
        let mut options = Self {
            requests: DEFAULT_REQUESTS,
            daemons: DEFAULT_DAEMONS,
            engines: DEFAULT_ENGINES,
            seed: 1,
            keep: false,
        };
        let mut parser = Parser::from_args(arguments);
        while let Some(argument) = parser.next()? {
            match argument {
                Long("requests") => options.requests = parser.value()?.parse()?,
                Long("daemons") => options.daemons = parser.value()?.parse()?,
                Long("engines") => options.engines = parser.value()?.parse()?,
                Long("seed") => options.seed = parser.value()?.parse()?,
                Long("keep") => options.keep = true,
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(options)
    }
}
