//! Plays fleets of several sizes whose daemons place long prompts on engines with few slots, and
//! plots the time to the first event and the imbalance of the engines over time.

use std::io::Write as _;
use std::path::PathBuf;
use std::time::Duration;

use lexopt::ValueExt as _;

#[path = "../../tests/gateway_support/mod.rs"]
mod gateway_support;
mod plot;
#[path = "../../tests/slot_fleet/mod.rs"]
mod slot_fleet;

use plot::Series;
use slot_fleet::{Outcome, Setup, play};

/// Daemons and decode engines of the fleets.
const FLEETS: [(usize, usize); 4] = [(9, 5), (81, 45), (295, 163), (1_000, 550)];
const PLAY_TIME: Duration = Duration::from_secs(6);
/// Time from which a wait for a slot counts.
const WAIT_MAX: Duration = Duration::from_millis(100);
/// Interval of the points of a plot, in ms.
const POINT_INTERVAL_MS: u64 = 250;

const HELP: &str = "\
herd [--plots DIR] [--used-slots FRACTION] [--daemons-max N]";

/// Options of the command line.
#[derive(Debug)]
struct Arguments {
    /// Directory for the plots; none are written without it.
    plots: Option<PathBuf>,
    /// Fraction of the slots that the offered load uses.
    used_slots: f64,
    /// Largest fleet that is played.
    daemons_max: usize,
    help: bool,
}

/// Error that stops the experiment.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// The command line is invalid.
    #[error("{0}")]
    Arguments(#[from] lexopt::Error),
    /// The output cannot be written.
    #[error("output: {0}")]
    Output(#[from] std::io::Error),
    /// A plot cannot be written.
    #[error("plot: {0}")]
    Plot(#[from] plot::Error),
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("herd: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Error> {
    let arguments = parse()?;
    let mut output = std::io::stdout().lock();
    if arguments.help {
        writeln!(output, "{HELP}")?;
        return Ok(());
    }
    for chooses_decoder_anew in [false, true] {
        let (mut first_events, mut imbalances) = (Vec::new(), Vec::new());
        let fleets = FLEETS.iter();
        for (daemons, decoders) in fleets.filter(|fleet| fleet.0 <= arguments.daemons_max) {
            let outcome = play(&Setup {
                daemons: *daemons,
                decoders: *decoders,
                data_centres: if *daemons < 20 { 3 } else { 5 },
                used_slots: arguments.used_slots,
                chooses_decoder_anew,
                time: PLAY_TIME,
            });
            let mut times: Vec<f64> = outcome.answers.iter().map(first_event_ms).collect();
            times.sort_by(f64::total_cmp);
            writeln!(
                output,
                "daemons {daemons}, decode engine chosen anew {chooses_decoder_anew}: answers {}, \
                 first event p50 {:.0} ms, p99 {:.0} ms, waiting for a slot {:.3}, imbalance {:.2}",
                times.len(),
                quantile(&times, 0.5),
                quantile(&times, 0.99),
                outcome.waiting_fraction(WAIT_MAX),
                mean_imbalance(&outcome),
            )?;
            let label = format!("{daemons} daemons");
            first_events.push(first_event_series(label.clone(), &outcome));
            imbalances.push(imbalance_series(label, &outcome));
        }
        if let Some(directory) = &arguments.plots {
            let suffix = if chooses_decoder_anew {
                "anew"
            } else {
                "before"
            };
            let path = directory.join(format!("herd-first-event-{suffix}.svg"));
            plot::draw(&path, "first event, 99th percentile, ms", &first_events)?;
            let path = directory.join(format!("herd-imbalance-{suffix}.svg"));
            plot::draw(&path, "busiest decode engine / mean", &imbalances)?;
        }
    }
    Ok(())
}

fn parse() -> Result<Arguments, Error> {
    use lexopt::Arg::Long;
    let mut arguments = Arguments {
        plots: None,
        used_slots: 0.5,
        daemons_max: usize::MAX,
        help: false,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("plots") => arguments.plots = Some(parser.value()?.into()),
            Long("used-slots") => arguments.used_slots = parser.value()?.parse()?,
            Long("daemons-max") => arguments.daemons_max = parser.value()?.parse()?,
            Long("help") => arguments.help = true,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(arguments)
}

fn first_event_ms(answer: &slot_fleet::Answer) -> f64 {
    answer.first_event.as_secs_f64() * 1e3
}

/// Returns a quantile of sorted values; 0 if there are none.
fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let index = (sorted.len() as f64 * fraction) as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(index.min(last)).copied().unwrap_or_default()
}

fn mean_imbalance(outcome: &Outcome) -> f64 {
    let values = outcome.imbalance.iter().map(|(_, value)| value);
    values.sum::<f64>() / outcome.imbalance.len() as f64
}

/// Returns the 99th percentile of the first events of each interval of arrivals.
fn first_event_series(label: String, outcome: &Outcome) -> Series {
    let answers = outcome.answers.iter();
    let values = answers.map(|answer| (answer.arrived_at, first_event_ms(answer)));
    series(label, values, |values| quantile(values, 0.99))
}

/// Returns the mean imbalance of each interval.
fn imbalance_series(label: String, outcome: &Outcome) -> Series {
    let values = outcome.imbalance.iter().copied();
    series(label, values, |values| {
        values.iter().sum::<f64>() / values.len() as f64
    })
}

/// Combines the values of each interval, which are passed in sorted.
fn series(
    label: String,
    values: impl Iterator<Item = (ragwortgrade_policy::Instant, f64)>,
    combine: impl Fn(&[f64]) -> f64,
) -> Series {
    let mut intervals: std::collections::BTreeMap<u64, Vec<f64>> =
        std::collections::BTreeMap::new();
    for (at, value) in values {
        let millis = at
            .since(ragwortgrade_policy::Instant::default())
            .as_millis() as u64;
        let interval = intervals.entry(millis / POINT_INTERVAL_MS).or_default();
        interval.push(value);
    }
    let points = intervals.into_iter().map(|(interval, mut values)| {
        values.sort_by(f64::total_cmp);
        let seconds = (interval * POINT_INTERVAL_MS) as f64 / 1e3;
        (seconds, combine(&values))
    });
    Series {
        label,
        points: points.collect(),
    }
}
