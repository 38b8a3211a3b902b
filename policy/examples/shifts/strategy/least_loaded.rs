use ragwortgrade_policy::decision::{Cause, Decision, Dispatch, Reason, Refusal};
use ragwortgrade_policy::event::Event;
use ragwortgrade_policy::fleet::Member;
use ragwortgrade_policy::planner::Change;
use ragwortgrade_policy::{Instant, Request};
use ragwortgrade_schema::engine::{Load, Role, Want};

use super::Strategy;
use super::tracker::Tracker;

/// Sends each request to the least loaded engine by the latest report and the daemon's own
/// dispatches since; roles are fixed or follow a threshold on the queues.
#[derive(Debug)]
pub(crate) struct LeastLoaded {
    daemons: Vec<Tracker>,
    /// Prefill engines in each data centre at the start.
    prefill: Vec<usize>,
    /// Prompts up to this length are computed where they are decoded.
    in_place_tokens: u32,
    reactive: bool,
    routed: usize,
}

impl LeastLoaded {
    /// Queued prompt tokens for each prefill engine that call for another one: about half a
    /// second of work.
    const MANY_QUEUED: u64 = 10_000;
    /// Sequences for each decode engine that call for another one.
    const MANY_SEQUENCES: u64 = 96;

    pub(crate) fn fixed(daemons: usize, prefill: Vec<usize>, in_place_tokens: u32) -> Self {
        Self {
            daemons: vec![Tracker::default(); daemons],
            prefill,
            in_place_tokens,
            reactive: false,
            routed: 0,
        }
    }

    pub(crate) fn reactive(daemons: usize, places: usize) -> Self {
        Self {
            reactive: true,
            ..Self::fixed(daemons, vec![1; places], 0)
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
            prefill: prefill.map(|place| tracker.name(place)),
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

    /// Queue lengths for each engine of a role.
    fn pressure(members: &[Member], role: Role, length: impl Fn(&Load) -> u64) -> u64 {
        let of_role = || {
            members
                .iter()
                .filter(|it| it.load.role == role && !it.unavailable)
        };
        let total: u64 = of_role().map(|it| length(&it.load)).sum();
        total / (of_role().count() as u64).max(1)
    }
}

impl Strategy for LeastLoaded {
    fn initial_role(&self, place: usize, index: usize, _count: usize) -> Role {
        if index < self.prefill[place] {
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
            let Some(worker) = Tracker::least(&workers, daemon, |it| tracker.in_flight(it)) else {
                return Self::refuse();
            };
            tracker.note_running(worker, request.id);
            return Self::dispatch(worker, None, tracker, request.priority);
        }
        let engines = tracker.engines(request, false);
        let in_place = request.prompt_tokens <= self.in_place_tokens;
        let prefills = if in_place {
            Vec::new()
        } else {
            tracker.engines(request, true)
        };
        let prefill = Tracker::least(&prefills, start, |it| tracker.queued_tokens(it));
        let mixed = prefill.is_none() && !in_place;
        let score = |it| {
            if mixed {
                tracker.queued_tokens(it)
            } else {
                tracker.sequences(it)
            }
        };
        let Some(endpoint) = Tracker::least(&engines, start, score) else {
            return Self::refuse();
        };
        tracker.note_running(endpoint, request.id);
        match prefill {
            Some(place) => {
                tracker.note_prompt(place, request.prompt_tokens, now);
                tracker.note_prompt(endpoint, 0, now);
            }
            None => tracker.note_prompt(endpoint, request.prompt_tokens, now),
        }
        Self::dispatch(endpoint, prefill, tracker, request.priority)
    }

    fn plan(
        &mut self,
        _place: usize,
        _peers: &[usize],
        _part: f64,
        members: Vec<Member>,
        _now: Instant,
    ) -> Vec<Change> {
        if !self.reactive {
            return Vec::new();
        }
        let queued = Self::pressure(&members, Role::Prefill, |load| load.queued_prefill_tokens);
        let sequences = Self::pressure(&members, Role::Decode, |load| u64::from(load.sequences));
        let (from, want) = if queued > Self::MANY_QUEUED {
            (Role::Decode, Role::Prefill)
        } else if sequences > Self::MANY_SEQUENCES {
            (Role::Prefill, Role::Decode)
        } else {
            return Vec::new();
        };
        let free: Vec<_> = members
            .iter()
            .filter(|it| it.load.role == from && !it.unavailable && !it.ordered)
            .collect();
        let chosen = free
            .iter()
            .filter(|_| free.len() > 1)
            .min_by_key(|it| (it.load.sequences, it.load.queued_prefill_tokens));
        chosen
            .map(|member| Change {
                engine: member.load.engine.clone(),
                want: Want {
                    adapters: member.load.adapters.clone(),
                    models: member.load.models.clone(),
                    role: want,
                },
                reason: "queue over the threshold".to_owned(),
            })
            .into_iter()
            .collect()
    }
}
