use std::collections::HashMap;
use std::time::{Duration, Instant};

use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::{CacheKind, Load, Role, Version, Want};

use super::cache_log::CacheLog;
use super::kv_cache::KvCache;
use super::sequence::Sequence;
use super::{EngineFault, EngineSettings, WorkCounters};
use crate::http::unix_ms;

/// Mutable state of an engine.
#[derive(Debug)]
pub(super) struct State {
    pub(super) crashed: bool,
    pub(super) draining: bool,
    pub(super) role: Role,
    pub(super) models: Vec<Version>,
    pub(super) adapters: Vec<Version>,
    /// Target state of the order in progress.
    pub(super) change: Option<Want>,
    pub(super) last_fence: u64,
    pub(super) last_order: String,
    pub(super) waiting: Vec<Sequence>,
    pub(super) running: Vec<Sequence>,
    pub(super) cache: KvCache,
    pub(super) events: CacheLog,
    /// Number of exported prompt tokens, by handle.
    pub(super) exports: HashMap<String, u32>,
    /// Number of prompt tokens imported from other engines, by attempt.
    pub(super) imports: HashMap<String, u32>,
    pub(super) work: WorkCounters,
    pub(super) fault: EngineFault,
    /// Last report of `GET /load`, with the time at which it was created.
    report: Option<(Instant, Load)>,
}

impl State {
    pub(super) fn open(settings: &EngineSettings) -> Self {
        Self {
            crashed: false,
            draining: false,
            role: settings.role,
            models: versions(&settings.models),
            adapters: versions(&settings.adapters),
            change: None,
            last_fence: 0,
            last_order: String::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            cache: KvCache::open(settings.kv_tokens_max),
            events: CacheLog::open(
                Duration::from_millis(settings.cache_event_lag_ms),
                settings.cache_event_loss,
                settings.seed,
            ),
            exports: HashMap::new(),
            imports: HashMap::new(),
            work: WorkCounters::default(),
            fault: EngineFault::default(),
            report: None,
        }
    }

    /// Returns a current load report.
    pub(super) fn load(&self, name: &str, incarnation: u64) -> Load {
        let sequences = self.waiting.iter().chain(&self.running);
        Load {
            adapters: self.adapters.clone(),
            at_ms: unix_ms(),
            changing: self.change.is_some(),
            draining: self.draining,
            engine: Name::from(name),
            incarnation,
            kv_tokens: self.cache.used_tokens(),
            last_fence: self.last_fence,
            last_order: self.last_order.clone(),
            models: self.models.clone(),
            queued_prefill_tokens: sequences
                .map(|sequence| u64::from(sequence.prefill_left))
                .sum(),
            role: self.role,
            sequences: self.running.len() as u32,
        }
    }

    /// Returns a load report that may be up to `lag` old.
    pub(super) fn cached_load(&mut self, lag: Duration, name: &str, incarnation: u64) -> Load {
        if let Some((created_at, report)) = &self.report
            && created_at.elapsed() < lag
        {
            return report.clone();
        }
        let report = self.load(name, incarnation);
        self.report = Some((Instant::now(), report.clone()));
        report
    }

    /// Records cache events for evicted prefixes.
    pub(super) fn record_evicted(&mut self, evicted: Vec<(u64, u32)>) {
        for (prefix, tokens) in evicted {
            self.events.append(CacheKind::Evicted, prefix, tokens);
        }
    }

    /// Caches a prefix after its prefill and records the cache events.
    pub(super) fn store_prefix(&mut self, prefix: u64, tokens: u32) {
        let (is_new, evicted) = self.cache.store(prefix, tokens);
        if is_new {
            self.events.append(CacheKind::Stored, prefix, tokens);
        }
        self.record_evicted(evicted);
    }

    /// Removes an attempt from the queue and the batch, which breaks its stream.
    pub(super) fn cancel(&mut self, attempt: &str) {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|sequence| sequence.attempt != attempt);
        let cache = &mut self.cache;
        self.running.retain(|sequence| {
            let is_kept = sequence.attempt != attempt;
            if !is_kept {
                cache.release(sequence.blocks);
            }
            is_kept
        });
        self.work.cancelled += (before - self.waiting.len() - self.running.len()) as u64;
    }

    /// Removes all sequences, which breaks their streams, and returns their number.
    pub(super) fn interrupt_all(&mut self) -> u32 {
        let interrupted = self.waiting.len() + self.running.len();
        self.waiting.clear();
        for sequence in self.running.drain(..) {
            self.cache.release(sequence.blocks);
        }
        interrupted as u32
    }

    /// Returns whether a model or adapter with this name is loaded.
    pub(super) fn serves(&self, model: &str) -> bool {
        let mut names = self.models.iter().chain(&self.adapters);
        names.any(|version| version.name.as_str() == model)
    }
}

fn versions(texts: &[String]) -> Vec<Version> {
    let parse = |text: &String| {
        let (name, version) = text.split_once('@').unwrap_or((text, "1"));
        Version {
            name: Name::from(name),
            version: Name::from(version),
        }
    };
    texts.iter().map(parse).collect()
}
