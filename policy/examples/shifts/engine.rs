use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Bound;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::{Load, Role, Version};

use crate::deployment::Deployment;
use crate::job::{Job, Lost, Product, Stage};
use crate::prefix_cache::PrefixCache;
use crate::speeds::Speeds;

/// An engine with continuous batching, chunked prefill, priorities and a prefix cache.
///
/// All running sequences take part in each step, so a sequence needs only its first and last step
/// and the count of long steps at its start; a step costs no work per sequence.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) name: Name,
    pub(crate) place: usize,
    pub(crate) role: Role,
    pub(crate) alive: bool,
    pub(crate) draining: bool,
    pub(crate) ordered: Option<Role>,
    pub(crate) in_change: bool,
    pub(crate) incarnation: u64,
    pub(crate) cache: PrefixCache,
    /// When the engine has sent all KV cache that others fetch from it, in microseconds. A receiver
    /// takes part in several transfers at once.
    pub(crate) link_free: u64,
    waiting: BTreeMap<Turn, Pending>,
    imports: BTreeMap<Turn, Pending>,
    running: BinaryHeap<Reverse<Running>>,
    orders: u64,
    started: u32,
    blocks: u32,
    steps: u64,
    long_steps: u32,
    step: Option<Step>,
}

/// Order in which an engine serves: higher priority first, then in the order of arrival.
type Turn = (Reverse<u8>, u64);

#[derive(Debug)]
struct Pending {
    job: Job,
    /// Prompt tokens left to compute, once started.
    left: Option<u32>,
    blocks: u32,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Running {
    last_step: u64,
    call: usize,
    attempt: u32,
    first_step: u64,
    long_before: u32,
    blocks: u32,
}

#[derive(Debug)]
struct Step {
    long: bool,
    /// Sequences or exports whose prompt is complete at the step's end.
    complete: Vec<Pending>,
}

impl Engine {
    /// Prompts counted at most that go before a fetched sequence; bounds the work of a step.
    const MAX_AHEAD: usize = 64;

    pub(crate) fn new(name: Name, place: usize, role: Role) -> Self {
        Self {
            name,
            place,
            role,
            alive: true,
            draining: false,
            ordered: None,
            in_change: false,
            incarnation: 1,
            cache: PrefixCache::default(),
            link_free: 0,
            waiting: BTreeMap::new(),
            imports: BTreeMap::new(),
            running: BinaryHeap::new(),
            orders: 0,
            started: 0,
            blocks: 0,
            steps: 0,
            long_steps: 0,
            step: None,
        }
    }

    /// Whether the engine takes work; one that drains for a change does until it is idle, since
    /// daemons learn of the order late.
    pub(crate) fn accepts(&self, stage: Stage) -> bool {
        self.alive && !self.in_change && (stage == Stage::Export || self.role != Role::Prefill)
    }

    pub(crate) fn submit(&mut self, job: Job) {
        self.orders += 1;
        let pending = Pending {
            job,
            left: None,
            blocks: 0,
        };
        let turn = (Reverse(pending.job.priority), self.orders);
        match pending.job.stage {
            Stage::Import => self.imports.insert(turn, pending),
            Stage::Whole | Stage::Export => self.waiting.insert(turn, pending),
        };
    }

    /// Whether the engine holds no work and no KV cache that is still to be fetched.
    pub(crate) fn is_idle(&self) -> bool {
        self.step.is_none()
            && self.waiting.is_empty()
            && self.imports.is_empty()
            && self.running.is_empty()
            && self.blocks == 0
    }

    /// Releases the memory of an exported KV cache.
    pub(crate) fn release(&mut self, blocks: u32) {
        self.blocks = self.blocks.saturating_sub(blocks);
    }

