use std::sync::Arc;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::event::{Endpoint, Event};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::Load;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::call::{Call, Outcome};
use crate::deployment::Deployment;
use crate::engine::Engine;
use crate::event_queue::EventQueue;
use crate::faults::Faults;
use crate::job::Job;
use crate::parameters::Parameters;
use crate::score::Score;
use crate::strategy::Strategy;
use crate::trace::{Kind, Trace};
use crate::worker::Worker;

mod calls;
mod endpoints;
mod failures;
mod reports;

/// Inputs of a run other than the strategy.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) deployment: Deployment,
    pub(crate) parameters: Parameters,
    pub(crate) faults: Faults,
    pub(crate) trace: Arc<Trace>,
    pub(crate) seed: u64,
}

impl Setup {
    /// Fraction of the calls that arrive in each data centre. They are uneven so that routing to
    /// another data centre pays off.
    const DATA_CENTRE_FRACTIONS: [f64; 3] = [0.4, 0.33, 0.27];

    /// Returns the index of the daemon that receives each call.
    pub(crate) fn daemons(&self) -> Vec<usize> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let pick = |_| {
            let fraction: f64 = rng.random();
            let data_centre = usize::from(fraction >= Self::DATA_CENTRE_FRACTIONS[0])
                + usize::from(
                    fraction >= Self::DATA_CENTRE_FRACTIONS[0] + Self::DATA_CENTRE_FRACTIONS[1],
                );
            data_centre * Deployment::DAEMONS + rng.random_range(0..Deployment::DAEMONS)
        };
        (0..self.trace.rows.len()).map(pick).collect()
    }
}

/// Discrete-event simulation of one strategy on a trace.
pub(crate) struct Simulation<'a> {
    setup: &'a Setup,
    strategy: &'a mut dyn Strategy,
    now_us: u64,
    event_queue: EventQueue<SimEvent>,
    engines: Vec<Engine>,
    workers: Vec<Worker>,
    calls: Vec<Call>,
    /// Latest load report of each engine that has reached its own data centre; input of the
    /// planners.
    latest_loads: Vec<Option<Load>>,
    rng: ChaCha8Rng,
    is_partitioned: bool,
    has_crashed_in_role_change: bool,
    open_calls: usize,
    score: Score,
}

/// Event of the simulation.
#[derive(Debug)]
enum SimEvent {
    Arrival(usize),
    Route {
        call: usize,
        attempt: u32,
    },
    JobAtEngine {
        engine: usize,
        job: Job,
    },
    StepEnd {
        engine: usize,
        incarnation: u64,
    },
    KvCacheFetched {
        from: usize,
        incarnation: u64,
        blocks: u32,
        to: usize,
        job: Job,
    },
    JobAtWorker {
        worker: usize,
        job: Job,
    },
    PlainCallEnd {
        worker: usize,
        job: Job,
    },
    Deliver {
        daemon: usize,
        event: Event,
    },
    Broadcast {
        event: Event,
        data_centre: Option<usize>,
    },
    SampleLoads,
    LoadReport {
        engine: usize,
        load: Load,
        observed_us: u64,
        is_local: bool,
    },
    Plan,
    RoleChangeEnd {
        engine: usize,
        incarnation: u64,
    },
    Crash(usize),
    /// Crash of this engine, unless an engine has crashed during a role change.
    FallbackCrash(usize),
    Restart(usize),
    Partition(bool),
    Withdraw,
}

impl<'a> Simulation<'a> {
    /// Time after the last arrival when calls that are still open count as late, in milliseconds.
    const GRACE_MS: u64 = 180_000;
    /// Interval between runs of the planners, in microseconds.
    const PLAN_INTERVAL_US: u64 = 1_000_000;

    pub(crate) fn new(setup: &'a Setup, strategy: &'a mut dyn Strategy) -> Self {
        let mut engines = Vec::new();
        for (place, count) in setup.deployment.engines.iter().enumerate() {
            for index in 0..*count {
                let name = Name::from(format!("engine-{place}-{index}"));
                let role = strategy.initial_role(place, index, *count);
                engines.push(Engine::new(name, place, role));
            }
        }
        let daemons = setup.daemons();
        let calls: Vec<_> = daemons
            .into_iter()
            .map(|daemon| Call {
                daemon,
                ..Call::default()
            })
            .collect();
        let worker_count = setup.deployment.engines.len() * Deployment::WORKERS;
        Self {
            now_us: 0,
            event_queue: EventQueue::new(),
            latest_loads: vec![None; engines.len()],
            workers: (0..worker_count).map(|_| Worker::default()).collect(),
            rng: ChaCha8Rng::seed_from_u64(setup.seed ^ 1),
            is_partitioned: false,
            has_crashed_in_role_change: false,
            open_calls: calls.len(),
            score: Score::default(),
            calls,
            engines,
            strategy,
            setup,
        }
    }

    /// Runs until all calls are closed or the grace period ends.
    pub(crate) fn run(mut self) -> Score {
        self.announce();
        self.schedule_faults();
        for (call, row) in self.setup.trace.rows.iter().enumerate() {
            self.event_queue.schedule(
                row.at_ms * 1_000 + Deployment::CALLER_DELAY_US,
                SimEvent::Arrival(call),
            );
        }
        let end = (self.setup.trace.length_ms() + Self::GRACE_MS) * 1_000;
        while let Some((at, sim_event)) = self.event_queue.pop() {
            if self.open_calls == 0 || at > end {
                break;
            }
            self.now_us = at;
            self.handle(sim_event);
        }
        for call in 0..self.calls.len() {
            self.close(call, Outcome::Late);
        }
        self.score
    }

