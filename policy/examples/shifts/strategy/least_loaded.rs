use ragwortgrade_policy::decision::{Cause, Decision, Dispatch, Reason, Refusal};
use ragwortgrade_policy::event::Event;
use ragwortgrade_policy::fleet::Member;
use ragwortgrade_policy::planner::Change;
use ragwortgrade_policy::{Instant, Request};
use ragwortgrade_schema::engine::{Load, Role, Want};

use super::Strategy;
use super::tracker::Tracker;

/// Baseline that routes each request to the least loaded engine, by the latest load report and the
/// daemon's own dispatches since. Roles are fixed, or change when a queue exceeds a threshold.
#[derive(Debug)]
pub(crate) struct LeastLoaded {
    daemons: Vec<Tracker>,
    /// Number of prefill engines in each data centre at the start.
    prefill_counts: Vec<usize>,
    /// Longest prompt that uses local prefill, in tokens.
    local_prefill_tokens: u32,
    /// Whether roles change when a queue exceeds a threshold.
    is_reactive: bool,
    /// Number of routed requests; the search among equally loaded engines starts there.
    routed: usize,
}

impl LeastLoaded {
    /// Queued prompt tokens per prefill engine above which a decode engine becomes a prefill
    /// engine: about half a second of work.
    const PREFILL_QUEUE_THRESHOLD_TOKENS: u64 = 10_000;
    /// Sequences per decode engine above which a prefill engine becomes a decode engine.
    const DECODE_SEQUENCES_THRESHOLD: u64 = 96;

    pub(crate) fn fixed(
        daemons: usize,
        prefill_counts: Vec<usize>,
        local_prefill_tokens: u32,
    ) -> Self {
        Self {
            daemons: vec![Tracker::default(); daemons],
            prefill_counts,
            local_prefill_tokens,
            is_reactive: false,
            routed: 0,
        }
    }

    pub(crate) fn reactive(daemons: usize, data_centres: usize) -> Self {
        Self {
            is_reactive: true,
            ..Self::fixed(daemons, vec![1; data_centres], 0)
        }
    }

    fn dispatch(
        endpoint: usize,
        prefill: Option<usize>,
        tracker: &Tracker,
        priority: u8,
    ) -> Decision {
        Decision::Dispatch(Dispatch {
            endpoint: tracker.name(endpoint),
            prefill: prefill.map(|index| tracker.name(index)),
            priority,
            reason: Reason::LowestCost,
            alternatives: Vec::new(),
        })
    }

    fn refuse() -> Decision {
        Decision::Refuse(Refusal {
            cause: Cause::NoEndpoint,
            retry_after: None,
        })
    }

    /// Returns the mean of a load figure over the available engines of a role.
    fn mean_load(members: &[Member], role: Role, load_figure: impl Fn(&Load) -> u64) -> u64 {
        let of_role = || {
            members
                .iter()
                .filter(|it| it.load.role == role && !it.is_unavailable)
        };
        let total: u64 = of_role().map(|it| load_figure(&it.load)).sum();
        total / (of_role().count() as u64).max(1)
    }
}

impl Strategy for LeastLoaded {
    fn initial_role(&self, data_centre: usize, index: usize, _count: usize) -> Role {
        if index < self.prefill_counts[data_centre] {
            Role::Prefill
        } else {
            Role::Decode
        }
    }

    fn observe(&mut self, daemon: usize, event: &Event, _now: Instant) {
        self.daemons[daemon].observe(event);
    }

    fn route(&mut self, daemon: usize, request: &Request, now: Instant) -> Decision {
        self.routed += 1;
        let start = self.routed;
        let tracker = &mut self.daemons[daemon];
        if request.model.is_none() {
            let workers = tracker.workers(request);
            let Some(worker) = Tracker::least_loaded(&workers, daemon, |it| tracker.in_flight(it))
            else {
                return Self::refuse();
            };
            tracker.record_running(worker, request.id);
            return Self::dispatch(worker, None, tracker, request.priority);
        }
        let engines = tracker.engines(request, false);
        let is_local_prefill = request.prompt_tokens <= self.local_prefill_tokens;
        let prefills = if is_local_prefill {
            Vec::new()
        } else {
            tracker.engines(request, true)
        };
        let prefill = Tracker::least_loaded(&prefills, start, |it| tracker.queued_tokens(it));
        let is_mixed = prefill.is_none() && !is_local_prefill;
        let score = |it| {
            if is_mixed {
                tracker.queued_tokens(it)
            } else {
                tracker.sequences(it)
            }
        };
        let Some(endpoint) = Tracker::least_loaded(&engines, start, score) else {
            return Self::refuse();
        };
        tracker.record_running(endpoint, request.id);
        match prefill {
            Some(prefill) => {
                tracker.record_prompt(prefill, request.prompt_tokens, now);
                tracker.record_prompt(endpoint, 0, now);
            }
            None => tracker.record_prompt(endpoint, request.prompt_tokens, now),
        }
        Self::dispatch(endpoint, prefill, tracker, request.priority)
    }

    fn plan(
        &mut self,
        _data_centre: usize,
        _peers: &[usize],
        _fraction: f64,
        members: Vec<Member>,
        _now: Instant,
    ) -> Vec<Change> {
        if !self.is_reactive {
            return Vec::new();
        }
        let queued = Self::mean_load(&members, Role::Prefill, |load| load.queued_prefill_tokens);
        let sequences = Self::mean_load(&members, Role::Decode, |load| u64::from(load.sequences));
        let (from, want) = if queued > Self::PREFILL_QUEUE_THRESHOLD_TOKENS {
            (Role::Decode, Role::Prefill)
        } else if sequences > Self::DECODE_SEQUENCES_THRESHOLD {
            (Role::Prefill, Role::Decode)
        } else {
            return Vec::new();
        };
        let candidates: Vec<_> = members
            .iter()
            .filter(|it| it.load.role == from && !it.is_unavailable && !it.has_pending_order)
            .collect();
        let chosen = candidates
            .iter()
            .filter(|_| candidates.len() > 1)
            .min_by_key(|it| (it.load.sequences, it.load.queued_prefill_tokens));
        chosen
            .map(|member| Change {
                engine: member.load.engine.clone(),
                want: Want {
                    adapters: member.load.adapters.clone(),
                    models: member.load.models.clone(),
                    role: want,
                },
                reason: "the queue exceeds the threshold".to_owned(),
            })
            .into_iter()
            .collect()
    }
}
