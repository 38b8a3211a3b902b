use crate::deployment::Deployment;
use crate::faults::Faults;
use crate::parameters::Parameters;
use crate::simulation::Setup;
use crate::trace::{Kind, Row};

/// Upper bound of the number of calls that any policy can answer in time, derived from capacity.
///
/// The bound treats roles as divisible and role changes as free; only engine time is limited.
/// Derivation:
///
/// 1. Prefill takes `tokens / speed` of one engine, on whichever engine it runs. The bound treats
///    every shared prefix as cached on every engine, so a call needs at least the prefill of its
///    prompt without the prefix.
/// 2. A decode step of `n` sequences takes `step + n × per_sequence`, where `n` is at most the
///    batch size and the blocks of all sequences are at most the memory. The constant part is
///    divided among the sequences: for any weight `w` in 0..1, a sequence with `b` blocks can be
///    charged the fraction `w / batch + (1 - w) × b / memory` of it, because these fractions add
///    up to at most 1 in any admissible step. A call of `m` tokens takes part in at least `m - 1`
///    steps after its first token. Its work is therefore at least
///    `prefill + (m - 1) × (step × fraction + per_sequence)`, for each `w`.
/// 3. All of that work falls into the call's window: from the arrival to the latest end of a call
///    that is in time. That end is the deadline of the first token, followed by gaps of which 95%
///    last at most the limit and the others at most the longest possible step (a full batch and a
///    full chunk).
/// 4. Between `s` and `t` the engines offer `engines × (t - s)`. Of the calls whose window lies in
///    that interval, enough must miss their targets that the work of the others fits. The number
///    of misses is smallest when the calls with the most work miss first. Misses in disjoint
///    intervals add up; dynamic programming over a grid of times finds the disjoint intervals with
///    the greatest sum.
/// 5. A call whose prefill alone takes longer than its deadline always misses. Plain calls are
///    bounded in the same way by the concurrent calls that the workers can run.
///
/// Under `--cut` the two sides of the partition are separate fleets in intervals that lie inside
/// the partition. Under `--crash` and `--withdraw` the engines offer less time.
#[derive(Debug)]
pub(crate) struct Bound<'a> {
    setup: &'a Setup,
    daemons: Vec<usize>,
    cell_ms: f64,
    cells: usize,
}

/// Minimum work of a call and the grid cells in which all of it falls.
#[derive(Clone, Copy, Debug)]
struct WorkItem {
    work_ms: f64,
    first_cell: usize,
    end_cell: usize,
    /// Whether the call arrives in the data centre that a partition cuts off.
    is_cut_off: bool,
}

impl<'a> Bound<'a> {
    /// Minimum width of a grid cell, and the maximum number of cells. Wider cells loosen the bound
    /// but keep it valid.
    const CELL_MIN_MS: f64 = 4_000.0;
    const CELLS_MAX: f64 = 150.0;
    /// Maximum of calls times cells squared; limits the computation to seconds on long traces.
    const OPERATIONS_MAX: f64 = 1.5e9;
    /// Values of `w` in step 2 of the derivation; the tightest result counts.
    const WEIGHTS: [f64; 4] = [0.0, 0.4, 0.7, 1.0];
    /// Time for which a withdrawn engine may go on with running work, in milliseconds.
    const WITHDRAWAL_TAIL_MS: f64 = 60_000.0;
    /// Additional time that a stream resumed on another engine may take, in milliseconds.
    const RESUME_EXTRA_MS: f64 = 5_000.0;

    pub(crate) fn new(setup: &'a Setup) -> Self {
        let latest_ends = setup
            .trace
            .rows
            .iter()
            .map(|row| Self::latest_end_ms(setup, row));
        let length_ms = latest_ends.fold(1.0, f64::max);
        let calls = setup.trace.rows.len() as f64;
        let cells_by_operations = (Self::OPERATIONS_MAX / calls.max(1.0)).sqrt();
        let cells_max = Self::CELLS_MAX.min(cells_by_operations).max(1.0);
        let cell_ms = Self::CELL_MIN_MS.max(length_ms / cells_max);
        Self {
            daemons: setup.daemons(),
            setup,
            cell_ms,
            cells: (length_ms / cell_ms).ceil() as usize + 1,
        }
    }

