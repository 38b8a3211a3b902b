use std::time::Duration;

use ragwortgrade_schema::Name;
use rand::RngExt as _;

use super::Router;
use super::choice::{Choice, RequestSize, StageCandidate};
use super::pools::Key;
use super::water_level::water_level;
use crate::decision::{Alternative, Cause, Decision, Dispatch, Reason, Refusal};
use crate::{Instant, Request};

impl Router {
    /// Engines sampled for each stage in this data centre and in the others, in addition to the
    /// holders of the prefix. Constant, so that the cost of a decision does not grow with the
    /// fleet.
    const PREFILL_SAMPLES: (usize, usize) = (4, 6);
    const DECODE_SAMPLES: (usize, usize) = (5, 6);
    /// Random part of a cost, in ms: about the error of an estimate from a report of 1 to 2.5 s
    /// ago. Without it, all daemons choose the engine that looks best.
    const TIE_BREAK_MS: f64 = 60.0;
    /// Penalty for one gap over the limit in one running sequence, in ms of waiting.
    const LONG_GAP_PENALTY_MS: f64 = 15.0;
    /// Growth of that penalty with the square of the fraction of the planned long gaps in use: once
    /// all are in use, a gap costs five times as much.
    const LONG_GAP_PENALTY_GROWTH: f64 = 4.0;
    /// Fraction of the permitted long gaps that routing plans to use.
    const LONG_GAP_BUDGET_FRACTION: f64 = 0.2;
    /// Fraction of the planned long gaps in use from which no more long prompts are prefilled
    /// locally, because each would exceed the gap limit for a whole batch. They are refused if no
    /// prefill engine can take them in time, but prefilled locally if there is no prefill engine.
    const LONG_GAP_USE_MAX: f64 = 1.0;
    /// Decode steps until the first token of a request whose prompt fits into one chunk or is
    /// already prefilled: on average half of the running step, then one of its own.
    const FIRST_TOKEN_STEPS: f64 = 1.5;
    /// Uncertainty of an engine's fullness because its report is old. A nearly full engine is
    /// charged the wait that it may already cause.
    const FULLNESS_UNCERTAINTY: f64 = 0.04;
    /// Multiple of the uncertainty above which softplus equals its argument.
    const SOFTPLUS_CUTOFF: f64 = 30.0;
    /// Weight of the time that a local prefill takes from a full batch.
    const BATCH_DELAY_WEIGHT: f64 = 20.0;
    /// Penalty for a full engine, in ms; balances the step times of the engines.
    const FULLNESS_PENALTY_MS: f64 = 60.0;
    /// Fraction of the queue that precedes a prompt that fits into one chunk. Longer prompts have a
    /// lower priority at the engine.
    const SHORT_PROMPT_QUEUE_FRACTION: f64 = 0.15;
    /// Time after which a refused request may be retried.
    const RETRY_AFTER: Duration = Duration::from_secs(2);
    /// Number of alternatives in the decision's log line.
    const ALTERNATIVES_MAX: usize = 4;

    pub(super) fn route_model(
        &mut self,
        request: &Request,
        model: &Name,
        now: Instant,
    ) -> Decision {
        let expected_tokens = self.outputs.expected(&request.service);
        let output_tokens_max = request.max_output_tokens.map_or(f64::MAX, f64::from);
        let size = RequestSize {
            model,
            prompt_tokens: f64::from(request.prompt_tokens),
            output_tokens: expected_tokens.min(output_tokens_max),
        };
        let choices = self.choices(request, size, now);
        let prefill_tokens = choices.first().map_or(size.prompt_tokens, |it| it.tokens);
        self.demand
            .record_arrival(model, prefill_tokens, size.output_tokens, now);
        let Some(best) = choices.first().copied() else {
            self.demand.record_missed(model, now);
            return Self::refuse(Cause::NoEndpoint);
        };
        let remaining_ms = request.deadline.since(now).as_secs_f64() * 1_000.0;
        let deadline_fraction = self.shares.deadline_fraction(&request.service, now);
        if best.first_token_ms > remaining_ms * deadline_fraction {
            self.demand.record_missed(model, now);
            self.shares.record_missed(&request.service, now);
            return Self::refuse(Cause::DeadlineUnreachable);
        }
        self.record_dispatch(request, &best, size, now);
        Decision::Dispatch(self.build_dispatch(request, &choices))
    }

    fn refuse(cause: Cause) -> Decision {
        Decision::Refuse(Refusal {
            cause,
            retry_after: Some(Self::RETRY_AFTER),
        })
    }

