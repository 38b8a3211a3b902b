use crate::deployment::Deployment;
use crate::faults::Faults;
use crate::simulation::Setup;
use crate::speeds::Speeds;
use crate::trace::{Kind, Row};

/// An upper bound of the calls that any policy can answer in time, from capacity alone.
///
/// Roles are divisible and changes free: only the time of the engines counts. Derivation:
///
/// 1. Prefill takes `tokens / speed` of one engine wherever it runs. The bound takes every shared
///    prefix as cached everywhere, so a call needs at least its prompt without the prefix.
/// 2. A decode step of `n` sequences takes `step + n × per_sequence`, with `n` at most the batch
///    and the blocks of all at most the memory. The constant part is shared by all sequences:
///    for any weight `w` in 0..1 a sequence with `b` blocks can be charged
///    `w / batch + (1 - w) × b / memory` of it, because these shares add up to at most 1 in any
///    admissible step. A call of `m` tokens takes part in at least `m - 1` steps after its first
///    token. Its work is therefore at least
///    `prefill + (m - 1) × (step × share + per_sequence)`, for each `w`.
/// 3. All of that work falls between the arrival and the latest end of a call that is on time:
///    the deadline of the first token, then gaps of which 95% last at most the limit and the
///    others at most the longest step that the engine can make (a full batch and a full chunk).
/// 4. Between `s` and `t` the engines offer `engines × (t - s)`. Of the calls whose whole window
///    lies inside, so many must miss that the work of the others fits. The fewest are lost when
///    the largest go first. Losses in disjoint intervals add up; dynamic programming over a grid
///    of times finds the disjoint intervals with the greatest sum.
/// 5. A call whose prompt alone takes longer than its deadline is lost in any case. Plain calls
///    are bounded in the same way by the places of the workers.
///
/// Under `--cut` the two sides are separate fleets in intervals inside the partition. Under
/// `--crash` and `--withdraw` the engines offer less time.
#[derive(Debug)]
pub(crate) struct Bound<'a> {
    setup: &'a Setup,
    daemons: Vec<usize>,
    cell_ms: f64,
    cells: usize,
}

/// A call's least work and the cells inside which all of it falls.
#[derive(Clone, Copy, Debug)]
struct Item {
    work_ms: f64,
    first_cell: usize,
    end_cell: usize,
    cut_off: bool,
}

impl<'a> Bound<'a> {
    /// Width of a cell of the grid, and the most cells; a wider grid only loosens the bound.
    const CELL_MS: f64 = 4_000.0;
    const MAX_CELLS: f64 = 150.0;
    /// Calls times cells squared, at most; keeps the time of the bound to seconds on long traces.
    const MAX_VISITS: f64 = 1.5e9;
    /// Weights tried in step 2 of the derivation.
    const WEIGHTS: [f64; 4] = [0.0, 0.4, 0.7, 1.0];
    /// Time that work on a withdrawn engine may still take, in milliseconds.
    const WITHDRAWN_MS: f64 = 60_000.0;
    /// Additional time that a resumed stream may take, in milliseconds.
    const RESUMED_MS: f64 = 5_000.0;

    pub(crate) fn new(setup: &'a Setup) -> Self {
        let last = setup.trace.rows.iter().map(|row| Self::end_ms(setup, row));
        let length_ms = last.fold(1.0, f64::max);
        let calls = setup.trace.rows.len() as f64;
        let affordable = (Self::MAX_VISITS / calls.max(1.0)).sqrt();
        let most = Self::MAX_CELLS.min(affordable).max(1.0);
        let cell_ms = Self::CELL_MS.max(length_ms / most);
        Self {
            daemons: setup.daemons(),
            setup,
            cell_ms,
            cells: (length_ms / cell_ms).ceil() as usize + 1,
        }
    }

    /// The largest number of calls in time.
    pub(crate) fn in_time(&self) -> u64 {
        let rows = &self.setup.trace.rows;
        let hopeless = rows.iter().filter(|row| self.is_hopeless(row)).count();
        let engine_losses = Self::WEIGHTS.map(|weight| {
            self.losses(&self.items(Kind::Model, weight), |s, t, side| {
                self.engine_ms(s, t, side)
            })
        });
        let model = engine_losses.into_iter().max().unwrap_or(0);
        let plain = self.losses(&self.items(Kind::Plain, 1.0), |s, t, side| {
            self.worker_ms(s, t, side)
        });
        rows.len() as u64 - hopeless as u64 - model - plain
    }

    fn is_hopeless(&self, row: &Row) -> bool {
        self.shortest_ms(row) > row.deadline_ms() as f64
    }

    /// Least time to the first token or the answer.
    fn shortest_ms(&self, row: &Row) -> f64 {
        match row.kind {
            Kind::Model => self.setup.speeds.prefill_ms(Self::prompt(row)),
            Kind::Plain => self.setup.speeds.plain_ms,
        }
    }

    fn prompt(row: &Row) -> f64 {
        let cached = row.prefix().map_or(0, |(_, tokens)| tokens);
        f64::from((row.prompt_tokens - cached).max(1))
    }