    /// Returns the largest possible number of calls in time.
    pub(crate) fn in_time(&self) -> u64 {
        let rows = &self.setup.trace.rows;
        let infeasible = rows.iter().filter(|row| self.is_infeasible(row)).count();
        let engine_misses = Self::WEIGHTS.map(|weight| {
            self.min_misses(&self.work_items(Kind::Model, weight), |s, t, side| {
                self.engine_ms(s, t, side)
            })
        });
        let model = engine_misses.into_iter().max().unwrap_or(0);
        let plain = self.min_misses(&self.work_items(Kind::Plain, 1.0), |s, t, side| {
            self.worker_ms(s, t, side)
        });
        rows.len() as u64 - infeasible as u64 - model - plain
    }

    fn is_infeasible(&self, row: &Row) -> bool {
        self.min_latency_ms(row) > row.deadline_ms() as f64
    }

    /// Returns the minimum time to the first token of a model call or the answer of a plain call.
    fn min_latency_ms(&self, row: &Row) -> f64 {
        match row.kind {
            Kind::Model => self
                .setup
                .parameters
                .prefill_ms(Self::uncached_prompt_tokens(row)),
            Kind::Plain => self.setup.parameters.plain_ms,
        }
    }

    fn uncached_prompt_tokens(row: &Row) -> f64 {
        let cached = row.prefix().map_or(0, |(_, tokens)| tokens);
        f64::from((row.prompt_tokens - cached).max(1))
    }

    /// Returns the latest end of a call that is in time (step 3 of the derivation).
    fn latest_end_ms(setup: &Setup, row: &Row) -> f64 {
        let due = (row.at_ms + row.deadline_ms()) as f64;
        if row.kind == Kind::Plain {
            return due;
        }
        let parameters = &setup.parameters;
        let longest = parameters.step_ms
            + parameters.step_ms_per_sequence * parameters.sequences
            + parameters.prefill_ms(parameters.chunk_tokens);
        let gap = Parameters::GAP_LIMIT_MS * (1.0 - Parameters::LONG_GAP_FRACTION)
            + Parameters::LONG_GAP_FRACTION * longest.max(Parameters::GAP_LIMIT_MS);
        let resume_ms = if setup.faults.crash || setup.faults.cut {
            Self::RESUME_EXTRA_MS
        } else {
            0.0
        };
        due + f64::from(row.output_tokens) * gap + resume_ms
    }

    /// Returns the minimum work of a call (step 2 of the derivation).
    fn work_ms(&self, row: &Row, weight: f64) -> f64 {
        if row.kind == Kind::Plain {
            return self.setup.parameters.plain_ms;
        }
        let parameters = &self.setup.parameters;
        let blocks = f64::from(parameters.blocks(row.prompt_tokens));
        let memory = f64::from(parameters.capacity_blocks());
        let fraction = weight / parameters.sequences + (1.0 - weight) * (blocks / memory).min(1.0);
        let step_ms = parameters.step_ms * fraction + parameters.step_ms_per_sequence;
        self.min_latency_ms(row) + f64::from(row.output_tokens - 1) * step_ms
    }

    /// Returns the feasible calls of one kind, those with the most work first.
    fn work_items(&self, kind: Kind, weight: f64) -> Vec<WorkItem> {
        let last = self.setup.deployment.engines.len() - 1;
        let rows = self.setup.trace.rows.iter().zip(&self.daemons);
        let mut work_items: Vec<_> = rows
            .filter(|(row, _)| row.kind == kind && !self.is_infeasible(row))
            .map(|(row, daemon)| WorkItem {
                work_ms: self.work_ms(row, weight),
                first_cell: (row.at_ms as f64 / self.cell_ms).floor() as usize,
                end_cell: (Self::latest_end_ms(self.setup, row) / self.cell_ms).ceil() as usize,
                is_cut_off: daemon / Deployment::DAEMONS == last,
            })
            .collect();
        work_items.sort_by(|left, right| right.work_ms.total_cmp(&left.work_ms));
        work_items
    }

