use std::collections::BTreeMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

use crate::Instant;
use crate::authority::Timestamp;

/// Time after which a reading of another daemon's clock, or a candidate's answer, no longer counts.
const SAMPLE_AGE_MAX: Duration = Duration::from_secs(8);

/// Time that the fleet agrees on: the median of the daemons' system clocks.
///
/// A window begins in true time, while the clock of each daemon may be off by more than a window's
/// length, or jump. A candidate gets a reading of all clocks once a second and answers with their
/// median; the other daemons keep the difference to their monotonic clock. Transfer times of some
/// milliseconds are neglected.
#[derive(Clone, Debug)]
pub struct FleetClock {
    /// Unix time minus monotonic time in ms, until candidates have answered.
    initial_ms: i64,
    /// Last difference that candidates gave.
    agreed_ms: Option<i64>,
    /// Readings of the daemons' clocks, as differences to the own monotonic clock.
    readings: BTreeMap<Name, (i64, Instant)>,
    answers: BTreeMap<Name, Answer>,
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    difference_ms: i64,
    /// Number of clocks of which the candidate gave the median.
    clocks: usize,
    at: Instant,
}

impl FleetClock {
    /// Starts with the daemon's own system clock.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            initial_ms: difference_ms(now.unix_ms, now.monotonic),
            agreed_ms: None,
            readings: BTreeMap::new(),
            answers: BTreeMap::new(),
        }
    }

    /// Records a reading of a daemon's system clock, also of the own one.
    pub fn observe_clock(&mut self, daemon: &Name, unix_ms: u64, now: Instant) {
        let difference_ms = difference_ms(unix_ms, now);
        self.readings.insert(daemon.clone(), (difference_ms, now));
        self.readings
            .retain(|_, (_, at)| now.since(*at) < SAMPLE_AGE_MAX);
    }

    /// Returns the median of the readings as Unix time in ms, and their number.
    #[must_use]
    pub fn median(&self, now: Instant) -> Option<(u64, usize)> {
        let recent = self.readings.values();
        let recent = recent.filter(|(_, at)| now.since(*at) < SAMPLE_AGE_MAX);
        let differences: Vec<i64> = recent.map(|(difference, _)| *difference).collect();
        let count = differences.len();
        let median = median(differences)?;
        Some((unix_ms(median, now), count))
    }

    /// Records a candidate's answer: the median of `clocks` clocks at `now`.
    pub fn observe_median(&mut self, candidate: &Name, unix_ms: u64, clocks: usize, now: Instant) {
        let answer = Answer {
            difference_ms: difference_ms(unix_ms, now),
            clocks,
            at: now,
        };
        self.answers.insert(candidate.clone(), answer);
        self.answers
            .retain(|_, answer| now.since(answer.at) < SAMPLE_AGE_MAX);
        let clocks_max = self.answers.values().map(|answer| answer.clocks).max();
        // A candidate that has just started, or is cut off, knows few clocks.
        let informed = self.answers.values();
        let informed = informed.filter(|answer| Some(answer.clocks * 2) >= clocks_max);
        let differences = informed.map(|answer| answer.difference_ms).collect();
        self.agreed_ms = median(differences).or(self.agreed_ms);
    }

    /// Returns the Unix time in ms at which the own monotonic clock showed `at`.
    #[must_use]
    pub fn unix_ms(&self, at: Instant) -> u64 {
        unix_ms(self.agreed_ms.unwrap_or(self.initial_ms), at)
    }
}

fn difference_ms(unix_ms: u64, at: Instant) -> i64 {
    unix_ms.cast_signed() - (at.as_micros() / 1_000).cast_signed()
}

fn unix_ms(difference_ms: i64, at: Instant) -> u64 {
    let unix_ms = difference_ms.saturating_add((at.as_micros() / 1_000).cast_signed());
    unix_ms.max(0).cast_unsigned()
}

fn median(mut values: Vec<i64>) -> Option<i64> {
    values.sort_unstable();
    let lower = *values.get(values.len().checked_sub(1)? / 2)?;
    let upper = values[values.len() / 2];
    Some(lower + (upper - lower) / 2)
}
