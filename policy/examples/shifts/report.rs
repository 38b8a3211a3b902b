use crate::bound::Bound;
use crate::deployment::Deployment;
use crate::score::Score;
use crate::simulation::{Setup, Simulation};
use crate::strategy::{LeastLoaded, Ragwortgrade, RoundRobin, Strategy};

/// Result of one policy.
#[derive(Debug)]
pub(crate) struct Report {
    policy: String,
    score: Score,
}

impl Report {
    /// Values tried by `best_static` for the longest prompt that uses local prefill, in tokens.
    const LOCAL_PREFILL_TOKENS: [u32; 2] = [0, 512];

    /// Runs all policies in parallel; the ablation adds the router with fixed roles.
    pub(crate) fn all(setup: &Setup, ablation: bool) -> Vec<Self> {
        let data_centres = setup.deployment.engines.len();
        let daemons = data_centres * Deployment::DAEMONS;
        std::thread::scope(|scope| {
            let ragwortgrade = scope.spawn(|| Self::ragwortgrade(setup));
            let round_robin =
                scope.spawn(|| Self::run("round_robin_static", setup, RoundRobin::new(daemons)));
            let reactive = scope.spawn(|| {
                let strategy = LeastLoaded::reactive(daemons, data_centres);
                Self::run("least_loaded_reactive", setup, strategy)
            });
            let bound = scope.spawn(|| Self::bound(setup));
            let best = Self::best_static(setup);
            let mut threads = vec![ragwortgrade, round_robin, reactive];
            if ablation {
                threads.push(scope.spawn(|| Self::fixed_roles(setup)));
            }
            let mut reports: Vec<_> = threads
                .into_iter()
                .filter_map(|thread| thread.join().ok())
                .collect();
            // After the other baselines and before the ablation.
            reports.insert(reports.len().min(3), best);
            reports.extend(bound.join().ok());
            reports
        })
    }

    /// Runs only the policy under test.
    pub(crate) fn ragwortgrade(setup: &Setup) -> Self {
        Self::run("ragwortgrade", setup, Ragwortgrade::new(setup, None))
    }

    fn run(policy: &str, setup: &Setup, mut strategy: impl Strategy) -> Self {
        Self {
            policy: policy.to_owned(),
            score: Simulation::new(setup, &mut strategy).run(),
        }
    }

    /// Runs least-loaded routing with the split of roles that is best on this trace.
    fn best_static(setup: &Setup) -> Self {
        let daemons = setup.deployment.engines.len() * Deployment::DAEMONS;
        let runs = Self::splits(setup).into_iter().flat_map(|split| {
            Self::LOCAL_PREFILL_TOKENS.map(|tokens| {
                let strategy = LeastLoaded::fixed(daemons, split.clone(), tokens);
                Self::run("best_static", setup, strategy)
            })
        });
        Self::best(runs)
    }

    /// Runs the router under test with the split of roles that is best on this trace.
    fn fixed_roles(setup: &Setup) -> Self {
        let splits = Self::splits(setup).into_iter();
        Self::best(splits.map(|split| {
            let strategy = Ragwortgrade::new(setup, Some(split.clone()));
            Self::run(&format!("fixed_roles{split:?}"), setup, strategy)
        }))
    }

    fn best(runs: impl Iterator<Item = Self>) -> Self {
        let none = Self {
            policy: "none".to_owned(),
            score: Score::default(),
        };
        runs.max_by_key(|run| run.score.in_time).unwrap_or(none)
    }

    /// Returns the numbers of prefill engines in each data centre to try, from none to all but one,
    /// spread evenly over the data centres.
    fn splits(setup: &Setup) -> Vec<Vec<usize>> {
        let engines = &setup.deployment.engines;
        let mut split = vec![0; engines.len()];
        let mut splits = vec![split.clone()];
        loop {
            let can_add = |data_centre: &usize| split[*data_centre] + 1 < engines[*data_centre];
            let next = (0..engines.len())
                .filter(can_add)
                .min_by_key(|data_centre| (split[*data_centre], engines.len() - data_centre));
            let Some(data_centre) = next else {
                return splits;
            };
            split[data_centre] += 1;
            splits.push(split.clone());
        }
    }

    fn bound(setup: &Setup) -> Self {
        let mut score = Score::default();
        score.offered = setup.trace.rows.len() as u64;
        score.in_time = Bound::new(setup).in_time();
        score.late = score.offered - score.in_time;
        Self {
            policy: "bound".to_owned(),
            score,
        }
    }

    /// Formats the result as one line of JSON.
    pub(crate) fn json(&self) -> String {
        let score = &self.score;
        serde_json::json!({
            "policy": self.policy,
            "offered": score.offered,
            "in_time": score.in_time,
            "goodput": (score.goodput() * 1e4).round() / 1e4,
            "role_changes": score.role_changes,
            "short_first_token_ms_p95": score.short_first_token_ms_p95(),
            "refused_not_run": score.refused,
            "late": score.late,
        })
        .to_string()
    }

    /// Formats the result as text. The last two figures count complete answers that missed the
    /// first token's deadline or had too many long gaps.
    pub(crate) fn text(&self) -> String {
        let score = &self.score;
        format!(
            "{:24} offered {:6} in time {:6} goodput {:.4} role changes {:3} short p95 {:5} ms \
             refused {:5} late {:5} (first token {}, gaps {})",
            self.policy,
            score.offered,
            score.in_time,
            score.goodput(),
            score.role_changes,
            score.short_first_token_ms_p95(),
            score.refused,
            score.late,
            score.late_first_token,
            score.late_gaps,
        )
    }
}
