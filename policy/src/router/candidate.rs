use std::collections::VecDeque;

use ragwortgrade_schema::engine::{Load, Role};

use crate::event::Endpoint;
use crate::{CostModel, Instant};

/// An endpoint's latest load report and this daemon's dispatches since then.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) endpoint: Endpoint,
    /// Latest load report.
    pub(super) load: Option<Load>,
    /// Time of that report.
    pub(super) observed: Instant,
    pub(super) is_leaving: bool,
    /// Whether the endpoint has left. Its slot is free once its last request has ended.
    pub(super) has_departed: bool,
    pub(super) is_reachable: bool,
    /// This daemon's requests that run or are queued here.
    pub(super) in_flight: u32,
    /// This daemon's dispatches that the latest report does not include.
    recent: VecDeque<RecentDispatch>,
}

/// A dispatch that the latest report does not include.
#[derive(Clone, Copy, Debug)]
struct RecentDispatch {
    /// Time at which its work reaches the engine: for the decode engine of a remote prefill, after
    /// the prefill and the transfer.
    at: Instant,
    prompt_tokens: f64,
    kv_tokens: f64,
    sequences: f64,
}

impl Candidate {
    /// Maximum number of recorded dispatches; bounds memory when reports stop.
    const RECENT_MAX: usize = 512;

    pub(super) fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            load: None,
            observed: Instant::default(),
            is_leaving: false,
            has_departed: false,
            is_reachable: true,
            in_flight: 0,
            recent: VecDeque::new(),
        }
    }

    /// Replaces the load report unless a later one is known.
    pub(super) fn update_load(&mut self, load: Load, observed: Instant) {
        if observed < self.observed && self.load.is_some() {
            return;
        }
        self.recent.retain(|dispatch| dispatch.at > observed);
        self.load = Some(load);
        self.observed = observed;
    }

    pub(super) fn record_dispatch(
        &mut self,
        at: Instant,
        prompt_tokens: f64,
        kv_tokens: f64,
        sequences: f64,
    ) {
        if self.recent.len() >= Self::RECENT_MAX {
            self.recent.pop_front();
        }
        self.recent.push_back(RecentDispatch {
            at,
            prompt_tokens,
            kv_tokens,
            sequences,
        });
    }

    /// Returns the role in which the engine accepts new work, or `None` if it accepts none.
    pub(super) fn available_role(&self) -> Option<Role> {
        let load = self.load.as_ref()?;
        let is_available = self.is_available() && !load.draining && !load.changing;
        is_available.then_some(load.role)
    }

    pub(super) fn is_available(&self) -> bool {
        !self.is_leaving && self.is_reachable
    }

    pub(super) fn age_ms(&self, now: Instant) -> f64 {
        now.since(self.observed).as_secs_f64() * 1_000.0
    }

    /// Returns the prompt tokens queued at the latest report plus those dispatched by this daemon
    /// since.
    pub(super) fn queued_tokens(&self) -> f64 {
        let unreported: f64 = self
            .recent
            .iter()
            .map(|dispatch| dispatch.prompt_tokens)
            .sum();
        unreported
            + self
                .load
                .as_ref()
                .map_or(0.0, |load| load.queued_prefill_tokens as f64)
    }

    /// Returns the sequences at the latest report plus those dispatched by this daemon since.
    pub(super) fn sequences(&self) -> f64 {
        let unreported: f64 = self.recent.iter().map(|dispatch| dispatch.sequences).sum();
        unreported
            + self
                .load
                .as_ref()
                .map_or(0.0, |load| f64::from(load.sequences))
    }

    /// Returns the utilization of the scarcest resource of a decode engine, as a fraction of its
    /// capacity.
    pub(super) fn fullness(&self, cost: &CostModel) -> f64 {
        let unreported: f64 = self.recent.iter().map(|dispatch| dispatch.kv_tokens).sum();
        let reported = self.load.as_ref().map_or(0.0, |load| load.kv_tokens as f64);
        let memory = (unreported + reported) / cost.kv_capacity_tokens;
        memory.max(self.sequences() / cost.sequences_max)
    }
}
