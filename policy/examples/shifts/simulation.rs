use std::sync::Arc;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::event::{Endpoint, Event};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::Load;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::calendar::Calendar;
use crate::call::{Call, Verdict};
use crate::deployment::Deployment;
use crate::engine::Engine;
use crate::faults::Faults;
use crate::job::Job;
use crate::score::Score;
use crate::speeds::Speeds;
use crate::strategy::Strategy;
use crate::trace::{Kind, Trace};
use crate::worker::Worker;

mod calls;
mod endpoints;
mod failures;
mod reports;

/// Everything that a run needs besides the strategy.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) deployment: Deployment,
    pub(crate) speeds: Speeds,
    pub(crate) faults: Faults,
    pub(crate) trace: Arc<Trace>,
    pub(crate) seed: u64,
}

impl Setup {
    /// Part of the calls that reach each data centre; the uneven parts make crossing worthwhile.
    const PARTS: [f64; 3] = [0.4, 0.33, 0.27];

    /// Daemon that receives each call.
    pub(crate) fn daemons(&self) -> Vec<usize> {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let pick = |_| {
            let part: f64 = random.random();
            let place = usize::from(part >= Self::PARTS[0])
                + usize::from(part >= Self::PARTS[0] + Self::PARTS[1]);
            place * Deployment::DAEMONS + random.random_range(0..Deployment::DAEMONS)
        };
        (0..self.trace.rows.len()).map(pick).collect()
    }
}

/// One run of a strategy over a trace in virtual time.
pub(crate) struct Simulation<'a> {
    setup: &'a Setup,
    strategy: &'a mut dyn Strategy,
    now: u64,
    calendar: Calendar<What>,
    engines: Vec<Engine>,
    workers: Vec<Worker>,
    calls: Vec<Call>,
    /// Reports as the holders of the control leases know them.
    reports: Vec<Option<Load>>,
    random: ChaCha8Rng,
    cut: bool,
    crashed_in_change: bool,
    open: usize,
    score: Score,
}

/// What happens next.
#[derive(Debug)]
enum What {
    Arrive(usize),
    Route {
        call: usize,
        attempt: u32,
    },
    AtEngine {
        engine: usize,
        job: Job,
    },
    StepEnds {
        engine: usize,
        incarnation: u64,
    },
    Fetched {
        from: usize,
        incarnation: u64,
        blocks: u32,
        to: usize,
        job: Job,
    },
    AtWorker {
        worker: usize,
        job: Job,
    },
    WorkerEnds {
        worker: usize,
        job: Job,
    },
    Hear {
        daemon: usize,
        event: Event,
    },
    HearAll {
        event: Event,
        place: Option<usize>,
    },
    Report,
    Reported {
        engine: usize,
        load: Load,
        observed: u64,
        near: bool,
    },
    Plan,
    Changed {
        engine: usize,
        incarnation: u64,
    },
    Crash(usize),
    CrashIfNone(usize),
    Restart(usize),
    Cut(bool),
    Withdraw,
}