    fn handle(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Arrival(call) => self.route(call),
            SimEvent::Route { call, attempt } => {
                if self.calls[call].attempt == attempt {
                    self.route(call);
                }
            }
            SimEvent::JobAtEngine { engine, job } => self.submit_to_engine(engine, job),
            SimEvent::StepEnd {
                engine,
                incarnation,
            } => self.complete_step(engine, incarnation),
            SimEvent::KvCacheFetched {
                from,
                incarnation,
                blocks,
                to,
                job,
            } => {
                self.release_export(from, incarnation, blocks);
                self.submit_to_engine(to, job);
            }
            SimEvent::JobAtWorker { worker, job } => self.submit_to_worker(worker, job),
            SimEvent::PlainCallEnd { worker, job } => self.complete_plain_call(worker, &job),
            SimEvent::Deliver { daemon, event } => self.deliver(daemon, &event),
            SimEvent::Broadcast { event, data_centre } => self.broadcast(&event, data_centre),
            SimEvent::SampleLoads => self.sample_loads(),
            SimEvent::LoadReport {
                engine,
                load,
                observed_us,
                is_local,
            } => {
                self.deliver_load(engine, load, observed_us, is_local);
            }
            SimEvent::Plan => self.run_planners(),
            SimEvent::RoleChangeEnd {
                engine,
                incarnation,
            } => self.complete_role_change(engine, incarnation),
            SimEvent::Crash(engine) => self.crash(engine),
            SimEvent::FallbackCrash(engine) => {
                if !self.has_crashed_in_role_change {
                    self.crash(engine);
                }
            }
            SimEvent::Restart(engine) => self.restart(engine),
            SimEvent::Partition(begins) => self.set_partition(begins),
            SimEvent::Withdraw => self.withdraw(),
        }
    }

    fn instant(&self) -> Instant {
        Instant::from_micros(self.now_us)
    }

    fn daemon_count(&self) -> usize {
        self.setup.deployment.engines.len() * Deployment::DAEMONS
    }

    fn deliver(&mut self, daemon: usize, event: &Event) {
        let now = self.instant();
        self.strategy.observe(daemon, event, now);
    }

    /// Delivers an event to the daemons of one data centre, or to all daemons for `None`.
    fn broadcast(&mut self, event: &Event, data_centre: Option<usize>) {
        for daemon in 0..self.daemon_count() {
            if data_centre.is_none_or(|data_centre| data_centre == Self::data_centre_of(daemon)) {
                self.deliver(daemon, event);
            }
        }
    }

    fn data_centre_of(daemon: usize) -> usize {
        daemon / Deployment::DAEMONS
    }

    /// Returns whether a partition currently separates two data centres.
    fn are_partitioned(&self, left: usize, right: usize) -> bool {
        let last = self.setup.deployment.engines.len() - 1;
        self.is_partitioned && (left == last) != (right == last)
    }

    /// Returns the one-way network delay between two data centres or inside one.
    fn one_way_delay_us(&self, left: usize, right: usize) -> u64 {
        if left == right {
            Deployment::LOCAL_DELAY_US
        } else {
            self.setup.deployment.data_centre_delay_us
        }
    }

    /// Sends the configuration, the number of daemons, the endpoints and first load reports to all
    /// daemons, and starts the periodic reports and planner runs.
    fn announce(&mut self) {
        let configuration = Arc::new(self.setup.deployment.configuration(&self.setup.trace));
        let count = self.daemon_count() as u32;
        self.broadcast(&Event::Configured(configuration), None);
        self.broadcast(&Event::Daemons { count }, None);
        for engine in 0..self.engines.len() {
            let joined = Event::Joined(self.endpoint(engine));
            self.broadcast(&joined, None);
            let load = self.engines[engine].load(0, &self.setup.parameters);
            self.deliver_load(engine, load.clone(), 0, true);
            self.deliver_load(engine, load, 0, false);
        }
        self.announce_workers();
        self.event_queue.schedule(0, SimEvent::SampleLoads);
        self.event_queue
            .schedule(Self::PLAN_INTERVAL_US, SimEvent::Plan);
    }

    fn announce_workers(&mut self) {
        let rows = self.setup.trace.rows.iter();
        let mut services: Vec<_> = rows
            .filter(|row| row.kind == Kind::Plain)
            .map(|row| row.service.clone())
            .collect();
        services.sort();
        services.dedup();
        for worker in 0..self.workers.len() {
            for service in &services {
                let joined = Event::Joined(Endpoint {
                    id: Self::worker_name(worker, service),
                    data_centre: Deployment::data_centre_name(worker / Deployment::WORKERS),
                    service: Some(service.clone()),
                });
                self.broadcast(&joined, None);
            }
        }
    }

    fn worker_name(worker: usize, service: &str) -> Name {
        Name::from(format!("worker-{worker}/{service}"))
    }

    fn endpoint(&self, engine: usize) -> Endpoint {
        Endpoint {
            id: self.engines[engine].name.clone(),
            data_centre: Deployment::data_centre_name(self.engines[engine].data_centre),
            service: None,
        }
    }
}
