//! Continuous batching: one thread runs decode steps with chunked prefill.

use std::mem;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use super::kv_cache::block_count;
use super::sequence::Sequence;
use super::shared::Shared;
use super::state::State;

/// Prefill chunk size in prompt tokens.
const CHUNK_TOKENS: u32 = 2_048;
/// Interval at which an idle engine checks for work without a notification.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Runs batch steps until the engine stops or crashes.
pub(super) fn run(shared: &Shared) {
    loop {
        let mut state = shared.lock();
        if state.crashed {
            return;
        }
        admit(&mut state, shared.settings.sequences_max);
        if state.running.is_empty() {
            drop(
                shared
                    .changed
                    .wait_timeout(state, IDLE_CHECK_INTERVAL)
                    .unwrap_or_else(PoisonError::into_inner),
            );
            continue;
        }
        if state
            .running
            .iter()
            .any(|sequence| sequence.has_crash_marker)
        {
            drop(state);
            shared.crash_on_request();
            return;
        }
        let chunk = prefill_chunk(&mut state);
        let duration = step_duration(shared, state.running.len(), chunk);
        drop(state);
        thread::sleep(duration);
        generate_tokens(&mut shared.lock());
    }
}

/// Moves waiting sequences into the batch, by priority and then by arrival, until the batch or the
/// KV cache is full.
fn admit(state: &mut State, sequences_max: usize) {
    state
        .waiting
        .sort_by_key(|sequence| u8::MAX - sequence.priority);
    while state.running.len() < sequences_max && !state.waiting.is_empty() {
        let first = &state.waiting[0];
        let tokens = u64::from(first.prompt_tokens) + u64::from(first.end_index);
        let Some(evicted) = state.cache.reserve(block_count(tokens)) else {
            return;
        };
        state.record_evicted(evicted);
        let mut sequence = state.waiting.remove(0);
        sequence.blocks = block_count(tokens);
        skip_cached_prefill(state, &mut sequence);
        state.running.push(sequence);
    }
}

/// Skips prefill for the tokens that a cached prefix or a KV import provides.
fn skip_cached_prefill(state: &mut State, sequence: &mut Sequence) {
    let cached = sequence
        .prefix
        .map_or(0, |prefix| state.cache.cached_tokens(prefix));
    let imported = state.imports.remove(&sequence.attempt).unwrap_or(0);
    let saved = cached.max(imported).min(sequence.prefill_left);
    sequence.prefill_left -= saved;
    state.work.saved_prefill_tokens += u64::from(saved);
}

/// Processes the next prefill chunk of the sequence with the highest priority and returns its size.
/// After the last chunk of a sequence, caches its prefix.
fn prefill_chunk(state: &mut State) -> u32 {
    let next = state
        .running
        .iter_mut()
        .filter(|sequence| sequence.prefill_left > 0)
        .min_by_key(|sequence| u8::MAX - sequence.priority);
    let Some(sequence) = next else {
        return 0;
    };
    let chunk = sequence.prefill_left.min(CHUNK_TOKENS);
    sequence.prefill_left -= chunk;
    let completed_prefix = sequence.prefix.filter(|_| sequence.prefill_left == 0);
    let tokens = sequence.prefix_tokens;
    if let Some(prefix) = completed_prefix {
        state.store_prefix(prefix, tokens);
    }
    chunk
}

fn step_duration(shared: &Shared, sequences: usize, chunk: u32) -> Duration {
    let settings = &shared.settings;
    let step = settings.step_us + settings.step_us_per_sequence * sequences as u64;
    let prefill = f64::from(chunk) / settings.prefill_tokens_per_second;
    Duration::from_micros(step) + Duration::from_secs_f64(prefill)
}

/// Generates the next token of every sequence whose prefill is complete, and removes the sequences
/// that have ended.
fn generate_tokens(state: &mut State) {
    let mut running = mem::take(&mut state.running);
    running.retain_mut(|sequence| {
        let is_kept = sequence.prefill_left > 0 || sequence.generate_token();
        if !is_kept {
            state.cache.release(sequence.blocks);
            if sequence.next_index >= sequence.end_index {
                state.work.finished += 1;
            } else {
                state.work.cancelled += 1;
            }
        }
        is_kept
    });
    state.running = running;
}
