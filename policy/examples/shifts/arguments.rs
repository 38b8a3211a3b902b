use std::path::PathBuf;

use lexopt::ValueExt as _;

use crate::deployment::Deployment;
use crate::error::Error;
use crate::faults::Faults;

/// Options of the command line.
#[derive(Debug)]
pub(crate) struct Arguments {
    pub(crate) deployment: Deployment,
    /// Seed of the synthetic trace and of all random choices of the simulation.
    pub(crate) seed: u64,
    /// CSV trace that replaces the synthetic one.
    pub(crate) trace: Option<PathBuf>,
    /// INI file with the parameters of the simulated engines.
    pub(crate) engine: Option<PathBuf>,
    /// Print one JSON object per line instead of text.
    pub(crate) json: bool,
    pub(crate) faults: Faults,
    pub(crate) selection: Selection,
    /// CSV file to which the trace is written before the run.
    pub(crate) write_trace: Option<PathBuf>,
    /// Print the help text and exit.
    pub(crate) help: bool,
}

/// Policies to simulate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Selection {
    /// The policy under test, the baselines and the upper bound.
    Comparison,
    /// In addition, the router with the best fixed roles: separates the effect of the router from
    /// that of the planner.
    Ablation,
    /// Only the policy under test.
    OnlyRagwortgrade,
}

impl Arguments {
    pub(crate) const HELP: &str = "\
shifts --deployment workshop|apricot --seed N [--trace FILE.csv] [--json] [--engine FILE.ini]
       [--crash] [--lag-ms N] [--event-loss PART] [--cut] [--withdraw]
       [--ablation] [--only ragwortgrade] [--write-trace FILE.csv]";

    pub(crate) fn parse() -> Result<Self, Error> {
        use lexopt::Arg::Long;
        let mut arguments = Self {
            deployment: Deployment::workshop(),
            seed: 1,
            trace: None,
            engine: None,
            json: false,
            faults: Faults::default(),
            selection: Selection::Comparison,
            write_trace: None,
            help: false,
        };
        let mut parser = lexopt::Parser::from_env();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("deployment") => {
                    arguments.deployment = Deployment::named(&parser.value()?.string()?)?;
                }
                Long("seed") => arguments.seed = parser.value()?.parse()?,
                Long("trace") => arguments.trace = Some(parser.value()?.into()),
                Long("engine") => arguments.engine = Some(parser.value()?.into()),
                Long("write-trace") => arguments.write_trace = Some(parser.value()?.into()),
                Long("json") => arguments.json = true,
                Long("crash") => arguments.faults.crash = true,
                Long("cut") => arguments.faults.cut = true,
                Long("withdraw") => arguments.faults.withdraw = true,
                Long("lag-ms") => {
                    let lag: u32 = parser.value()?.parse()?;
                    arguments.faults.lag_ms = Some(f64::from(lag));
                }
                Long("event-loss") => {
                    let fraction: f64 = parser.value()?.parse()?;
                    if !(0.0..=1.0).contains(&fraction) {
                        return Err(lexopt::Error::from("--event-loss: not between 0 and 1").into());
                    }
                    arguments.faults.event_loss = Some(fraction);
                }
                Long("ablation") => arguments.selection = Selection::Ablation,
                Long("only") => {
                    let only = parser.value()?.string()?;
                    if only != "ragwortgrade" {
                        return Err(lexopt::Error::from(
                            "--only: the only policy to select is `ragwortgrade`",
                        )
                        .into());
                    }
                    arguments.selection = Selection::OnlyRagwortgrade;
                }
                Long("help") => arguments.help = true,
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(arguments)
    }
}