    /// Latest end of a call that is on time (step 3).
    fn end_ms(setup: &Setup, row: &Row) -> f64 {
        let due = (row.at_ms + row.deadline_ms()) as f64;
        if row.kind == Kind::Plain {
            return due;
        }
        let speeds = &setup.speeds;
        let longest = speeds.step_ms
            + speeds.step_ms_per_sequence * speeds.sequences
            + speeds.prefill_ms(speeds.chunk_tokens);
        let gap = Speeds::GAP_LIMIT_MS * (1.0 - Speeds::LONG_GAPS)
            + Speeds::LONG_GAPS * longest.max(Speeds::GAP_LIMIT_MS);
        let resumed = if setup.faults.crash || setup.faults.cut {
            Self::RESUMED_MS
        } else {
            0.0
        };
        due + f64::from(row.output_tokens) * gap + resumed
    }

    fn work_ms(&self, row: &Row, weight: f64) -> f64 {
        if row.kind == Kind::Plain {
            return self.setup.speeds.plain_ms;
        }
        let speeds = &self.setup.speeds;
        let blocks = f64::from(speeds.blocks(row.prompt_tokens));
        let memory = f64::from(speeds.capacity_blocks());
        let share = weight / speeds.sequences + (1.0 - weight) * (blocks / memory).min(1.0);
        let step_ms = speeds.step_ms * share + speeds.step_ms_per_sequence;
        self.shortest_ms(row) + f64::from(row.output_tokens - 1) * step_ms
    }

    /// The calls of one kind that can be in time, the largest first.
    fn items(&self, kind: Kind, weight: f64) -> Vec<Item> {
        let last = self.setup.deployment.engines.len() - 1;
        let rows = self.setup.trace.rows.iter().zip(&self.daemons);
        let mut items: Vec<_> = rows
            .filter(|(row, _)| row.kind == kind && !self.is_hopeless(row))
            .map(|(row, daemon)| Item {
                work_ms: self.work_ms(row, weight),
                first_cell: (row.at_ms as f64 / self.cell_ms).floor() as usize,
                end_cell: (Self::end_ms(self.setup, row) / self.cell_ms).ceil() as usize,
                cut_off: daemon / Deployment::DAEMONS == last,
            })
            .collect();
        items.sort_by(|left, right| right.work_ms.total_cmp(&left.work_ms));
        items
    }

    /// Greatest sum of losses over disjoint intervals (step 4).
    fn losses(&self, items: &[Item], capacity: impl Fn(usize, usize, Option<bool>) -> f64) -> u64 {
        let mut best = vec![0_u64; self.cells + 1];
        for end in 1..=self.cells {
            best[end] = best[end - 1];
            for start in 0..end {
                let inside = |item: &&Item| item.first_cell >= start && item.end_cell <= end;
                let lost = if self.is_cut(start, end) {
                    [false, true]
                        .map(|side| {
                            let of_side = items.iter().filter(inside);
                            let of_side = of_side.filter(|item| item.cut_off == side);
                            Self::fewest_lost(of_side, capacity(start, end, Some(side)))
                        })
                        .iter()
                        .sum()
                } else {
                    Self::fewest_lost(items.iter().filter(inside), capacity(start, end, None))
                };
                best[end] = best[end].max(best[start] + lost);
            }
        }
        best[self.cells]
    }

    /// Fewest of the items, sorted by falling work, without which the others fit.
    fn fewest_lost<'i>(items: impl Iterator<Item = &'i Item> + Clone, capacity_ms: f64) -> u64 {
        let total: f64 = items.clone().map(|item| item.work_ms).sum();
        let mut excess = total - capacity_ms;
        let mut lost = 0;
        for item in items {
            if excess <= 0.0 {
                break;
            }
            excess -= item.work_ms;
            lost += 1;
        }
        lost
    }

    fn is_cut(&self, start: usize, end: usize) -> bool {
        let (begin, heal) = Faults::thirds(self.setup.trace.length_ms());
        self.setup.faults.cut
            && start as f64 * self.cell_ms >= begin as f64
            && end as f64 * self.cell_ms <= heal as f64
    }

    /// Engine time between two cells, of all engines or of one side of the partition.
    fn engine_ms(&self, start: usize, end: usize, cut_off: Option<bool>) -> f64 {
        let (from, to) = (start as f64 * self.cell_ms, end as f64 * self.cell_ms);
        let places = &self.setup.deployment.engines;
        let last = places.len() - 1;
        let engines: usize = match cut_off {
            None => places.iter().sum(),
            Some(true) => places[last],
            Some(false) => places[..last].iter().sum(),
        };
        let overlap = |begin: f64, finish: f64| (to.min(finish) - from.max(begin)).max(0.0);
        let (third, _) = Faults::thirds(self.setup.trace.length_ms());
        let third = third as f64;
        let mut missing_ms = 0.0;
        if self.setup.faults.crash && cut_off != Some(true) {
            missing_ms += overlap(third, third + Faults::RESTART_MS as f64);
        }
        if self.setup.faults.withdraw && cut_off != Some(true) {
            missing_ms += last as f64 * overlap(third + Self::WITHDRAWN_MS, f64::MAX);
        }
        engines as f64 * (to - from) - missing_ms
    }

    fn worker_ms(&self, start: usize, end: usize, cut_off: Option<bool>) -> f64 {
        let places = self.setup.deployment.engines.len();
        let workers = match cut_off {
            None => places,
            Some(true) => 1,
            Some(false) => places - 1,
        };
        let calls = self.setup.speeds.plain_calls.floor().max(1.0);
        (workers * Deployment::WORKERS) as f64 * calls * (end - start) as f64 * self.cell_ms
    }
}
