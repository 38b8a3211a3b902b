use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Bound;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::{Load, Role, Version};

use crate::deployment::Deployment;
use crate::job::{Job, LostCall, Stage, StepOutput};
use crate::parameters::Parameters;
use crate::prefix_cache::PrefixCache;

/// Simulated engine with continuous batching, chunked prefill, priorities and a prefix cache.
///
/// All running sequences take part in each step. A sequence therefore stores only its first and
/// last step and the number of long steps before it, and simulating a step takes no work per
/// sequence.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) name: Name,
    pub(crate) data_centre: usize,
    pub(crate) role: Role,
    /// False from a crash until the restart.
    pub(crate) is_alive: bool,
    /// Whether the engine leaves the fleet.
    pub(crate) is_draining: bool,
    /// Role of an order that is not complete yet.
    pub(crate) ordered_role: Option<Role>,
    /// Whether the engine has become idle after the order and is changing its role.
    pub(crate) is_changing_role: bool,
    pub(crate) incarnation: u64,
    pub(crate) cache: PrefixCache,
    /// Time at which the outgoing link has sent all KV caches queued on it, in microseconds. The
    /// receiving side is not limited: an engine may receive several transfers at once.
    pub(crate) link_free_us: u64,
    waiting: BTreeMap<QueueKey, QueuedJob>,
    imports: BTreeMap<QueueKey, QueuedJob>,
    running: BinaryHeap<Reverse<RunningSequence>>,
    /// Number of submitted jobs; orders jobs of equal priority.
    submitted: u64,
    /// Number of waiting prompts whose prefill has started.
    started_prompts: u32,
    used_blocks: u32,
    /// Number of completed steps.
    steps: u64,
    /// Number of completed steps that exceeded the gap limit.
    long_steps: u32,
    /// The running step.
    step: Option<Step>,
}

/// Position in a queue: higher priority first, then in the order of arrival.
type QueueKey = (Reverse<u8>, u64);

#[derive(Debug)]
struct QueuedJob {
    job: Job,
    /// Prompt tokens that are still to compute; `None` until the prefill has started.
    remaining_tokens: Option<u32>,
    blocks: u32,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunningSequence {
    last_step: u64,
    call: usize,
    attempt: u32,
    first_step: u64,
    long_steps_before: u32,
    blocks: u32,
}

#[derive(Debug)]
struct Step {
    is_long: bool,
    /// Jobs whose prompt is computed or fetched when the step ends.
    completed: Vec<QueuedJob>,
}

impl Engine {
    /// Maximum number of waiting prompts counted ahead of a fetched sequence; limits the work of a
    /// step.
    const COUNTED_AHEAD_MAX: usize = 64;

    pub(crate) fn new(name: Name, data_centre: usize, role: Role) -> Self {
        Self {
            name,
            data_centre,
            role,
            is_alive: true,
            is_draining: false,
            ordered_role: None,
            is_changing_role: false,
            incarnation: 1,
            cache: PrefixCache::default(),
            link_free_us: 0,
            waiting: BTreeMap::new(),
            imports: BTreeMap::new(),
            running: BinaryHeap::new(),
            submitted: 0,
            started_prompts: 0,
            used_blocks: 0,
            steps: 0,
            long_steps: 0,
            step: None,
        }
    }

    /// Returns whether the engine accepts work for a stage. An engine that drains for a role change
    /// accepts work until it is idle, because daemons learn of the order with a delay.
    pub(crate) fn accepts(&self, stage: Stage) -> bool {
        self.is_alive
            && !self.is_changing_role
            && (stage == Stage::Export || self.role != Role::Prefill)
    }

    pub(crate) fn submit(&mut self, job: Job) {
        self.submitted += 1;
        let queued_job = QueuedJob {
            job,
            remaining_tokens: None,
            blocks: 0,
        };
        let queue_key = (Reverse(queued_job.job.priority), self.submitted);
        match queued_job.job.stage {
            Stage::Import => self.imports.insert(queue_key, queued_job),
            Stage::Whole | Stage::Export => self.waiting.insert(queue_key, queued_job),
        };
    }

    /// Returns whether the engine has no work and no exported KV cache that is still to be fetched.
    pub(crate) fn is_idle(&self) -> bool {
        self.step.is_none()
            && self.waiting.is_empty()
            && self.imports.is_empty()
            && self.running.is_empty()
            && self.used_blocks == 0
    }

    /// Releases memory of a finished sequence or a fetched KV cache.
    pub(crate) fn release(&mut self, blocks: u32) {
        self.used_blocks = self.used_blocks.saturating_sub(blocks);
    }

