use std::f64::consts::E;

use ragwortgrade_schema::Name;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::deployment::Deployment;
use crate::parameters::Parameters;
use crate::trace::{Kind, Row, Trace};

/// Generates traces of phases, each with its own load and its own mix of prompt lengths and output
/// lengths.
#[derive(Debug)]
pub(crate) struct Generator<'a> {
    deployment: &'a Deployment,
    parameters: &'a Parameters,
    rng: ChaCha8Rng,
}

/// Calls of one service of the synthetic trace.
#[derive(Debug)]
struct Workload {
    service: &'static str,
    kind: Kind,
    priority: u8,
    /// Minimum and maximum prompt length, in tokens.
    prompt: (u32, u32),
    /// Minimum and maximum output length, in tokens.
    output: (u32, u32),
    /// Number of distinct shared prefixes.
    prefixes: u64,
    /// Maximum length of a shared prefix, as a fraction of the longest prompt.
    shared_fraction: f64,
    deadline_ms: Option<u64>,
    /// Relative frequency in each mix: prompt-heavy, balanced and output-heavy phases.
    weights: [f64; 3],
}

impl Workload {
    /// Returns the mean of the uniform distribution between two bounds.
    fn mean((low, high): (u32, u32)) -> f64 {
        f64::midpoint(f64::from(low), f64::from(high))
    }
}

const WORKSHOP_WORKLOADS: [Workload; 5] = [
    Workload {
        service: "explain",
        kind: Kind::Model,
        priority: 2,
        prompt: (400, 1_800),
        output: (200, 500),
        prefixes: 40,
        shared_fraction: 0.5,
        deadline_ms: None,
        weights: [0.3, 0.4, 0.6],
    },
    Workload {
        service: "stitch",
        kind: Kind::Model,
        priority: 3,
        prompt: (60, 250),
        output: (30, 120),
        prefixes: 8,
        shared_fraction: 0.3,
        deadline_ms: Some(500),
        weights: [0.3, 0.3, 0.3],
    },
    Workload {
        service: "manual",
        kind: Kind::Model,
        priority: 1,
        prompt: (6_000, 30_000),
        output: (80, 250),
        prefixes: 24,
        shared_fraction: 0.4,
        deadline_ms: Some(4_000),
        weights: [0.09, 0.04, 0.005],
    },
    Workload {
        service: "stock",
        kind: Kind::Plain,
        priority: 2,
        prompt: (0, 0),
        output: (0, 0),
        prefixes: 0,
        shared_fraction: 0.0,
        deadline_ms: Some(300),
        weights: [0.12, 0.12, 0.12],
    },
    Workload {
        service: "order",
        kind: Kind::Plain,
        priority: 3,
        prompt: (0, 0),
        output: (0, 0),
        prefixes: 0,
        shared_fraction: 0.0,
        deadline_ms: Some(500),
        weights: [0.03, 0.03, 0.03],
    },
];

const APRICOT_WORKLOADS: [Workload; 5] = [
    Workload {
        service: "summary",
        kind: Kind::Model,
        priority: 2,
        prompt: (1_000, 5_000),
        output: (300, 900),
        prefixes: 60,
        shared_fraction: 0.4,
        deadline_ms: Some(2_500),
        weights: [0.3, 0.35, 0.45],
    },
    Workload {
        service: "field",
        kind: Kind::Model,
        priority: 3,
        prompt: (80, 400),
        output: (40, 150),
        prefixes: 16,
        shared_fraction: 0.3,
        deadline_ms: Some(600),
        weights: [0.3, 0.4, 0.4],
    },
    Workload {
        service: "dossier",
        kind: Kind::Model,
        priority: 1,
        prompt: (10_000, 40_000),
        output: (150, 700),
        prefixes: 60,
        shared_fraction: 0.4,
        deadline_ms: Some(6_000),
        weights: [0.1, 0.03, 0.005],
    },
    Workload {
        service: "lot",
        kind: Kind::Plain,
        priority: 2,
        prompt: (0, 0),
        output: (0, 0),
        prefixes: 0,
        shared_fraction: 0.0,
        deadline_ms: Some(300),
        weights: [0.12, 0.12, 0.12],
    },
    Workload {
        service: "commitment",
        kind: Kind::Plain,
        priority: 3,
        prompt: (0, 0),
        output: (0, 0),
        prefixes: 0,
        shared_fraction: 0.0,
        deadline_ms: Some(500),
        weights: [0.03, 0.03, 0.03],
    },
];