    /// Returns all ways to serve the request with the sampled engines, cheapest first.
    fn choices(&mut self, request: &Request, size: RequestSize<'_>, now: Instant) -> Vec<Choice> {
        let decodes = self.decode_candidates(request, size, now);
        let prefills = self.prefill_candidates(request, size, now);
        let mut choices: Vec<_> = decodes
            .iter()
            .map(|decode| self.local_prefill(decode, size, now))
            .collect();
        if let Some(decode) = decodes
            .iter()
            .min_by(|left, right| left.wait_ms.total_cmp(&right.wait_ms))
        {
            let remote = |prefill| self.remote_prefill(prefill, decode, size);
            choices.extend(prefills.iter().map(remote));
        }
        // Without any prefill engine, a long prompt is prefilled locally in spite of the gap limit:
        // late tokens are worth more to callers than refusals.
        if choices.iter().any(|choice| choice.is_within_gap_limit) {
            choices.retain(|choice| choice.is_within_gap_limit);
        }
        choices.sort_by(|left, right| left.cost_ms().total_cmp(&right.cost_ms()));
        choices
    }

    fn sample(&mut self, request: &Request, key: &Key, counts: (usize, usize)) -> Vec<usize> {
        let mut sample = Vec::with_capacity(counts.0 + counts.1 + 4);
        self.pools
            .sample(key, counts, &mut self.random, &mut sample);
        let holders = request
            .prefix
            .map_or(&[][..], |it| self.prefixes.holders(it));
        for holder in holders {
            if !sample.contains(&holder.engine) && self.pools.contains(holder.engine, key) {
                sample.push(holder.engine);
            }
        }
        if !request.avoid.is_empty() {
            sample.retain(|slot| {
                let id = &self.candidates[*slot].endpoint.id;
                !request.avoid.contains(id)
            });
        }
        sample
    }

    /// Returns the prompt tokens that an engine has cached.
    fn cached_tokens(&self, request: &Request, slot: usize) -> f64 {
        let holders = request
            .prefix
            .map_or(&[][..], |it| self.prefixes.holders(it));
        let matching_holder = holders.iter().find(|holder| holder.engine == slot);
        let tokens = matching_holder.map_or(0, |holder| holder.tokens.min(request.prefix_tokens));
        f64::from(tokens.min(request.prompt_tokens.saturating_sub(1)))
    }

    /// Returns the amount that the other daemons send to the sampled engines in `age_ms`.
    fn peer_traffic(&self, own_per_ms: f64, age_ms: f64, key: &Key, sampled: usize) -> f64 {
        let sampled_fraction = sampled as f64 / self.pools.len(key).max(1) as f64;
        own_per_ms * f64::from(self.daemons - 1) * age_ms * sampled_fraction
    }

    /// Returns the sampled prefill engines with their queues.
    fn prefill_candidates(
        &mut self,
        request: &Request,
        size: RequestSize<'_>,
        now: Instant,
    ) -> Vec<StageCandidate> {
        let key = Key::Prefill(size.model.clone());
        let sample = self.sample(request, &key, Self::PREFILL_SAMPLES);
        let age = |slot: &usize| self.candidates[*slot].age_ms(now);
        let mean_age = sample.iter().map(age).sum::<f64>() / sample.len().max(1) as f64;
        let own_per_ms = self.traffic.prefill.per_ms(now);
        let peer_traffic = self.peer_traffic(own_per_ms, mean_age, &key, sample.len());
        let queued: Vec<_> = sample
            .iter()
            .map(|slot| self.candidates[*slot].queued_tokens())
            .collect();
        let level = water_level(&queued, peer_traffic, &mut Vec::new());
        let mut candidates = Vec::with_capacity(sample.len());
        for (slot, queued) in sample.into_iter().zip(queued) {
            let processed_tokens =
                self.candidates[slot].age_ms(now) * self.cost.prefill_tokens_per_ms;
            let queued_tokens = (queued.max(level) - processed_tokens).max(0.0);
            let cached = self.cached_tokens(request, slot);
            let tokens = size.prompt_tokens - cached;
            let tie_break = self.random.random::<f64>() * Self::TIE_BREAK_MS;
            let wait_ms = self.queue_ms(queued_tokens, tokens);
            candidates.push(StageCandidate {
                slot,
                wait_ms: wait_ms + self.round_trip_ms(slot) + tie_break,
                tokens,
                is_cached: cached > 0.0,
                sequences: 0.0,
                fullness: 0.0,
                queued_tokens,
            });
        }
        candidates
    }

    /// Returns the wait behind `queued` tokens. Short prompts overtake longer ones at the next
    /// chunk.
    fn queue_ms(&self, queued: f64, tokens: f64) -> f64 {
        let all_ms = self.cost.prefill_ms(queued);
        if tokens > self.cost.chunk_tokens {
            return all_ms;
        }
        let chunk_ms = self.cost.prefill_ms(self.cost.chunk_tokens);
        all_ms.min(chunk_ms / 2.0 + all_ms * Self::SHORT_PROMPT_QUEUE_FRACTION)
    }