    /// Starts a step if there is work and no step is running, and returns its length in
    /// microseconds.
    pub(crate) fn start_step(&mut self, parameters: &Parameters) -> Option<u64> {
        if self.step.is_some() || !self.is_alive || self.is_changing_role {
            return None;
        }
        let mut completed = self.join_imports(parameters);
        let sequences = self.running.len() + completed.len();
        let tokens = self.prefill(parameters, &mut completed);
        if sequences == 0 && tokens == 0 && completed.is_empty() {
            return None;
        }
        let decode_ms = if sequences > 0 {
            parameters.step_ms + parameters.step_ms_per_sequence * sequences as f64
        } else {
            0.0
        };
        let step_ms = decode_ms + parameters.prefill_ms(f64::from(tokens));
        self.step = Some(Step {
            is_long: step_ms > Parameters::GAP_LIMIT_MS,
            completed,
        });
        Some((step_ms * 1_000.0).ceil().max(1.0) as u64)
    }

    /// Adds sequences with a fetched KV cache to the batch, as long as enough slots remain for the
    /// waiting prompts ahead of them in priority.
    fn join_imports(&mut self, parameters: &Parameters) -> Vec<QueuedJob> {
        let mut joined = Vec::new();
        while let Some(first) = self.imports.first_entry() {
            let blocks = Self::blocks_for(&first.get().job, parameters);
            let key = *first.key();
            let ahead = self.waiting.range(..key).take(Self::COUNTED_AHEAD_MAX);
            let ahead = ahead
                .filter(|(_, it)| it.remaining_tokens.is_none())
                .count();
            if !self.has_slot(joined.len() + ahead, parameters) || !self.reserve(blocks, parameters)
            {
                break;
            }
            if let Some(mut queued_job) = self.imports.remove(&key) {
                queued_job.blocks = blocks;
                joined.push(queued_job);
            }
        }
        joined
    }

    /// Computes at most one chunk of the waiting prompts and returns the number of tokens computed.
    fn prefill(&mut self, parameters: &Parameters, completed: &mut Vec<QueuedJob>) -> u32 {
        let mut budget = parameters.chunk_tokens as u32;
        let mut finished = Vec::new();
        let mut next = self
            .waiting
            .first_key_value()
            .map(|(queue_key, _)| *queue_key);
        while let Some(queue_key) = next.filter(|_| budget > 0) {
            let starts = self
                .waiting
                .get(&queue_key)
                .is_some_and(|it| it.remaining_tokens.is_none());
            if starts && !self.start_prompt(queue_key, completed.len() + finished.len(), parameters)
            {
                break;
            }
            if let Some(remaining_tokens) = self
                .waiting
                .get_mut(&queue_key)
                .and_then(|it| it.remaining_tokens.as_mut())
            {
                let tokens = budget.min(*remaining_tokens);
                budget -= tokens;
                *remaining_tokens -= tokens;
                if *remaining_tokens == 0 {
                    finished.push(queue_key);
                }
            }
            let later = (Bound::Excluded(queue_key), Bound::Unbounded);
            next = self
                .waiting
                .range(later)
                .next()
                .map(|(queue_key, _)| *queue_key);
        }
        for queue_key in finished {
            if let Some(queued_job) = self.waiting.remove(&queue_key) {
                self.started_prompts -= 1;
                completed.push(queued_job);
            }
        }
        parameters.chunk_tokens as u32 - budget
    }

    /// Reserves a slot and memory for a prompt and looks up its prefix in the cache. Returns
    /// `false` if there is no room.
    fn start_prompt(
        &mut self,
        queue_key: QueueKey,
        joining: usize,
        parameters: &Parameters,
    ) -> bool {
        let Some(job) = self
            .waiting
            .get(&queue_key)
            .map(|queued_job| queued_job.job.clone())
        else {
            return false;
        };
        let blocks = Self::blocks_for(&job, parameters);
        let needs_slot = job.stage == Stage::Whole;
        if (needs_slot && !self.has_slot(joining, parameters)) || !self.reserve(blocks, parameters)
        {
            return false;
        }
        let cached = job.prefix.map_or(0, |(prefix, tokens)| {
            self.cache.touch(prefix).min(tokens).min(job.prompt - 1)
        });
        if let Some(queued_job) = self.waiting.get_mut(&queue_key) {
            queued_job.remaining_tokens = Some(job.prompt - cached);
            queued_job.blocks = blocks;
        }
        self.started_prompts += 1;
        true
    }

    fn has_slot(&self, joining: usize, parameters: &Parameters) -> bool {
        self.running.len() + joining + (self.started_prompts as usize)
            < parameters.sequences as usize
    }

    fn reserve(&mut self, blocks: u32, parameters: &Parameters) -> bool {
        let capacity = parameters.capacity_blocks();
        if self.used_blocks + blocks > capacity {
            return false;
        }
        self.used_blocks += blocks;
        self.cache.shrink(capacity - self.used_blocks);
        true
    }

