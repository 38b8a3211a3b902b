use std::collections::BTreeMap;

use ragwortgrade_schema::Name;

use super::super::Stage;
use super::target::covered_losses;
use super::{Need, Worker, WorkerState};

/// Bounds of the share of prefill workers from which the number of workers is derived; outside of
/// them a small need of one stage would call for a multiple of the workers.
const PREFILL_SHARE_MIN: f64 = 0.1;
const PREFILL_SHARE_MAX: f64 = 0.9;

/// Capacity of the workers that serve.
#[derive(Debug)]
pub(super) struct Capacity<'a> {
    workers: &'a [Worker],
    /// Capacity by data centre and whether the workers are spot workers.
    pools: BTreeMap<(&'a Name, bool), Need>,
}

impl<'a> Capacity<'a> {
    pub(super) fn new(workers: &'a [Worker]) -> Self {
        let mut pools: BTreeMap<(&Name, bool), Need> = BTreeMap::new();
        for worker in workers {
            if worker.state == WorkerState::Serving {
                let pool = pools.entry((&worker.data_centre, worker.is_spot));
                pool.or_default().add(worker.stage, worker.speed);
            }
        }
        Self { workers, pools }
    }

    /// Returns the number of serving workers.
    pub(super) fn serving(&self) -> u32 {
        let workers = self.workers.iter();
        let serving = workers.filter(|it| it.state == WorkerState::Serving);
        serving.count() as u32
    }

    /// Returns the number of further data centres whose spot workers may leave, if those without any
    /// have lost theirs.
    pub(super) fn losses_left(&self, data_centres: usize) -> usize {
        let with_spot = self.pools.keys().filter(|(_, is_spot)| *is_spot).count();
        let carriers = data_centres - covered_losses(data_centres);
        with_spot.saturating_sub(carriers)
    }

    /// Returns the capacity of which `left` remains in each pool, after the loss of the largest
    /// pools of spot workers.
    pub(super) fn after_losses(&self, losses: usize, left: impl Fn(&Name, bool) -> f64) -> Need {
        let mut total = Need::default();
        let mut spot = Vec::new();
        for ((data_centre, is_spot), pool) in &self.pools {
            let rest = pool.scaled(left(data_centre, *is_spot).min(1.0));
            total = total.zip(rest, |total, rest| total + rest);
            if *is_spot {
                spot.push(rest);
            }
        }
        // The largest of each stage are taken, even if they are in different data centres.
        for stage in [Stage::Prefill, Stage::Decode] {
            let mut sizes: Vec<f64> = spot.iter().map(|it| it.stage(Some(stage))).collect();
            sizes.sort_by(|one, other| other.total_cmp(one));
            let lost: f64 = sizes.iter().take(losses).sum();
            total.add(Some(stage), -lost);
        }
        total
    }

    /// Returns the number of workers with the present shares of the stages, which the platform
    /// keeps, that have this capacity.
    pub(super) fn workers_for(&self, need: &Need) -> u32 {
        let present = || self.workers.iter().filter(|it| it.is_present());
        let average = |stage: Stage| {
            let is_of_stage =
                |it: &&Worker| (it.stage == Some(Stage::Prefill)) == (stage == Stage::Prefill);
            let speeds: Vec<f64> = present().filter(is_of_stage).map(|it| it.speed).collect();
            let sum: f64 = speeds.iter().sum();
            (
                speeds.len() as f64,
                if sum > 0.0 {
                    sum / speeds.len() as f64
                } else {
                    1.0
                },
            )
        };
        let (prefill, prefill_speed) = average(Stage::Prefill);
        let (decode, decode_speed) = average(Stage::Decode);
        if prefill == 0.0 {
            return (need.decode / decode_speed).ceil() as u32;
        }
        let share = prefill / (prefill + decode);
        let share = share.clamp(PREFILL_SHARE_MIN, PREFILL_SHARE_MAX);
        let workers =
            (need.prefill / prefill_speed / share).max(need.decode / decode_speed / (1.0 - share));
        // Sums of speeds have rounding errors.
        (workers - 1e-6).ceil().max(0.0) as u32
    }
}