    /// Returns the greatest sum of misses over disjoint intervals (step 4 of the derivation).
    fn min_misses(
        &self,
        work_items: &[WorkItem],
        capacity: impl Fn(usize, usize, Option<bool>) -> f64,
    ) -> u64 {
        let mut best = vec![0_u64; self.cells + 1];
        for end in 1..=self.cells {
            best[end] = best[end - 1];
            for start in 0..end {
                let inside = |item: &&WorkItem| item.first_cell >= start && item.end_cell <= end;
                let missed = if self.is_partitioned(start, end) {
                    [false, true]
                        .map(|side| {
                            let of_side = work_items.iter().filter(inside);
                            let of_side = of_side.filter(|item| item.is_cut_off == side);
                            Self::min_misses_in_interval(of_side, capacity(start, end, Some(side)))
                        })
                        .iter()
                        .sum()
                } else {
                    Self::min_misses_in_interval(
                        work_items.iter().filter(inside),
                        capacity(start, end, None),
                    )
                };
                best[end] = best[end].max(best[start] + missed);
            }
        }
        best[self.cells]
    }

    /// Returns how many of the items, sorted by descending work, have to miss so that the others
    /// fit into the capacity.
    fn min_misses_in_interval<'i>(
        work_items: impl Iterator<Item = &'i WorkItem> + Clone,
        capacity_ms: f64,
    ) -> u64 {
        let total: f64 = work_items.clone().map(|item| item.work_ms).sum();
        let mut excess = total - capacity_ms;
        let mut missed = 0;
        for item in work_items {
            if excess <= 0.0 {
                break;
            }
            excess -= item.work_ms;
            missed += 1;
        }
        missed
    }

    fn is_partitioned(&self, start: usize, end: usize) -> bool {
        let (cut_start, cut_end) = Faults::window_ms(self.setup.trace.length_ms());
        self.setup.faults.cut
            && start as f64 * self.cell_ms >= cut_start as f64
            && end as f64 * self.cell_ms <= cut_end as f64
    }

    /// Returns the engine time in the cells from `start` to `end`: of all engines, of those in the
    /// data centre that is cut off (`Some(true)`) or of those in the others (`Some(false)`).
    fn engine_ms(&self, start: usize, end: usize, is_cut_off: Option<bool>) -> f64 {
        let (from, to) = (start as f64 * self.cell_ms, end as f64 * self.cell_ms);
        let engine_counts = &self.setup.deployment.engines;
        let last = engine_counts.len() - 1;
        let engines: usize = match is_cut_off {
            None => engine_counts.iter().sum(),
            Some(true) => engine_counts[last],
            Some(false) => engine_counts[..last].iter().sum(),
        };
        let overlap = |begin: f64, finish: f64| (to.min(finish) - from.max(begin)).max(0.0);
        let (faults_begin_ms, _) = Faults::window_ms(self.setup.trace.length_ms());
        let faults_begin_ms = faults_begin_ms as f64;
        let mut missing_ms = 0.0;
        if self.setup.faults.crash && is_cut_off != Some(true) {
            missing_ms += overlap(faults_begin_ms, faults_begin_ms + Faults::RESTART_MS as f64);
        }
        if self.setup.faults.withdraw && is_cut_off != Some(true) {
            missing_ms +=
                last as f64 * overlap(faults_begin_ms + Self::WITHDRAWAL_TAIL_MS, f64::MAX);
        }
        engines as f64 * (to - from) - missing_ms
    }

    /// Returns the time that the workers offer to plain calls, summed over concurrent calls. The
    /// arguments are those of [`Self::engine_ms`].
    fn worker_ms(&self, start: usize, end: usize, is_cut_off: Option<bool>) -> f64 {
        let data_centres = self.setup.deployment.engines.len();
        let workers = match is_cut_off {
            None => data_centres,
            Some(true) => 1,
            Some(false) => data_centres - 1,
        };
        let calls = self.setup.parameters.plain_calls.floor().max(1.0);
        (workers * Deployment::WORKERS) as f64 * calls * (end - start) as f64 * self.cell_ms
    }
}