    /// Returns the sampled decode engines with the wait for a place in their batches.
    fn decode_candidates(
        &mut self,
        request: &Request,
        size: RequestSize<'_>,
        now: Instant,
    ) -> Vec<StageCandidate> {
        let key = Key::Decode(size.model.clone());
        let sample = self.sample(request, &key, Self::DECODE_SAMPLES);
        let age = |slot: &usize| self.candidates[*slot].age_ms(now);
        let mean_age = sample.iter().map(age).sum::<f64>() / sample.len().max(1) as f64;
        let own_per_ms = self.traffic.sequences.per_ms(now);
        let peer_traffic = self.peer_traffic(own_per_ms, mean_age, &key, sample.len());
        let fullness = |slot: &usize| self.candidates[*slot].fullness(&self.cost);
        let mut levels: Vec<_> = sample.iter().map(fullness).collect();
        let total_sequences: f64 = levels.iter().sum::<f64>() * self.cost.sequences_max;
        // In the whole fleet, about as many sequences end as start.
        let remaining_fraction = (1.0 - peer_traffic / total_sequences.max(1.0)).max(0.0);
        for level in &mut levels {
            *level *= remaining_fraction;
        }
        let level = water_level(
            &levels,
            peer_traffic / self.cost.sequences_max,
            &mut Vec::new(),
        );
        let mut candidates = Vec::with_capacity(sample.len());
        for (slot, fullness) in sample.into_iter().zip(levels) {
            let fullness = fullness.max(level);
            let cached = self.cached_tokens(request, slot);
            let tie_break = self.random.random::<f64>() * Self::TIE_BREAK_MS;
            let wait_ms = self.batch_wait_ms(fullness, size)
                + Self::FULLNESS_PENALTY_MS * fullness * fullness;
            candidates.push(StageCandidate {
                slot,
                wait_ms: wait_ms + self.round_trip_ms(slot) + tie_break,
                tokens: size.prompt_tokens - cached,
                is_cached: cached > 0.0,
                sequences: self.candidates[slot]
                    .sequences()
                    .min(self.cost.sequences_max),
                fullness,
                queued_tokens: self.local_prefill_queue_tokens(slot, now),
            });
        }
        candidates
    }

    /// Returns the wait for a place in the batch of an engine, in ms.
    fn batch_wait_ms(&self, fullness: f64, size: RequestSize<'_>) -> f64 {
        let scaled_excess = (fullness - 1.0) / Self::FULLNESS_UNCERTAINTY;
        // Softplus: a smooth positive part that approaches its argument for large values.
        let softplus = if scaled_excess > Self::SOFTPLUS_CUTOFF {
            scaled_excess
        } else {
            scaled_excess.exp().ln_1p()
        };
        let excess = Self::FULLNESS_UNCERTAINTY * softplus;
        excess * size.output_tokens * self.cost.decode_step_ms(self.cost.sequences_max)
    }

    /// Returns the prompt tokens still queued on a decode engine.
    fn local_prefill_queue_tokens(&self, slot: usize, now: Instant) -> f64 {
        let candidate = &self.candidates[slot];
        let step_ms = self.cost.decode_step_ms(candidate.sequences());
        let chunk_ms = self.cost.prefill_ms(self.cost.chunk_tokens);
        let tokens_per_ms = self.cost.chunk_tokens / (chunk_ms + step_ms);
        (candidate.queued_tokens() - candidate.age_ms(now) * tokens_per_ms).max(0.0)
    }

    /// Returns the choice to prefill on the engine that decodes.
    fn local_prefill(
        &self,
        decode: &StageCandidate,
        size: RequestSize<'_>,
        now: Instant,
    ) -> Choice {
        let step_ms = self.cost.decode_step_ms(decode.sequences);
        let budget = self.cost.step_budget_tokens(decode.sequences);
        let tokens = decode.tokens + decode.queued_tokens;
        let chunks = (tokens / self.cost.chunk_tokens).floor();
        let key = Key::Decode(size.model.clone());
        let engines = self.pools.len(&key).max(1) as f64;
        let daemons_per_engine = f64::from(self.daemons) / engines;
        let tokens_per_step = self.traffic.local_prefill.per_ms(now) * daemons_per_engine * step_ms;
        let spare_tokens = budget - tokens;
        let long_steps = if spare_tokens <= 0.0 {
            (decode.tokens / self.cost.chunk_tokens).ceil()
        } else {
            (tokens_per_step / spare_tokens).min(1.0)
        };
        let long_steps_per_ms_max =
            self.cost.long_gap_fraction * Self::LONG_GAP_BUDGET_FRACTION / step_ms;
        let budget_use =
            self.traffic.long_steps.per_ms(now) * daemons_per_engine / long_steps_per_ms_max;
        let penalty_ms = Self::LONG_GAP_PENALTY_MS
            * (1.0 + Self::LONG_GAP_PENALTY_GROWTH * budget_use * budget_use);
        let batch_delay_ms = self.cost.prefill_ms(decode.tokens)
            * decode.fullness.powi(4)
            * Self::BATCH_DELAY_WEIGHT;
        Choice {
            endpoint: decode.slot,
            prefill: None,
            tokens: decode.tokens,
            is_cached: decode.is_cached,
            first_token_ms: decode.wait_ms
                + step_ms * (Self::FIRST_TOKEN_STEPS + chunks)
                + self.cost.prefill_ms(tokens),
            gap_penalty_ms: long_steps * decode.sequences * penalty_ms + batch_delay_ms,
            long_steps,
            is_within_gap_limit: long_steps < 1.0 || budget_use < Self::LONG_GAP_USE_MAX,
        }
    }