impl<'a> Simulation<'a> {
    /// Time after the last call at which open calls count as late, in milliseconds.
    const TAIL_MS: u64 = 180_000;
    /// Time between two questions to a planner, in microseconds.
    const PLAN_US: u64 = 1_000_000;

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
            now: 0,
            calendar: Calendar::new(),
            reports: vec![None; engines.len()],
            workers: (0..worker_count).map(|_| Worker::default()).collect(),
            random: ChaCha8Rng::seed_from_u64(setup.seed ^ 1),
            cut: false,
            crashed_in_change: false,
            open: calls.len(),
            score: Score::default(),
            calls,
            engines,
            strategy,
            setup,
        }
    }

    /// Runs to the end of the last call.
    pub(crate) fn run(mut self) -> Score {
        self.announce();
        self.schedule_faults();
        for (call, row) in self.setup.trace.rows.iter().enumerate() {
            self.calendar.add(
                row.at_ms * 1_000 + Deployment::CALLER_US,
                What::Arrive(call),
            );
        }
        let end = (self.setup.trace.length_ms() + Self::TAIL_MS) * 1_000;
        while let Some((at, what)) = self.calendar.take() {
            if self.open == 0 || at > end {
                break;
            }
            self.now = at;
            self.handle(what);
        }
        for call in 0..self.calls.len() {
            self.close(call, Verdict::Late);
        }
        self.score
    }

    fn handle(&mut self, what: What) {
        match what {
            What::Arrive(call) => self.route(call),
            What::Route { call, attempt } => {
                if self.calls[call].attempt == attempt {
                    self.route(call);
                }
            }
            What::AtEngine { engine, job } => self.at_engine(engine, job),
            What::StepEnds {
                engine,
                incarnation,
            } => self.step_ends(engine, incarnation),
            What::Fetched {
                from,
                incarnation,
                blocks,
                to,
                job,
            } => {
                self.fetched(from, incarnation, blocks);
                self.at_engine(to, job);
            }
            What::AtWorker { worker, job } => self.at_worker(worker, job),
            What::WorkerEnds { worker, job } => self.worker_ends(worker, &job),
            What::Hear { daemon, event } => self.hear(daemon, &event),
            What::HearAll { event, place } => self.hear_all(&event, place),
            What::Report => self.report(),
            What::Reported {
                engine,
                load,
                observed,
                near,
            } => {
                self.reported(engine, load, observed, near);
            }
            What::Plan => self.plan(),
            What::Changed {
                engine,
                incarnation,
            } => self.changed(engine, incarnation),
            What::Crash(engine) => self.crash(engine),
            What::CrashIfNone(engine) => {
                if !self.crashed_in_change {
                    self.crash(engine);
                }
            }
            What::Restart(engine) => self.restart(engine),
            What::Cut(begins) => self.cut(begins),
            What::Withdraw => self.withdraw(),
        }
    }

    fn instant(&self) -> Instant {
        Instant::from_micros(self.now)
    }

    fn daemon_count(&self) -> usize {
        self.setup.deployment.engines.len() * Deployment::DAEMONS
    }

    fn hear(&mut self, daemon: usize, event: &Event) {
        let now = self.instant();
        self.strategy.observe(daemon, event, now);
    }

    /// Tells the daemons of one data centre or of all.
    fn hear_all(&mut self, event: &Event, place: Option<usize>) {
        for daemon in 0..self.daemon_count() {
            if place.is_none_or(|place| place == Self::place_of(daemon)) {
                self.hear(daemon, event);
            }
        }
    }

    fn place_of(daemon: usize) -> usize {
        daemon / Deployment::DAEMONS
    }

    /// Whether a partition separates two data centres.
    fn separated(&self, left: usize, right: usize) -> bool {
        let last = self.setup.deployment.engines.len() - 1;
        self.cut && (left == last) != (right == last)
    }

    fn one_way(&self, left: usize, right: usize) -> u64 {
        if left == right {
            Deployment::LOCAL_US
        } else {
            self.setup.deployment.crossing_us
        }
    }

    /// Tells all daemons the endpoints, the configuration and their own number.
    fn announce(&mut self) {
        let configuration = Arc::new(self.setup.deployment.configuration(&self.setup.trace));
        let count = self.daemon_count() as u32;
        self.hear_all(&Event::Configured(configuration), None);
        self.hear_all(&Event::Daemons { count }, None);
        for engine in 0..self.engines.len() {
            let joined = Event::Joined(self.endpoint(engine));
            self.hear_all(&joined, None);
            let load = self.engines[engine].load(0, &self.setup.speeds);
            self.reported(engine, load.clone(), 0, true);
            self.reported(engine, load, 0, false);
        }
        self.announce_workers();
        self.calendar.add(0, What::Report);
        self.calendar.add(Self::PLAN_US, What::Plan);
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
                    data_centre: Deployment::data_centre(worker / Deployment::WORKERS),
                    service: Some(service.clone()),
                });
                self.hear_all(&joined, None);
            }
        }
    }

    fn worker_name(worker: usize, service: &str) -> Name {
        Name::from(format!("worker-{worker}/{service}"))
    }

    fn endpoint(&self, engine: usize) -> Endpoint {
        Endpoint {
            id: self.engines[engine].name.clone(),
            data_centre: Deployment::data_centre(self.engines[engine].place),
            service: None,
        }
    }
}