    /// Starts a step when there is work and none is under way; returns its length in
    /// microseconds.
    pub(crate) fn start_step(&mut self, speeds: &Speeds) -> Option<u64> {
        if self.step.is_some() || !self.alive || self.in_change {
            return None;
        }
        let mut complete = self.join_imports(speeds);
        let sequences = self.running.len() + complete.len();
        let tokens = self.prefill(speeds, &mut complete);
        if sequences == 0 && tokens == 0 && complete.is_empty() {
            return None;
        }
        let decode_ms = if sequences > 0 {
            speeds.step_ms + speeds.step_ms_per_sequence * sequences as f64
        } else {
            0.0
        };
        let step_ms = decode_ms + speeds.prefill_ms(f64::from(tokens));
        self.step = Some(Step {
            long: step_ms > Speeds::GAP_LIMIT_MS,
            complete,
        });
        Some((step_ms * 1_000.0).ceil().max(1.0) as u64)
    }

    /// Takes sequences with a fetched KV cache into the batch, unless places are scarce and
    /// prompts with a higher priority wait for them.
    fn join_imports(&mut self, speeds: &Speeds) -> Vec<Pending> {
        let mut joined = Vec::new();
        while let Some(first) = self.imports.first_entry() {
            let blocks = Self::blocks_for(&first.get().job, speeds);
            let key = *first.key();
            let ahead = self.waiting.range(..key).take(Self::MAX_AHEAD);
            let ahead = ahead.filter(|(_, it)| it.left.is_none()).count();
            if !self.has_slot(joined.len() + ahead, speeds) || !self.reserve(blocks, speeds) {
                break;
            }
            if let Some(mut pending) = self.imports.remove(&key) {
                pending.blocks = blocks;
                joined.push(pending);
            }
        }
        joined
    }

    /// Computes up to one chunk of prompts and returns its tokens.
    fn prefill(&mut self, speeds: &Speeds, complete: &mut Vec<Pending>) -> u32 {
        let mut room = speeds.chunk_tokens as u32;
        let mut finished = Vec::new();
        let mut next = self.waiting.first_key_value().map(|(turn, _)| *turn);
        while let Some(turn) = next.filter(|_| room > 0) {
            let starts = self.waiting.get(&turn).is_some_and(|it| it.left.is_none());
            if starts && !self.start_prompt(turn, complete.len() + finished.len(), speeds) {
                break;
            }
            if let Some(left) = self.waiting.get_mut(&turn).and_then(|it| it.left.as_mut()) {
                let tokens = room.min(*left);
                room -= tokens;
                *left -= tokens;
                if *left == 0 {
                    finished.push(turn);
                }
            }
            let later = (Bound::Excluded(turn), Bound::Unbounded);
            next = self.waiting.range(later).next().map(|(turn, _)| *turn);
        }
        for turn in finished {
            if let Some(pending) = self.waiting.remove(&turn) {
                self.started -= 1;
                complete.push(pending);
            }
        }
        speeds.chunk_tokens as u32 - room
    }

    /// Reserves a slot and memory for a prompt and looks its prefix up in the cache.
    fn start_prompt(&mut self, turn: Turn, joining: usize, speeds: &Speeds) -> bool {
        let Some(job) = self.waiting.get(&turn).map(|pending| pending.job.clone()) else {
            return false;
        };
        let blocks = Self::blocks_for(&job, speeds);
        let needs_slot = job.stage == Stage::Whole;
        if (needs_slot && !self.has_slot(joining, speeds)) || !self.reserve(blocks, speeds) {
            return false;
        }
        let cached = job.prefix.map_or(0, |(prefix, tokens)| {
            self.cache.touch(prefix).min(tokens).min(job.prompt - 1)
        });
        if let Some(pending) = self.waiting.get_mut(&turn) {
            pending.left = Some(job.prompt - cached);
            pending.blocks = blocks;
        }
        self.started += 1;
        true
    }

    fn has_slot(&self, joining: usize, speeds: &Speeds) -> bool {
        self.running.len() + joining + (self.started as usize) < speeds.sequences as usize
    }

    fn reserve(&mut self, blocks: u32, speeds: &Speeds) -> bool {
        let capacity = speeds.capacity_blocks();
        if self.blocks + blocks > capacity {
            return false;
        }
        self.blocks += blocks;
        self.cache.shrink(capacity - self.blocks);
        true
    }

