use std::ffi::OsString;

use lexopt::ValueExt as _;
use lexopt::prelude::Long;

/// Command line options.
#[derive(Debug)]
pub struct Options {
    /// Numbers of concurrent streams to measure.
    pub streams: Vec<usize>,
    /// Tokens of each answer.
    pub tokens: u32,
}

impl Options {
    /// Parses the command line. The default of 270 tokens is the mean answer length at the target
    /// scale.
    pub fn parse(arguments: impl Iterator<Item = OsString>) -> Result<Self, lexopt::Error> {
        let mut options = Self {
            streams: vec![25, 50, 100],
            tokens: 270,
        };
        let mut parser = lexopt::Parser::from_args(arguments);
        while let Some(argument) = parser.next()? {
            match argument {
                Long("streams") => options.streams = numbers(&parser.value()?.string()?)?,
                Long("tokens") => options.tokens = parser.value()?.parse()?,
                other => return Err(other.unexpected()),
            }
        }
        Ok(options)
    }
}

fn numbers(list: &str) -> Result<Vec<usize>, lexopt::Error> {
    list.split(',')
        .map(|number| {
            number
                .parse()
                .map_err(|_error| "expected a comma-separated list of numbers".into())
        })
        .collect()
}