impl<'a> Generator<'a> {
    /// Length of a trace, in milliseconds.
    const LENGTH_MS: f64 = 480_000.0;
    /// Minimum and maximum length of a phase, in milliseconds.
    const PHASE_MS: (f64, f64) = (40_000.0, 110_000.0);
    /// Load in peak phases and in the others, as a fraction of the fleet's capacity.
    const PEAK_LOAD: (f64, f64) = (0.80, 0.90);
    const NORMAL_LOAD: (f64, f64) = (0.45, 0.75);
    /// Fraction of the prompts whose shared prefix is in a warm cache.
    const CACHED_FRACTION: f64 = 0.9;
    /// Fraction of the phases that are peaks.
    const PEAK_FRACTION: f64 = 0.5;

    pub(crate) fn new(deployment: &'a Deployment, parameters: &'a Parameters, seed: u64) -> Self {
        Self {
            deployment,
            parameters,
            // Differs from the seeds of the simulation; `trace` in ASCII.
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x7472_6163_6500),
        }
    }

    pub(crate) fn generate(mut self) -> Trace {
        let workloads = match self.deployment.name {
            "workshop" => &WORKSHOP_WORKLOADS,
            _ => &APRICOT_WORKLOADS,
        };
        let mut rows = Vec::new();
        let mut at = 0.0;
        let mut mix = self.rng.random_range(0..3_usize);
        while at < Self::LENGTH_MS {
            let phase_end = at + self.rng.random_range(Self::PHASE_MS.0..Self::PHASE_MS.1);
            let load = if self.rng.random::<f64>() < Self::PEAK_FRACTION {
                self.rng.random_range(Self::PEAK_LOAD.0..Self::PEAK_LOAD.1)
            } else {
                self.rng
                    .random_range(Self::NORMAL_LOAD.0..Self::NORMAL_LOAD.1)
            };
            let gap_ms =
                self.mean_work_ms(workloads, mix) / (load * self.deployment.engine_count() as f64);
            while at < phase_end.min(Self::LENGTH_MS) {
                at += -gap_ms * (1.0 - self.rng.random::<f64>()).log(E);
                let workload = self.choose_workload(workloads, mix);
                rows.push(self.row(workload, at as u64));
            }
            mix = (mix + self.rng.random_range(1..3_usize)) % 3;
        }
        Trace::sorted(rows)
    }

    /// Returns the mean engine time of a call, with full batches and most prefixes cached.
    fn mean_work_ms(&self, workloads: &[Workload], mix: usize) -> f64 {
        let parameters = self.parameters;
        let token_ms = parameters.step_ms / parameters.sequences + parameters.step_ms_per_sequence;
        let total: f64 = workloads.iter().map(|it| it.weights[mix]).sum();
        let work = |it: &Workload| {
            let prompt =
                Workload::mean(it.prompt) * (1.0 - it.shared_fraction * Self::CACHED_FRACTION);
            it.weights[mix] * (parameters.prefill_ms(prompt) + Workload::mean(it.output) * token_ms)
        };
        workloads.iter().map(work).sum::<f64>() / total
    }

    fn choose_workload<'w>(&mut self, workloads: &'w [Workload], mix: usize) -> &'w Workload {
        let total: f64 = workloads.iter().map(|it| it.weights[mix]).sum();
        let mut point = self.rng.random::<f64>() * total;
        for workload in workloads {
            point -= workload.weights[mix];
            if point < 0.0 {
                return workload;
            }
        }
        &workloads[0]
    }

    fn row(&mut self, workload: &Workload, at_ms: u64) -> Row {
        let rng = &mut self.rng;
        let prompt = rng.random_range(workload.prompt.0..=workload.prompt.1);
        let output = rng.random_range(workload.output.0..=workload.output.1);
        let first_prefix =
            workload.service.len() as u64 * 1_000 + u64::from(workload.priority) * 100_000;
        // A prefix has the same length in all prompts, so a prompt that is too short has no prefix.
        let prefix = (workload.prefixes > 0).then(|| {
            let index = rng.random_range(0..workload.prefixes);
            let step = f64::from(workload.prompt.1 - workload.prompt.0);
            let position = (index as f64 + 0.5) / workload.prefixes as f64;
            let tokens =
                workload.shared_fraction * (f64::from(workload.prompt.0) + step * position);
            (first_prefix + index + 1, tokens as u32)
        });
        let prefix = prefix.filter(|(_, tokens)| *tokens < prompt);
        Row {
            at_ms,
            service: Name::from(workload.service),
            kind: workload.kind,
            priority: workload.priority,
            prompt_tokens: prompt,
            output_tokens: output,
            prefix_id: prefix.map(|(prefix, _)| prefix),
            prefix_tokens: prefix.map(|(_, tokens)| tokens),
            deadline_ms: workload.deadline_ms,
        }
    }
}