    /// Returns the blocks to reserve for the whole length of a job. They are limited to the
    /// capacity, so that a job larger than the memory can run alone.
    fn blocks_for(job: &Job, parameters: &Parameters) -> u32 {
        let tokens = match job.stage {
            Stage::Export => job.prompt,
            Stage::Whole | Stage::Import => job.prompt.saturating_add(job.output),
        };
        parameters.blocks(tokens).min(parameters.capacity_blocks())
    }

    /// Ends the running step.
    pub(crate) fn end_step(&mut self, parameters: &Parameters) -> Vec<StepOutput> {
        let Some(step) = self.step.take() else {
            return Vec::new();
        };
        let current_step = self.steps;
        self.steps += 1;
        self.long_steps += u32::from(step.is_long);
        let mut outputs = Vec::new();
        for queued_job in step.completed {
            outputs.push(self.complete_prompt(queued_job, current_step, parameters));
        }
        while self
            .running
            .peek()
            .is_some_and(|Reverse(first)| first.last_step <= current_step)
        {
            if let Some(Reverse(ended)) = self.running.pop() {
                self.release(ended.blocks);
                outputs.push(StepOutput::Finished {
                    call: ended.call,
                    attempt: ended.attempt,
                    long_gaps: self.long_steps - ended.long_steps_before,
                });
            }
        }
        outputs
    }

    fn complete_prompt(
        &mut self,
        queued_job: QueuedJob,
        current_step: u64,
        parameters: &Parameters,
    ) -> StepOutput {
        let QueuedJob { job, blocks, .. } = queued_job;
        if let Some((prefix, tokens)) = job.prefix {
            let free_blocks = parameters
                .capacity_blocks()
                .saturating_sub(self.used_blocks);
            self.cache
                .store(prefix, tokens, parameters.blocks(tokens), free_blocks);
        }
        let (call, attempt) = (job.call, job.attempt);
        if job.stage == Stage::Export {
            return StepOutput::Exported {
                call,
                attempt,
                blocks,
            };
        }
        self.running.push(Reverse(RunningSequence {
            last_step: current_step + u64::from(job.output.max(1)) - 1,
            call,
            attempt,
            first_step: current_step,
            long_steps_before: self.long_steps,
            blocks,
        }));
        StepOutput::FirstToken { call, attempt }
    }

    /// Returns the tokens and long gaps of an attempt that runs on this engine.
    pub(crate) fn progress(&self, call: usize, attempt: u32) -> Option<(u32, u32)> {
        let mut running = self.running.iter();
        let Reverse(found) =
            running.find(|Reverse(it)| it.call == call && it.attempt == attempt)?;
        let tokens = (self.steps - found.first_step) as u32;
        Some((tokens, self.long_steps - found.long_steps_before))
    }

    /// Crashes the engine: drops its work and caches and returns the lost calls, ordered by call.
    pub(crate) fn crash(&mut self) -> Vec<LostCall> {
        let (steps, long_steps) = (self.steps, self.long_steps);
        let completed = self.step.take().map_or(Vec::new(), |step| step.completed);
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let imports = std::mem::take(&mut self.imports).into_values();
        let mut lost: Vec<_> = (waiting.chain(imports).chain(completed))
            .map(|queued_job| LostCall {
                call: queued_job.job.call,
                attempt: queued_job.job.attempt,
                tokens: 0,
                long_gaps: 0,
            })
            .collect();
        let running = std::mem::take(&mut self.running).into_vec();
        lost.extend(running.into_iter().map(|Reverse(running)| LostCall {
            call: running.call,
            attempt: running.attempt,
            tokens: (steps - running.first_step) as u32,
            long_gaps: long_steps - running.long_steps_before,
        }));
        lost.sort_by_key(|lost| lost.call);
        self.is_alive = false;
        self.ordered_role = None;
        self.is_changing_role = false;
        self.started_prompts = 0;
        self.used_blocks = 0;
        self.cache = PrefixCache::default();
        lost
    }

    /// Returns the load report of the engine.
    pub(crate) fn load(&self, now_us: u64, parameters: &Parameters) -> Load {
        let queued = self.waiting.values();
        let queued = queued.map(|it| u64::from(it.remaining_tokens.unwrap_or(it.job.prompt)));
        let sequences = self.running.len() + self.imports.len();
        Load {
            adapters: Vec::new(),
            at_ms: now_us / 1_000,
            changing: self.ordered_role.is_some(),
            draining: self.is_draining,
            engine: self.name.clone(),
            incarnation: self.incarnation,
            kv_tokens: (f64::from(self.used_blocks) * parameters.block_tokens) as u64,
            last_fence: 0,
            last_order: String::new(),
            models: vec![Version {
                name: Name::from(Deployment::MODEL),
                version: Name::from("1"),
            }],
            queued_prefill_tokens: queued.sum(),
            role: self.role,
            sequences: sequences as u32,
        }
    }
}