    /// Returns the choice to prefill on another engine than the one that decodes.
    fn remote_prefill(
        &self,
        prefill: &StageCandidate,
        decode: &StageCandidate,
        size: RequestSize<'_>,
    ) -> Choice {
        let transfer_ms = self.cost.transfer_ms(size.prompt_tokens.min(decode.tokens));
        let step_ms = self.cost.decode_step_ms(decode.sequences);
        Choice {
            endpoint: decode.slot,
            prefill: Some(prefill.slot),
            tokens: prefill.tokens,
            is_cached: prefill.is_cached,
            first_token_ms: prefill.wait_ms
                + self.cost.prefill_ms(prefill.tokens)
                + transfer_ms
                + decode.wait_ms
                + step_ms * Self::FIRST_TOKEN_STEPS,
            gap_penalty_ms: 0.0,
            long_steps: 0.0,
            is_within_gap_limit: true,
        }
    }

    /// Records the dispatch of a request by the cheapest choice.
    fn record_dispatch(
        &mut self,
        request: &Request,
        best: &Choice,
        size: RequestSize<'_>,
        now: Instant,
    ) {
        let kv_tokens = size.prompt_tokens + size.output_tokens;
        self.traffic.sequences.add(1.0, now);
        if let Some(prefill) = best.prefill {
            self.traffic.prefill.add(best.tokens, now);
            self.candidates[prefill].record_dispatch(now, best.tokens, 0.0, 0.0);
            // The sequence reaches the decode engine only after the prefill and the transfer.
            let joins_at = now + Duration::from_secs_f64(best.first_token_ms.max(0.0) / 1_000.0);
            self.candidates[best.endpoint].record_dispatch(joins_at, 0.0, kv_tokens, 1.0);
        } else {
            self.traffic.local_prefill.add(best.tokens, now);
            self.traffic.long_steps.add(best.long_steps, now);
            self.candidates[best.endpoint].record_dispatch(now, best.tokens, kv_tokens, 1.0);
        }
        let engine_ms =
            self.cost.prefill_ms(best.tokens) + size.output_tokens * self.cost.output_token_ms();
        self.shares.record_use(&request.service, engine_ms, now);
        self.begin(request, best.endpoint, best.prefill);
    }

    fn build_dispatch(&self, request: &Request, choices: &[Choice]) -> Dispatch {
        let best = &choices[0];
        let reason = match best {
            _ if choices.len() == 1 => Reason::OnlyCandidate,
            Choice {
                is_cached: true, ..
            } => Reason::CachedPrefix,
            Choice {
                prefill: Some(_), ..
            } => Reason::SplitPrefill,
            _ => Reason::LowestCost,
        };
        let alternatives = choices.iter().take(Self::ALTERNATIVES_MAX);
        Dispatch {
            endpoint: self.endpoint_id(best.endpoint),
            prefill: best.prefill.map(|slot| self.endpoint_id(slot)),
            priority: self.engine_priority(request.priority, best.tokens),
            reason,
            alternatives: alternatives
                .map(|choice| Alternative {
                    endpoint: self.endpoint_id(choice.prefill.unwrap_or(choice.endpoint)),
                    cost_ms: choice.cost_ms() as f32,
                })
                .collect(),
        }
    }

    /// Returns the priority at the engine; the higher number goes first. The declared priority
    /// decides; within it, prompts that fit into one chunk precede longer ones, so that they
    /// overtake at the next chunk.
    ///
    /// Finer classes by length starve the longest prompts of a class.
    fn engine_priority(&self, declared: u8, tokens: f64) -> u8 {
        let short = u8::from(tokens <= self.cost.chunk_tokens);
        declared.min(u8::MAX / 2) * 2 + short
    }
}
