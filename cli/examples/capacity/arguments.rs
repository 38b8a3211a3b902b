use lexopt::ValueExt as _;
use lexopt::prelude::Long;

/// Fleet sizes to measure, and the duration of a measurement.
#[derive(Debug)]
pub struct Arguments {
    /// Numbers of daemons in the data centre, each measured with the largest number of engines.
    pub daemons: Vec<usize>,
    /// Numbers of engines in the data centre, each measured with the largest number of daemons.
    pub engines: Vec<usize>,
    /// Duration of each measurement in seconds, after the warm-up.
    pub seconds: u64,
}

impl Arguments {
    /// Parses the command line; the default sizes are the target scale and two smaller ones.
    pub fn parse() -> Result<Self, lexopt::Error> {
        let mut arguments = Self {
            daemons: vec![10, 25, 50],
            engines: vec![12, 45, 91],
            seconds: 20,
        };
        let mut parser = lexopt::Parser::from_env();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("daemons") => arguments.daemons = parse_sizes(&mut parser)?,
                Long("engines") => arguments.engines = parse_sizes(&mut parser)?,
                Long("seconds") => arguments.seconds = parser.value()?.parse_with(str::parse)?,
                other => return Err(other.unexpected()),
            }
        }
        Ok(arguments)
    }
}

fn parse_sizes(parser: &mut lexopt::Parser) -> Result<Vec<usize>, lexopt::Error> {
    let value = parser.value()?.string()?;
    value
        .split(',')
        .map(|size| Ok(size.parse().map_err(|_error| "sizes are numbers")?))
        .collect()
}
