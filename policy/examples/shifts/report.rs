use crate::bound::Bound;
use crate::deployment::Deployment;
use crate::score::Score;
use crate::simulation::{Setup, Simulation};
use crate::strategy::{LeastLoaded, Ragwortgrade, RoundRobin, Strategy};

/// The result of one policy.
#[derive(Debug)]
pub(crate) struct Report {
    policy: String,
    score: Score,
}

impl Report {
    /// Prompt lengths up to which `best_static` may compute prompts where they are decoded.
    const IN_PLACE_TOKENS: [u32; 2] = [0, 512];

    /// Runs all policies; the ablation adds the router with fixed roles.
    pub(crate) fn all(setup: &Setup, ablation: bool) -> Vec<Self> {
        let places = setup.deployment.engines.len();
        let daemons = places * Deployment::DAEMONS;
        std::thread::scope(|scope| {
            let ragwortgrade = scope.spawn(|| Self::ragwortgrade(setup));
            let round_robin =
                scope.spawn(|| Self::run("round_robin_static", setup, RoundRobin::new(daemons)));
            let reactive = scope.spawn(|| {
                let strategy = LeastLoaded::reactive(daemons, places);
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

    /// The best fixed split in hindsight, with least-loaded routing.
    fn best_static(setup: &Setup) -> Self {
        let daemons = setup.deployment.engines.len() * Deployment::DAEMONS;
        let runs = Self::splits(setup).into_iter().flat_map(|split| {
            Self::IN_PLACE_TOKENS.map(|tokens| {
                let strategy = LeastLoaded::fixed(daemons, split.clone(), tokens);
                Self::run("best_static", setup, strategy)
            })
        });
        Self::best(runs)
    }

    /// The policy's router with the best fixed split in hindsight.
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

    /// Prefill engines in each data centre, from none to all but one, spread evenly.
    fn splits(setup: &Setup) -> Vec<Vec<usize>> {
        let engines = &setup.deployment.engines;
        let mut split = vec![0; engines.len()];
        let mut splits = vec![split.clone()];
        loop {
            let free = |place: &usize| split[*place] + 1 < engines[*place];
            let next = (0..engines.len())
                .filter(free)
                .min_by_key(|place| (split[*place], engines.len() - place));
            let Some(place) = next else {
                return splits;
            };
            split[place] += 1;
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

    /// The result as one JSON line.
    pub(crate) fn json(&self) -> String {
        let score = &self.score;
        serde_json::json!({
            "policy": self.policy,
            "offered": score.offered,
            "in_time": score.in_time,
            "goodput": (score.goodput() * 1e4).round() / 1e4,
            "role_changes": score.role_changes,
            "short_first_token_ms_p95": score.short_first_token_ms(),
            "refused_not_run": score.refused,
            "late": score.late,
        })
        .to_string()
    }

    /// The result for people; the last two columns divide the late answers by cause.
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
            score.short_first_token_ms(),
            score.refused,
            score.late,
            score.late_first_token,
            score.rough,
        )
    }
}