    /// Memory of a job, reserved up front; one that is larger than the cache runs alone.
    fn blocks_for(job: &Job, speeds: &Speeds) -> u32 {
        let tokens = match job.stage {
            Stage::Export => job.prompt,
            Stage::Whole | Stage::Import => job.prompt.saturating_add(job.output),
        };
        speeds.blocks(tokens).min(speeds.capacity_blocks())
    }

    /// Ends the step under way.
    pub(crate) fn end_step(&mut self, speeds: &Speeds) -> Vec<Product> {
        let Some(step) = self.step.take() else {
            return Vec::new();
        };
        let now = self.steps;
        self.steps += 1;
        self.long_steps += u32::from(step.long);
        let mut products = Vec::new();
        for pending in step.complete {
            products.push(self.complete_prompt(pending, now, speeds));
        }
        while self
            .running
            .peek()
            .is_some_and(|Reverse(first)| first.last_step <= now)
        {
            if let Some(Reverse(ended)) = self.running.pop() {
                self.release(ended.blocks);
                products.push(Product::Finished {
                    call: ended.call,
                    attempt: ended.attempt,
                    long_gaps: self.long_steps - ended.long_before,
                });
            }
        }
        products
    }

    fn complete_prompt(&mut self, pending: Pending, now: u64, speeds: &Speeds) -> Product {
        let Pending { job, blocks, .. } = pending;
        if let Some((prefix, tokens)) = job.prefix {
            let room = speeds.capacity_blocks().saturating_sub(self.blocks);
            self.cache
                .store(prefix, tokens, speeds.blocks(tokens), room);
        }
        let (call, attempt) = (job.call, job.attempt);
        if job.stage == Stage::Export {
            return Product::Exported {
                call,
                attempt,
                blocks,
            };
        }
        self.running.push(Reverse(Running {
            last_step: now + u64::from(job.output.max(1)) - 1,
            call,
            attempt,
            first_step: now,
            long_before: self.long_steps,
            blocks,
        }));
        Product::FirstToken { call, attempt }
    }

    /// Tokens and long gaps of an attempt that runs here.
    pub(crate) fn progress(&self, call: usize, attempt: u32) -> Option<(u32, u32)> {
        let mut running = self.running.iter();
        let Reverse(found) =
            running.find(|Reverse(it)| it.call == call && it.attempt == attempt)?;
        let tokens = (self.steps - found.first_step) as u32;
        Some((tokens, self.long_steps - found.long_before))
    }

    /// Drops everything and returns the calls that were on the engine.
    pub(crate) fn crash(&mut self) -> Vec<Lost> {
        let (steps, long_steps) = (self.steps, self.long_steps);
        let complete = self.step.take().map_or(Vec::new(), |step| step.complete);
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let imports = std::mem::take(&mut self.imports).into_values();
        let mut lost: Vec<_> = (waiting.chain(imports).chain(complete))
            .map(|pending| Lost {
                call: pending.job.call,
                attempt: pending.job.attempt,
                tokens: 0,
                long_gaps: 0,
            })
            .collect();
        let running = std::mem::take(&mut self.running).into_vec();
        lost.extend(running.into_iter().map(|Reverse(running)| Lost {
            call: running.call,
            attempt: running.attempt,
            tokens: (steps - running.first_step) as u32,
            long_gaps: long_steps - running.long_before,
        }));
        lost.sort_by_key(|lost| lost.call);
        self.alive = false;
        self.ordered = None;
        self.in_change = false;
        self.started = 0;
        self.blocks = 0;
        self.cache = PrefixCache::default();
        lost
    }

    /// What the engine reports of itself.
    pub(crate) fn load(&self, now_us: u64, speeds: &Speeds) -> Load {
        let queued = self.waiting.values();
        let queued = queued.map(|it| u64::from(it.left.unwrap_or(it.job.prompt)));
        let sequences = self.running.len() + self.imports.len();
        Load {
            adapters: Vec::new(),
            at_ms: now_us / 1_000,
            changing: self.ordered.is_some(),
            draining: self.draining,
            engine: self.name.clone(),
            incarnation: self.incarnation,
            kv_tokens: (f64::from(self.blocks) * speeds.block_tokens) as u64,
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
