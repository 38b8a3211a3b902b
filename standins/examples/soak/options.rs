use std::error::Error;
use std::ffi::OsString;
use std::time::Duration;

use lexopt::Parser;
use lexopt::ValueExt as _;
use lexopt::prelude::Long;

use crate::target::Kind;

const DEFAULT_SECONDS: u64 = 60;
const DEFAULT_DAEMONS: usize = 2;
const DEFAULT_ENGINES: usize = 3;
const DEFAULT_CALLERS: usize = 16;

/// Command line options.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Seed of the load and the failures.
    pub(crate) seed: u64,
    /// Time for which failures are injected.
    pub(crate) duration: Duration,
    /// Number of daemons in each data centre.
    pub(crate) daemons: usize,
    /// Number of engines in each data centre.
    pub(crate) engines: usize,
    /// Number of concurrent callers.
    pub(crate) callers: usize,
    /// Kinds of failures to inject.
    pub(crate) kinds: Vec<Kind>,
}

impl Options {
    /// Parses the arguments; `--only kind,kind` restricts the kinds of failures.
    pub(crate) fn parse(arguments: impl Iterator<Item = OsString>) -> Result<Self, Box<dyn Error>> {
        let mut options = Self {
            seed: 1,
            duration: Duration::from_secs(DEFAULT_SECONDS),
            daemons: DEFAULT_DAEMONS,
            engines: DEFAULT_ENGINES,
            callers: DEFAULT_CALLERS,
            kinds: Kind::ALL.to_vec(),
        };
        let mut parser = Parser::from_args(arguments);
        while let Some(argument) = parser.next()? {
            match argument {
                Long("seed") => options.seed = parser.value()?.parse()?,
                Long("seconds") => options.duration = Duration::from_secs(parser.value()?.parse()?),
                Long("daemons") => options.daemons = parser.value()?.parse()?,
                Long("engines") => options.engines = parser.value()?.parse()?,
                Long("callers") => options.callers = parser.value()?.parse()?,
                Long("only") => options.kinds = parse_kinds(&parser.value()?.string()?)?,
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(options)
    }
}

fn parse_kinds(text: &str) -> Result<Vec<Kind>, String> {
    let words = text.split(',').filter(|word| !word.is_empty());
    words
        .map(|word| {
            let mut all = Kind::ALL.into_iter();
            all.find(|kind| kind.name() == word)
                .ok_or_else(|| format!("unknown kind of failure {word}"))
        })
        .collect()
}
